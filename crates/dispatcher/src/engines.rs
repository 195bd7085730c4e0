//! The engine list: each engine has a place, kept while it is listed or has executions out.

use hallmux::interface::{EngineEntry, Event, Micros, Mode, Report};

use crate::observations::EngineStats;
use crate::{position, Dispatcher, Place, Protocol};

/// A line of the engine list, by the names that the settings use.
#[derive(Clone, Debug)]
pub struct Listing<'a> {
    /// Its id on the engine list.
    pub id: &'a str,
    /// The name of its location; one that the settings do not have is like none of theirs.
    pub location: &'a str,
    /// The name of its kind; likewise.
    pub kind: &'a str,
    /// Its cell, a part of a location.
    pub cell: usize,
    /// Whether it takes statements.
    pub mode: Mode,
    /// The time of its last start, where that is known.
    pub started: Option<Micros>,
    /// The protocols that it takes statements in.
    pub protocols: &'a [Protocol],
}

/// An engine, while it is listed or has executions in flight.
pub struct Engine {
    pub id: String,
    pub entry: EngineEntry,
    pub out: usize,
    /// Of those, how many have not left this front yet.
    pub held: usize,
    pub stats: EngineStats,
}

impl Dispatcher {
    /// Takes the whole engine list, or a change of it, and returns the place of each line, in order. Engines
    /// that a whole list lacks are gone.
    pub fn update_engines(&mut self, whole: bool, listings: &[Listing]) -> Vec<Place> {
        let mut places = Vec::new();
        let mut entries = Vec::new();
        let named = |e: &Engine| listings.iter().any(|l| l.id == e.id);
        for missing in self.engines.iter_mut().filter(|e| whole && !named(e)) {
            missing.entry.mode = Mode::Gone;
        }
        for listing in listings {
            let place = |list: &[String], name: &str| position(list, name).unwrap_or(list.len());
            let mut entry = EngineEntry {
                engine: 0,
                location: place(&self.names.locations, listing.location),
                kind: place(&self.names.kinds, listing.kind),
                cell: listing.cell,
                mode: listing.mode,
                started: listing.started,
                protocols: listing
                    .protocols
                    .iter()
                    .fold(0, |all, protocol| all | *protocol as u8),
                // Only the protocol of lines has notes.
                sends_progress: listing.protocols.contains(&Protocol::Lines),
            };
            entry.engine = self.place(listing.id, &entry);
            let stats = EngineStats::default();
            let engine = Engine {
                id: listing.id.to_string(),
                entry: entry.clone(),
                out: 0,
                held: 0,
                stats,
            };
            match self.engines.get_mut(entry.engine) {
                Some(known) => {
                    // What was seen of another, or of an earlier start, says nothing of this one.
                    let same = known.id == engine.id && known.entry.started == engine.entry.started;
                    let stats = if same { known.stats } else { stats };
                    *known = Engine {
                        out: known.out,
                        held: known.held,
                        stats,
                        ..engine
                    };
                }
                None => self.engines.push(engine),
            }
            places.push(entry.engine);
            entries.push(entry);
        }
        self.events.push(Event::Engines { whole, entries });
        places
    }

    /// The place of an engine: its own, that of one like it that is gone with nothing out, or a new one.
    /// The module starts an engine with a start of its own afresh, so only such a one may follow another.
    fn place(&self, id: &str, entry: &EngineEntry) -> Place {
        let like = |e: &Engine| {
            let same = |of: &EngineEntry| (of.location, of.kind, of.cell, of.protocols);
            e.entry.mode == Mode::Gone && e.out == 0 && same(&e.entry) == same(entry)
        };
        let follows = entry.started.is_some();
        let own = self.engines.iter().position(|e| e.id == id);
        own.or_else(|| self.engines.iter().position(|e| follows && like(e)))
            .unwrap_or(self.engines.len())
    }

    /// All engines that statements may be sent to.
    pub(crate) fn places(&self) -> Vec<Place> {
        (0..self.engines.len())
            .filter(|e| self.engines[*e].entry.mode == Mode::Ready)
            .collect()
    }

    /// How many executions can leave for an engine now, over connections that are there or may be made.
    pub(crate) fn set_send_capacity(&mut self, place: Place, executions: usize) {
        self.events.push(Event::SendCapacity {
            engine: place,
            executions,
        });
    }

    /// A probe ended: whether the engine answered, and the load report that it answered with.
    pub fn probe_ended(&mut self, now: Micros, place: Place, alive: bool, report: Option<Report>) {
        if let Some(engine) = self.engines.get_mut(place).filter(|_| alive) {
            engine.stats.fade(now);
            engine.stats.record_answer(now);
        }
        self.events.push(Event::Probed {
            engine: place,
            alive,
            report,
        });
    }
}
