//! The known engines: their list entries and this front's attempts in flight.

use std::collections::BTreeSet;

use crate::interface::{Agreement, EngineEntry, EngineId, Micros, Mode, StatementId};
use crate::load::Load;
use crate::policy::concurrency_limit::EngineUse;

/// Identifies an attempt by its statement and its number among the statement's attempts, from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct AttemptId {
    /// The statement.
    pub statement: StatementId,
    /// The number of the attempt.
    pub number: usize,
}

/// A data set that a peer's load statement locks on an engine.
#[derive(Clone, Copy)]
struct DataLock {
    data_set: u32,
    until: Micros,
}

/// The list entry of each engine and this front's attempts in flight, by engine id.
#[derive(Default)]
pub struct EngineTable {
    /// Whether the engine accepts new statements.
    pub open: Vec<bool>,
    /// The engine's list entry; `None` if it was never listed.
    pub entries: Vec<Option<EngineEntry>>,
    /// The engine's cores, as threads, and its memory.
    pub size: Vec<Load>,
    /// The load of this front on the engine.
    pub local_load: Vec<Load>,
    /// The attempts of this front in flight on the engine.
    pub in_flight: Vec<BTreeSet<AttemptId>>,
    /// When the engine last gave a sign of life.
    pub last_seen: Vec<Micros>,
    /// The attempts that can be sent now, over open connections and those that may be opened.
    pub send_capacity: Vec<usize>,
    locked_data: Vec<Vec<DataLock>>,
}

impl EngineTable {
    /// Whether an engine is listed as ready or draining.
    pub fn is_listed(&self, engine: EngineId) -> bool {
        let entry = self.entries.get(engine).and_then(|entry| entry.as_ref());
        entry.is_some_and(|entry| entry.mode != Mode::Gone)
    }

    /// The listed engines in the zone of an engine, including itself. Engines that are gone are
    /// excluded.
    pub fn zone_members(&self, engine: EngineId) -> impl Iterator<Item = EngineId> + '_ {
        let zone = |engine: EngineId| {
            let entry = self.entries.get(engine).and_then(|entry| entry.as_ref());
            entry.map(|entry| entry.location)
        };
        let zone_of_engine = zone(engine);
        (0..self.entries.len()).filter(move |o| self.is_listed(*o) && zone(*o) == zone_of_engine)
    }

    /// Whether a peer's load statement locks the data set on the engine.
    pub fn is_data_set_locked(&self, engine: EngineId, data_set: Option<u32>, now: Micros) -> bool {
        self.locked_data[engine]
            .iter()
            .any(|lock| data_set == Some(lock.data_set) && lock.until > now)
    }

    /// The list entry of an engine; `None` if the engine does not accept new statements.
    pub fn entry(&self, engine: EngineId) -> Option<&EngineEntry> {
        self.entries[engine].as_ref().filter(|_| self.open[engine])
    }

    /// Whether no attempt of this front is in flight on the engine.
    pub fn is_idle(&self, engine: EngineId) -> bool {
        self.in_flight[engine].is_empty()
    }

    /// Adds an attempt in flight and its load, and uses one unit of send capacity.
    pub fn add(&mut self, engine: EngineId, attempt: AttemptId, load: Load) {
        self.in_flight[engine].insert(attempt);
        self.local_load[engine].add(load, 1.0);
        self.send_capacity[engine] = self.send_capacity[engine].saturating_sub(1);
    }

    /// Sets how many attempts can be sent to an engine now. Unknown engines are ignored.
    pub fn set_send_capacity(&mut self, engine: EngineId, attempts: usize) {
        if let Some(known) = self.send_capacity.get_mut(engine) {
            *known = attempts;
        }
    }

    /// Removes an attempt that is no longer in flight, and its load.
    pub fn remove(&mut self, engine: EngineId, attempt: AttemptId, load: Load) {
        self.in_flight[engine].remove(&attempt);
        self.local_load[engine].add(load, -1.0);
    }

    /// Records that a peer's load statement locks the data set on the engine until `until`.
    pub fn lock_data_set(&mut self, engine: EngineId, data_set: u32, now: Micros, until: Micros) {
        let locks = &mut self.locked_data[engine];
        locks.retain(|lock| lock.data_set != data_set && lock.until > now);
        locks.push(DataLock { data_set, until });
    }

    /// The index of an engine's kind; `None` if it was never listed.
    pub fn kind(&self, engine: EngineId) -> Option<usize> {
        self.entries[engine].as_ref().map(|entry| entry.kind)
    }

    /// An engine and this front's load on it.
    pub fn engine_use(&self, engine: EngineId) -> EngineUse {
        EngineUse {
            engine,
            size: self.size[engine],
            local_load: self.local_load[engine],
        }
    }

    /// The engines that accept new statements, with this front's load on each.
    pub fn open_engines(&self) -> impl Iterator<Item = EngineUse> + '_ {
        let open = (0..self.open.len()).filter(|engine| self.open[*engine]);
        open.map(|engine| self.engine_use(engine))
    }

    /// Extends the table to include an engine.
    pub fn grow_to_include(&mut self, engine: EngineId) {
        let count = self.open.len().max(engine + 1);
        self.open.resize(count, false);
        self.entries.resize(count, None);
        self.size.resize(
            count,
            Load {
                threads: 1.0,
                memory: f64::INFINITY,
            },
        );
        self.local_load.resize(count, Load::default());
        self.in_flight.resize(count, BTreeSet::new());
        self.locked_data.resize(count, Vec::new());
        self.last_seen.resize(count, 0);
        self.send_capacity.resize(count, usize::MAX);
    }
}

/// The cores and memory of an engine kind.
pub fn engine_size(agreement: &Agreement, kind: usize) -> Load {
    let of = |list: &[f64], other| list.get(kind).copied().unwrap_or(other);
    Load {
        threads: of(&agreement.cores, 1.0),
        memory: of(&agreement.memory_mb, f64::MAX),
    }
}
