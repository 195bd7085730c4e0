//! The engine list: each engine has an index, kept while it is listed or has executions in flight.

use hallmux::interface::{EngineEntry, Event, LoadReport, Micros, Mode};

use crate::engine_stats::EngineStats;
use crate::request::Protocol;
use crate::{position, Dispatcher, Ending, Place};

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
    /// The time of its last start, in microseconds, where that is known.
    pub started: Option<Micros>,
    /// The protocols that it takes statements in.
    pub protocols: &'a [Protocol],
}

/// Whether a list names all engines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListScope {
    /// It does: engines that it lacks are gone.
    Full,
    /// It names those that have changed.
    Changes,
}

/// An engine, while it is listed or has executions in flight.
pub struct Engine {
    pub id: String,
    pub entry: EngineEntry,
    /// How many executions are in flight there.
    pub in_flight: usize,
    /// Of those, how many have not left this front yet.
    pub held: usize,
    pub stats: EngineStats,
}

impl Engine {
    /// Takes the place of what was known under this one's index. What was seen of another engine, or of an earlier
    /// start, says nothing of this one.
    fn replace(&mut self, id: &str, entry: &EngineEntry) {
        let same = self.id == id && self.entry.started == entry.started;
        if !same {
            self.stats = EngineStats::default();
        }
        self.id = id.to_string();
        self.entry = entry.clone();
    }

    /// Another execution there is commanded.
    pub fn execution_begun(&mut self, now: Micros) {
        if self.in_flight == 0 {
            self.stats.busy_since = now;
        }
        self.in_flight += 1;
    }

    /// An execution there has ended; `was_held` says that it had not left this front.
    pub fn execution_ended(&mut self, now: Micros, ending: Ending, was_held: bool) {
        self.in_flight -= 1;
        self.held -= usize::from(was_held);
        self.stats.record_ending(now, ending);
    }

    /// An execution in flight there is held, or leaves.
    pub fn change_held(&mut self, now: Micros, was_held: bool, is_held: bool) {
        self.held -= usize::from(was_held);
        let only_one_sent = self.in_flight - self.held == 1;
        if !is_held && only_one_sent {
            self.stats.busy_since = now;
        }
        self.held += usize::from(is_held);
    }

    /// Whether an engine that is listed now may get the index of this one: it is gone, and the other is like it.
    fn may_be_followed_by(&self, entry: &EngineEntry) -> bool {
        self.entry.mode == Mode::Gone
            && self.in_flight == 0
            && self.entry.location == entry.location
            && self.entry.kind == entry.kind
            && self.entry.cell == entry.cell
            && self.entry.protocols == entry.protocols
    }
}

impl Dispatcher {
    /// Takes the engine list or changes of it, and returns the index of each line's engine, in order.
    pub fn update_engines(&mut self, scope: ListScope, listings: &[Listing]) -> Vec<Place> {
        let complete = scope == ListScope::Full;
        if complete {
            self.mark_missing_as_gone(listings);
        }
        let mut entries = Vec::new();
        for listing in listings {
            let mut entry = self.entry(listing);
            entry.engine = self.index_for(listing.id, &entry);
            match self.engines.get_mut(entry.engine) {
                Some(known) => known.replace(listing.id, &entry),
                None => self.engines.push(Engine {
                    id: listing.id.to_string(),
                    entry: entry.clone(),
                    in_flight: 0,
                    held: 0,
                    stats: EngineStats::default(),
                }),
            }
            entries.push(entry);
        }
        let indices = entries.iter().map(|entry| entry.engine).collect();
        self.events.push(Event::EngineList { complete, entries });
        indices
    }

    fn mark_missing_as_gone(&mut self, listings: &[Listing]) {
        for engine in &mut self.engines {
            if !listings.iter().any(|listing| listing.id == engine.id) {
                engine.entry.mode = Mode::Gone;
            }
        }
    }

    /// A line of the list by the settings' indices; the engine's own index is still to be set.
    fn entry(&self, listing: &Listing) -> EngineEntry {
        let index = |names: &[String], name: &str| position(names, name).unwrap_or(names.len());
        let protocol_bits = listing
            .protocols
            .iter()
            .fold(0, |bits, protocol| bits | *protocol as u8);
        EngineEntry {
            engine: 0,
            location: index(&self.names.locations, listing.location),
            kind: index(&self.names.kinds, listing.kind),
            cell: listing.cell,
            mode: listing.mode,
            started: listing.started,
            protocols: protocol_bits,
            // Only the protocol of lines has notes.
            sends_progress: listing.protocols.contains(&Protocol::Lines),
        }
    }

    /// The index of an engine: its own, that of one like it that is gone with nothing in flight, or a new one.
    fn index_for(&self, id: &str, entry: &EngineEntry) -> Place {
        if let Some(own) = self.engines.iter().position(|engine| engine.id == id) {
            return own;
        }
        // The module forgets what it learned of an index only where the new engine's start is known.
        let may_follow = entry.started.is_some();
        self.engines
            .iter()
            .position(|engine| may_follow && engine.may_be_followed_by(entry))
            .unwrap_or(self.engines.len())
    }

    /// All engines that statements may be sent to.
    pub(crate) fn ready_engines(&self) -> Vec<Place> {
        (0..self.engines.len())
            .filter(|index| self.engines[*index].entry.mode == Mode::Ready)
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
    pub fn probe_ended(
        &mut self,
        now: Micros,
        place: Place,
        alive: bool,
        report: Option<LoadReport>,
    ) {
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
