//! The engines: what the list says of them and what this front has in flight there.

use std::collections::BTreeSet;

use crate::interface::{Agreement, EngineEntry, EngineId, Micros, Mode, StatementId};
use crate::load::Load;
use crate::policy::concurrency_limit::EngineUse;

/// An attempt, by its statement and its number among the statement's attempts, from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct AttemptId {
    /// The statement.
    pub statement: StatementId,
    /// The number of the attempt.
    pub number: usize,
}

/// A data set that a load of another front holds on an engine.
#[derive(Clone, Copy)]
struct DataLock {
    data_set: u32,
    until: Micros,
}

/// What the list says of each engine, and what this front has in flight there, by engine id.
#[derive(Default)]
pub struct EngineTable {
    /// It takes new statements.
    pub open: Vec<bool>,
    /// What the list says of it.
    pub entries: Vec<Option<EngineEntry>>,
    /// Its cores, as threads, and its memory.
    pub size: Vec<Load>,
    /// What this front holds there.
    pub local_load: Vec<Load>,
    /// The attempts of this front in flight there.
    pub in_flight: Vec<BTreeSet<AttemptId>>,
    /// When it was last heard of.
    pub last_seen: Vec<Micros>,
    /// Attempts that can leave now, over connections that are there or may be made.
    pub send_capacity: Vec<usize>,
    locked_data: Vec<Vec<DataLock>>,
}

impl EngineTable {
    /// Whether an engine is on the list, ready or draining.
    pub fn is_listed(&self, engine: EngineId) -> bool {
        let entry = self.entries.get(engine).and_then(|entry| entry.as_ref());
        entry.is_some_and(|entry| entry.mode != Mode::Gone)
    }

    /// The engines listed in the zone of this one, itself included; those that are gone are left out.
    pub fn zone_members(&self, engine: EngineId) -> impl Iterator<Item = EngineId> + '_ {
        let zone = |engine: EngineId| {
            let entry = self.entries.get(engine).and_then(|entry| entry.as_ref());
            entry.map(|entry| entry.location)
        };
        let zone_of_engine = zone(engine);
        (0..self.entries.len()).filter(move |o| self.is_listed(*o) && zone(*o) == zone_of_engine)
    }

    /// Whether a load of another front holds the data set there.
    pub fn is_data_set_locked(&self, engine: EngineId, data_set: Option<u32>, now: Micros) -> bool {
        self.locked_data[engine]
            .iter()
            .any(|lock| data_set == Some(lock.data_set) && lock.until > now)
    }

    /// What the list says of an engine that is open.
    pub fn entry(&self, engine: EngineId) -> Option<&EngineEntry> {
        self.entries[engine].as_ref().filter(|_| self.open[engine])
    }

    /// Whether no attempt of this front is in flight there.
    pub fn is_idle(&self, engine: EngineId) -> bool {
        self.in_flight[engine].is_empty()
    }

    /// An attempt is in flight there, and what it counts for.
    pub fn add(&mut self, engine: EngineId, attempt: AttemptId, load: Load) {
        self.in_flight[engine].insert(attempt);
        self.local_load[engine].add(load, 1.0);
        self.send_capacity[engine] = self.send_capacity[engine].saturating_sub(1);
    }

    /// How many attempts can leave for it now.
    pub fn set_send_capacity(&mut self, engine: EngineId, attempts: usize) {
        if let Some(known) = self.send_capacity.get_mut(engine) {
            *known = attempts;
        }
    }

    /// It is in flight no more.
    pub fn remove(&mut self, engine: EngineId, attempt: AttemptId, load: Load) {
        self.in_flight[engine].remove(&attempt);
        self.local_load[engine].add(load, -1.0);
    }

    /// A load of another front holds the data set there until then.
    pub fn lock_data_set(&mut self, engine: EngineId, data_set: u32, now: Micros, until: Micros) {
        let locks = &mut self.locked_data[engine];
        locks.retain(|lock| lock.data_set != data_set && lock.until > now);
        locks.push(DataLock { data_set, until });
    }

    /// The place of an engine's kind, where it is listed.
    pub fn kind(&self, engine: EngineId) -> Option<usize> {
        self.entries[engine].as_ref().map(|entry| entry.kind)
    }

    /// An engine and what this front holds there.
    pub fn engine_use(&self, engine: EngineId) -> EngineUse {
        EngineUse {
            engine,
            size: self.size[engine],
            local_load: self.local_load[engine],
        }
    }

    /// The open engines and what this front holds there.
    pub fn open_engines(&self) -> impl Iterator<Item = EngineUse> + '_ {
        let open = (0..self.open.len()).filter(|engine| self.open[*engine]);
        open.map(|engine| self.engine_use(engine))
    }

    /// Makes place for an engine.
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

/// An engine's cores and memory, by its kind.
pub fn engine_size(agreement: &Agreement, kind: usize) -> Load {
    let of = |list: &[f64], other| list.get(kind).copied().unwrap_or(other);
    Load {
        threads: of(&agreement.cores, 1.0),
        memory: of(&agreement.memory_mb, f64::MAX),
    }
}
