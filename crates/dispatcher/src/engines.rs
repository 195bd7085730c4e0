//! The engine list. Each engine has an index, which it keeps while it is listed or has executions
//! in flight.

use hallmux::interface::{EngineEntry, Event, LoadReport, Micros, Mode};

use crate::engine_stats::EngineStats;
use crate::request::Protocol;
use crate::{position, Dispatcher, Ending, EngineIndex};

/// An entry of the engine list, with locations and kinds by the names that the settings use.
#[derive(Clone, Debug)]
pub struct Listing<'a> {
    /// The engine's id.
    pub id: &'a str,
    /// The name of its location. A name that the settings lack matches none of their locations.
    pub location: &'a str,
    /// The name of its kind. A name that the settings lack matches none of their kinds.
    pub kind: &'a str,
    /// The index of its cell, which is a part of a location.
    pub cell: usize,
    /// Whether it accepts statements, drains, or is gone.
    pub mode: Mode,
    /// The time of its last start, in microseconds, if known.
    pub started: Option<Micros>,
    /// The protocols in which it accepts statements.
    pub protocols: &'a [Protocol],
}

/// Whether a list contains all engines or only changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListScope {
    /// All engines: those that the list lacks are gone.
    Full,
    /// Only the engines that have changed.
    Changes,
}

/// An engine that is listed or has executions in flight.
pub struct Engine {
    pub id: String,
    pub entry: EngineEntry,
    /// The number of executions in flight, including those held.
    pub in_flight: usize,
    /// The number of executions in flight that this front has not sent yet.
    pub held: usize,
    pub stats: EngineStats,
}

impl Engine {
    /// Replaces the engine under this index. Observations of another engine, or of an earlier start
    /// of this one, are discarded because they are no evidence about it.
    fn replace(&mut self, id: &str, entry: &EngineEntry) {
        let is_same_start = self.id == id && self.entry.started == entry.started;
        if !is_same_start {
            self.stats = EngineStats::default();
        }
        self.id = id.to_string();
        self.entry = entry.clone();
    }

    /// Counts an execution that was commanded.
    pub fn execution_started(&mut self, now: Micros) {
        if self.in_flight == 0 {
            self.stats.busy_since = now;
        }
        self.in_flight += 1;
    }

    /// Counts the end of an execution; `was_held` if this front had not sent it.
    pub fn execution_ended(&mut self, now: Micros, ending: Ending, was_held: bool) {
        self.in_flight -= 1;
        self.held -= usize::from(was_held);
        self.stats.record_ending(now, ending);
    }

    /// Records that an execution in flight is held in this front, or is sent. The engine is busy
    /// from the time of its first sent execution.
    pub fn change_held(&mut self, now: Micros, was_held: bool, is_held: bool) {
        self.held -= usize::from(was_held);
        let only_one_sent = self.in_flight - self.held == 1;
        if !is_held && only_one_sent {
            self.stats.busy_since = now;
        }
        self.held += usize::from(is_held);
    }

    /// Whether a newly listed engine may reuse the index of this one: this one is gone with nothing
    /// in flight, and both agree in location, kind, cell and protocols.
    fn can_be_replaced_by(&self, entry: &EngineEntry) -> bool {
        self.entry.mode == Mode::Gone
            && self.in_flight == 0
            && self.entry.location == entry.location
            && self.entry.kind == entry.kind
            && self.entry.cell == entry.cell
            && self.entry.protocols == entry.protocols
    }
}

impl Dispatcher {
    /// Applies the engine list or changes of it. Returns the index of each entry's engine, in the
    /// order of the entries.
    pub fn update_engines(&mut self, scope: ListScope, listings: &[Listing]) -> Vec<EngineIndex> {
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

    /// An entry of the list with the settings' indices in place of names. The caller sets the
    /// engine's index.
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
            // Only the line protocol has progress reports.
            sends_progress: listing.protocols.contains(&Protocol::Lines),
        }
    }

    /// The index of an engine: the one that its id already has, that of a similar engine that is
    /// gone with nothing in flight, or a new one.
    fn index_for(&self, id: &str, entry: &EngineEntry) -> EngineIndex {
        if let Some(existing) = self.engines.iter().position(|engine| engine.id == id) {
            return existing;
        }
        // The scheduler discards what it learned under an index only if the new engine's start is
        // known.
        let may_reuse_index = entry.started.is_some();
        self.engines
            .iter()
            .position(|engine| may_reuse_index && engine.can_be_replaced_by(entry))
            .unwrap_or(self.engines.len())
    }

    /// The indices of all engines that accept statements.
    pub(crate) fn ready_engines(&self) -> Vec<EngineIndex> {
        (0..self.engines.len())
            .filter(|index| self.engines[*index].entry.mode == Mode::Ready)
            .collect()
    }

    /// Notifies the scheduler how many executions can be sent to an engine now, over connections
    /// that are open or may be opened.
    pub(crate) fn set_send_capacity(&mut self, engine_index: EngineIndex, executions: usize) {
        self.events.push(Event::SendCapacity {
            engine: engine_index,
            executions,
        });
    }

    /// Records the end of a probe: whether the engine answered, and its load report if the answer
    /// carried one.
    pub fn probe_ended(
        &mut self,
        now: Micros,
        engine_index: EngineIndex,
        alive: bool,
        report: Option<LoadReport>,
    ) {
        if let Some(engine) = self.engines.get_mut(engine_index).filter(|_| alive) {
            engine.stats.decay(now);
            engine.stats.record_answer(now);
        }
        self.events.push(Event::Probed {
            engine: engine_index,
            alive,
            report,
        });
    }
}
