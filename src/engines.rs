//! Figures about engines, under their index: nothing is decided here.

use std::collections::{BTreeMap, BTreeSet};

use crate::interface::*;
use crate::state::Execution;

/// What statements hold of an engine.
#[derive(Default, Clone, Copy)]
pub struct Load {
    pub threads: f64,
    pub memory: f64,
}

impl Load {
    /// Cores and memory of engines of a kind.
    pub fn of_kind(kind: usize, agreed: &Agreement) -> Load {
        let of = |list: &[f64], other| list.get(kind).copied().unwrap_or(other);
        Load { threads: of(&agreed.cores, 1.0), memory: of(&agreed.memory_mb, f64::MAX) }
    }

    pub fn times(self, factor: f64) -> Load {
        Load { threads: self.threads * factor, memory: self.memory * factor }
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
    pub listed: Vec<Option<Listed>>,
    pub size: Vec<Load>,  // cores and memory
    pub usual: Vec<Load>, // what other fronts hold for each core, by kind
    pub cold_until: Vec<Micros>,
    pub pushed: Vec<(f64, Micros)>, // work counted against a cold engine's budget, and when
    pub own: Vec<Load>,
    pub seen: Vec<Load>,   // what was own at the last report
    pub others: Vec<Load>, // of other fronts, and of work given up here that may run on
    pub out: Vec<BTreeSet<(StatementId, usize)>>,
    pub held: Vec<Vec<(u32, Micros)>>, // data sets that loads of other fronts hold there, and until when
    pub bound: Vec<f64>,
    pub credit: Vec<f64>,
    pub unreached: Vec<usize>, // times in a row that it could not be reached
    pub rests_until: Vec<Micros>,
    pub heard: Vec<Micros>,
    pub probed: Vec<Micros>,
    pub told: Vec<Micros>,    // when its last report came
    pub asked: Vec<Micros>,   // since when something there waits for a word of it
    pub unanswered: Vec<f64>, // what ended there since without a word, in usual runs
    pub hushed: Vec<usize>,   // times in a row that it was found silent
    /// Ill in zones that the fleet has left; other fronts that have found each well since.
    pub left: BTreeMap<EngineId, BTreeSet<usize>>,
}

impl Engines {
    /// The engines listed in the zone of this one, itself too, but for those that are gone.
    pub fn near(&self, e: EngineId) -> Vec<EngineId> {
        let zone = |e: EngineId| self.listed.get(e).and_then(|l| l.as_ref()).map(|l| l.location);
        let listed = |o: &EngineId| self.listed[*o].as_ref().is_some_and(|l| l.mode != Mode::Gone);
        (0..self.listed.len()).filter(listed).filter(|o| zone(*o) == zone(e)).collect()
    }

    /// Whether a load of another front holds the data set there.
    pub fn holds(&self, e: EngineId, data_set: Option<u32>, now: Micros) -> bool {
        self.held[e].iter().any(|(held, until)| data_set == Some(*held) && *until > now)
    }

    /// What the list says of an engine that is open.
    pub fn entry(&self, e: EngineId) -> Option<&Listed> {
        self.listed[e].as_ref().filter(|_| self.open[e])
    }

    /// Work an engine can do by now, as a share of what it can do when warm.
    pub fn warmth(&self, e: EngineId, now: Micros, agreed: &Agreement) -> f64 {
        let left = (self.cold_until[e] - now) as f64 / agreed.warm_within.max(1) as f64;
        1.0 - (1.0 - agreed.cold_from) * left.clamp(0.0, 1.0)
    }

    /// Whether the fleet has left the zone of this engine.
    pub fn is_left(&self, e: EngineId) -> bool {
        !self.left.is_empty() && self.near(e).iter().any(|o| self.left.contains_key(o))
    }

    /// One of those that the fleet has left, by a share of their count.
    pub fn one_left(&self, share: f64) -> Option<EngineId> {
        let listed = |o: &&EngineId| self.listed[**o].as_ref().is_some_and(|l| l.mode != Mode::Gone);
        let all: Vec<EngineId> = self.left.keys().filter(listed).copied().collect();
        all.get((share * all.len() as f64) as usize).copied()
    }

    /// The bounds of all open engines added up, and the threads that this front has out there.
    pub fn open_totals(&self) -> (f64, f64) {
        let open = (0..self.open.len()).filter(|e| self.open[*e]);
        open.fold((0.0, 0.0), |(bound, own), e| (bound + self.bound[e], own + self.own[e].threads))
    }

    /// The memory of open engines that the bounds stand for, at a share a thread, and what this front holds.
    pub fn open_memory(&self, used_per_thread: f64) -> (f64, f64) {
        let open = (0..self.open.len()).filter(|e| self.open[*e]);
        let share = |e: usize| {
            self.size[e].memory * (self.bound[e] * used_per_thread / self.size[e].threads).min(1.0)
        };
        open.fold((0.0, 0.0), |(pool, own), e| (pool + share(e), own + self.own[e].memory))
    }

    /// What an execution has waited since its engine's last word, in microseconds.
    pub fn waited(&self, x: &Execution, now: Micros, awake: Micros) -> f64 {
        (now - x.sent.max(self.heard[x.engine]).max(awake)) as f64
    }

    /// It was found silent once more; what has waited there is counted.
    pub fn hushes(&mut self, e: EngineId) {
        (self.unanswered[e], self.hushed[e]) = (0.0, self.hushed[e] + 1);
    }

    /// There is word of it: whatever waits there waits anew.
    pub fn hears(&mut self, e: EngineId, now: Micros) {
        (self.heard[e], self.unanswered[e], self.hushed[e]) = (now, 0.0, 0);
        self.asked[e] = if self.out[e].is_empty() { Micros::MAX } else { now };
    }

    /// An execution is out there, and what it counts for.
    pub fn sent(&mut self, e: EngineId, execution: (StatementId, usize), load: Load, now: Micros) {
        self.asked[e] = self.asked[e].min(now);
        self.out[e].insert(execution);
        self.own[e].add(load, 1.0);
    }

    /// It is out no more.
    pub fn took_back(&mut self, e: EngineId, execution: (StatementId, usize), load: Load) {
        self.out[e].remove(&execution);
        self.own[e].add(load, -1.0);
    }

    /// How often in a row it could not be reached, before and now; then it rests.
    pub fn tried(&mut self, e: EngineId, outcome: Outcome, now: Micros, rest: Micros) -> (usize, usize) {
        let before = self.unreached[e];
        match outcome {
            Outcome::NoRoute => (self.unreached[e], self.rests_until[e]) = (before + 1, now + rest),
            Outcome::Completed | Outcome::NoRoom | Outcome::Error => {
                self.unreached[e] = 0;
                self.hears(e, now);
            }
            _ => {} // nothing has come from there
        }
        (before, self.unreached[e])
    }

    /// What other fronts usually hold of an engine like this one.
    pub fn usual(&self, e: EngineId) -> Load {
        let each = self.listed[e].as_ref().and_then(|entry| self.usual.get(entry.kind));
        each.copied().unwrap_or_default().times(self.size[e].threads)
    }

    /// The same for each core, to be learned from its reports.
    pub fn usual_of_kind(&mut self, e: EngineId) -> Option<&mut Load> {
        let kind = self.listed[e].as_ref()?.kind;
        self.usual.get_mut(kind)
    }

    /// Makes room for an engine; one that is new starts with the credit given.
    pub fn know(&mut self, engine: EngineId, credit: f64) {
        let count = self.open.len().max(engine + 1);
        self.open.resize(count, false);
        self.listed.resize(count, None);
        self.size.resize(count, Load { threads: 1.0, memory: f64::INFINITY });
        self.cold_until.resize(count, 0);
        self.pushed.resize(count, (0.0, 0));
        self.own.resize(count, Load::default());
        self.seen.resize(count, Load::default());
        self.others.resize(count, Load::default());
        self.out.resize(count, BTreeSet::new());
        self.held.resize(count, Vec::new());
        self.bound.resize(count, 0.0);
        self.credit.resize(count, credit);
        self.unreached.resize(count, 0);
        self.rests_until.resize(count, 0);
        self.heard.resize(count, 0);
        self.probed.resize(count, 0);
        self.told.resize(count, 0);
        self.asked.resize(count, Micros::MAX);
        self.unanswered.resize(count, 0.0);
        self.hushed.resize(count, 0);
    }
}
