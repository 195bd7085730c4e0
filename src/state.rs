//! What a front remembers, as plain figures: nothing is decided here.

use std::collections::{BTreeMap, BTreeSet};

pub use crate::demand::*;
use crate::interface::*;
pub use crate::learned::*;
pub use crate::peer_reports::*;
use crate::policy::concurrency_limit::EngineUse;
pub use crate::random::*;

pub const SECOND: Micros = 1_000_000; // microseconds

/// Conformance of a workload's statements of one customer, inside or beyond its share.
#[derive(Default)]
pub struct ServiceClass {
    pub timely: f64,
    pub counted: f64,
    pub at: Micros,
    pub ready: BTreeSet<StatementId>,
    pub in_flight: BTreeSet<StatementId>,
}

impl ServiceClass {
    /// Lets the counts halve with each half-life since the last call.
    pub fn fade(&mut self, now: Micros, half_life: Micros) {
        let left = 0.5f64.powf((now - self.at) as f64 / half_life as f64);
        (self.timely, self.counted, self.at) = (self.timely * left, self.counted * left, now);
    }

    /// Counts a statement that is over.
    pub fn count(&mut self, now: Micros, half_life: Micros, timely: bool) {
        self.fade(now, half_life);
        self.counted += 1.0;
        self.timely += f64::from(u8::from(timely));
    }
}

/// Tokens that come at a rate, up to one second's worth or one.
#[derive(Default, Clone)]
pub struct Bucket {
    pub left: f64,
    pub at: Micros,
}

impl Bucket {
    pub fn take(&mut self, rate: f64, now: Micros) -> bool {
        // One that was not asked before is as full as it was made.
        self.at = if self.at == 0 { now } else { self.at };
        self.left = (self.left + rate * (now - self.at) as f64 / 1e6).min(rate.max(1.0));
        self.at = now;
        let had = self.left >= 1.0;
        self.left -= f64::from(u8::from(had));
        had
    }
}

#[derive(Default)]
pub struct Execution {
    pub engine: EngineId,
    pub sent_at: Micros,
    pub heard_at: Micros,
    pub spilled: bool, // it had less memory than it needed
    pub silent: bool,  // nothing was heard of it for too long
    pub outcome: Option<Outcome>,
}

impl Execution {
    /// There is word of it: whether that tells of its engine too. One that has not left is sent from then on.
    pub fn noted(&mut self, now: Micros, note: Note) -> bool {
        let left = note != Note::NotSentYet;
        (self.heard_at, self.sent_at) = (now, if left { self.sent_at } else { now });
        left
    }
}

pub struct Statement {
    pub asked: Arrival,
    pub class: usize,
    pub first_arrival: Micros, // when its first try arrived, as far as the time that is left tells
    pub deadline: Micros,
    pub load: Load, // what it counts for on its engine
    pub priority: u8,
    pub executions: Vec<Execution>,
    pub over: bool, // it has its final answer
}

/// An execution by its number, while it is in flight at that engine. Guards against events that name another engine
/// than the one it was sent to, of which nothing may be known.
pub fn in_flight_at(
    executions: &mut [Execution],
    number: usize,
    engine: EngineId,
) -> Option<&mut Execution> {
    executions
        .get_mut(number)
        .filter(|x| x.outcome.is_none() && x.engine == engine)
}

impl Statement {
    pub fn new(
        asked: Arrival,
        class: usize,
        first_arrival: Micros,
        deadline: Micros,
        load: Load,
    ) -> Self {
        Statement {
            asked,
            class,
            first_arrival,
            deadline,
            load,
            priority: 1,
            executions: Vec::new(),
            over: false,
        }
    }

    /// Whether it may be sent to an engine at all: its workload and what is allowed to it agree.
    pub fn allows(&self, workload: &Workload, at: &EngineEntry) -> bool {
        workload.allows(at)
            && self
                .asked
                .allowed
                .as_ref()
                .is_none_or(|l| l.contains(&at.location))
    }

    /// Executions that their outcomes do not prove to have been without effect.
    pub fn may_have_run(&self) -> impl Iterator<Item = &Execution> {
        let unseen = [Outcome::NoCapacity, Outcome::Unreachable, Outcome::NotSent];
        self.executions
            .iter()
            .filter(move |x| x.outcome.is_none_or(|o| !unseen.contains(&o)))
    }

    pub fn is_in_flight(&self) -> bool {
        self.executions.iter().any(|e| e.outcome.is_none())
    }

    pub fn in_flight(&self) -> Vec<usize> {
        (0..self.executions.len())
            .filter(|n| self.executions[*n].outcome.is_none())
            .collect()
    }
}

/// What statements hold of an engine.
#[derive(Default, Clone, Copy)]
pub struct Load {
    pub threads: f64,
    pub memory: f64,
}

impl Load {
    pub fn times(self, factor: f64) -> Load {
        Load {
            threads: self.threads * factor,
            memory: self.memory * factor,
        }
    }

    pub fn blend(&mut self, other: Load, share: f64) {
        self.threads += (other.threads - self.threads) * share;
        self.memory += (other.memory - self.memory) * share;
    }

    pub fn add(&mut self, other: Load, times: f64) {
        self.threads = (self.threads + other.threads * times).max(0.0);
        self.memory = (self.memory + other.memory * times).max(0.0);
    }
}

/// Figures about engines, under their index.
#[derive(Default)]
pub struct Engines {
    pub open: Vec<bool>,
    pub listed: Vec<Option<EngineEntry>>,
    pub size: Vec<Load>, // cores and memory
    pub own: Vec<Load>,
    pub in_flight: Vec<BTreeSet<(StatementId, usize)>>,
    pub locked_data: Vec<Vec<(u32, Micros)>>, // data sets that loads of other fronts hold there, and until when
    pub heard_at: Vec<Micros>,
    pub probed_at: Vec<Micros>,
    pub send_capacity: Vec<usize>, // executions that can leave now, over connections that are there or may be made
    /// Suspects in evacuated zones, each with the other fronts that have found it healthy since.
    pub evacuated: BTreeMap<EngineId, BTreeSet<usize>>,
}

impl Engines {
    /// The engines listed in the zone of this one, itself included; those that are gone are left out.
    pub fn same_zone(&self, e: EngineId) -> Vec<EngineId> {
        let zone = |e: EngineId| {
            self.listed
                .get(e)
                .and_then(|l| l.as_ref())
                .map(|l| l.location)
        };
        let listed = |o: &EngineId| {
            self.listed[*o]
                .as_ref()
                .is_some_and(|l| l.mode != Mode::Gone)
        };
        (0..self.listed.len())
            .filter(listed)
            .filter(|o| zone(*o) == zone(e))
            .collect()
    }

    /// Whether a load of another front holds the data set there.
    pub fn holds(&self, e: EngineId, data_set: Option<u32>, now: Micros) -> bool {
        self.locked_data[e]
            .iter()
            .any(|(held, until)| data_set == Some(*held) && *until > now)
    }

    /// What the list says of an engine that is open.
    pub fn entry(&self, e: EngineId) -> Option<&EngineEntry> {
        self.listed[e].as_ref().filter(|_| self.open[e])
    }

    /// Whether the zone of this engine is evacuated.
    pub fn is_evacuated(&self, e: EngineId) -> bool {
        !self.evacuated.is_empty()
            && self
                .same_zone(e)
                .iter()
                .any(|o| self.evacuated.contains_key(o))
    }

    /// One suspect of the evacuated zones, at a share of their count.
    pub fn pick_evacuated(&self, share: f64) -> Option<EngineId> {
        let listed = |o: &&EngineId| {
            self.listed[**o]
                .as_ref()
                .is_some_and(|l| l.mode != Mode::Gone)
        };
        let all: Vec<EngineId> = self.evacuated.keys().filter(listed).copied().collect();
        all.get((share * all.len() as f64) as usize).copied()
    }

    /// Whether no execution of this front is out there.
    pub fn is_idle(&self, e: EngineId) -> bool {
        self.in_flight[e].is_empty()
    }

    /// An execution is out there, and what it counts for.
    pub fn add(&mut self, e: EngineId, execution: (StatementId, usize), load: Load) {
        self.in_flight[e].insert(execution);
        self.own[e].add(load, 1.0);
        self.send_capacity[e] = self.send_capacity[e].saturating_sub(1);
    }

    /// How many executions can leave for it now.
    pub fn set_send_capacity(&mut self, e: EngineId, executions: usize) {
        self.send_capacity
            .get_mut(e)
            .into_iter()
            .for_each(|known| *known = executions);
    }

    /// It is out no more.
    pub fn remove(&mut self, e: EngineId, execution: (StatementId, usize), load: Load) {
        self.in_flight[e].remove(&execution);
        self.own[e].add(load, -1.0);
    }

    /// A load of another front holds the data set there until then.
    pub fn lock(&mut self, e: EngineId, data_set: u32, now: Micros, until: Micros) {
        self.locked_data[e].retain(|(held, until)| *held != data_set && *until > now);
        self.locked_data[e].push((data_set, until));
    }

    /// The place of an engine's kind, where it is listed.
    pub fn kind(&self, e: EngineId) -> Option<usize> {
        self.listed[e].as_ref().map(|entry| entry.kind)
    }

    /// An engine and what this front holds there.
    pub fn use_of(&self, e: EngineId) -> EngineUse {
        EngineUse {
            engine: e,
            size: self.size[e],
            own: self.own[e],
        }
    }

    /// The open engines and what this front holds there.
    pub fn in_use(&self) -> impl Iterator<Item = EngineUse> + '_ {
        let open = (0..self.open.len()).filter(|e| self.open[*e]);
        open.map(|e| self.use_of(e))
    }

    /// Makes place for an engine.
    pub fn ensure(&mut self, engine: EngineId) {
        let count = self.open.len().max(engine + 1);
        self.open.resize(count, false);
        self.listed.resize(count, None);
        self.size.resize(
            count,
            Load {
                threads: 1.0,
                memory: f64::INFINITY,
            },
        );
        self.own.resize(count, Load::default());
        self.in_flight.resize(count, BTreeSet::new());
        self.locked_data.resize(count, Vec::new());
        self.heard_at.resize(count, 0);
        self.probed_at.resize(count, 0);
        self.send_capacity.resize(count, usize::MAX);
    }
}
