//! What a front remembers, as plain figures: nothing is decided here.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

pub use crate::chance::*;
pub use crate::engines::*;
use crate::interface::*;

pub const SECOND: Micros = 1_000_000; // microseconds

/// Conformance of a workload's statements of one customer, inside or beyond its share.
#[derive(Default)]
pub struct ServiceClass {
    pub timely: f64,
    pub counted: f64,
    pub at: Micros,
    pub ready: BTreeSet<StatementId>,
    pub out: BTreeSet<StatementId>,
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

/// A learned mean and how many samples it has taken.
#[derive(Default, Clone, Copy)]
pub struct Mean {
    pub value: f64,
    pub seen: f64,
}

impl Mean {
    /// Takes a sample; the weight of the newest is its share of all, but not under the least given.
    pub fn take(&mut self, least: f64, sample: f64) {
        self.seen += 1.0;
        self.value += (sample - self.value) * least.max(1.0 / self.seen);
    }

    /// The same for ratios, as a geometric mean.
    pub fn take_ratio(&mut self, least: f64, sample: f64) {
        let (sample, value) = (sample.max(1e-6), either(self.value, 1.0));
        self.seen += 1.0;
        self.value = value * (sample / value).powf(least.max(1.0 / self.seen));
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
        self.left = (self.left + rate * (now - self.at) as f64 / 1e6).min(rate.max(1.0));
        self.at = now;
        let had = self.left >= 1.0;
        self.left -= f64::from(u8::from(had));
        had
    }
}

/// Times of events, oldest first.
#[derive(Default)]
pub struct Times(pub VecDeque<Micros>);

impl Times {
    pub fn after(&self, time: Micros) -> f64 {
        (self.0.len() - self.0.partition_point(|t| *t <= time)) as f64
    }

    pub fn forget(&mut self, before: Micros) {
        self.0.drain(..self.0.partition_point(|t| *t < before));
    }
}

impl FurtherBudget {
    /// Whether one more fits, by those of the window before now and what was taken in it.
    pub fn leaves(&self, now: Micros, further: &Times, taken: &Times) -> bool {
        let (since, used) = (now - self.window, further.after(now - self.window - 1));
        used + 1.0 <= (self.spare + self.ratio * taken.after(since)).floor()
    }
}

/// What has been learned of a workload.
#[derive(Default, Clone)]
pub struct Learned {
    pub work: Mean,        // mean microseconds on one thread
    pub run: Mean,         // mean microseconds from execution to answer
    pub pace: Mean, // run time over the estimate's share for each thread, or over one second; geometric mean
    pub memory_bias: Mean, // true need over its estimate
    pub given_up: f64, // statements given up whose clients may ask again
    pub first_try: Micros, // the most time that a statement had left on arrival: what a first try gets
}

impl Learned {
    /// How long a statement usually runs; its client's time where nothing is known.
    pub fn usual_run(&self, workload: &Workload) -> f64 {
        either(self.run.value, workload.statement_timeout.max(1) as f64)
    }
}

#[derive(Default)]
pub struct Execution {
    pub engine: EngineId,
    pub sent: Micros,
    pub heard: Micros,
    pub spilled: bool, // it had less memory than it needed
    pub quiet: bool,   // nothing was heard of it for too long
    pub outcome: Option<Outcome>,
}

impl Execution {
    /// There is word of it: whether that tells of its engine too. One that has not left is sent from then on.
    pub fn hears(&mut self, now: Micros, note: Note) -> bool {
        let left = note != Note::Held;
        (self.heard, self.sent) = (now, if left { self.sent } else { now });
        left
    }
}

pub struct Statement {
    pub asked: Arrival,
    pub class: usize,
    pub first_asked: Micros, // when its first try arrived, as far as the time that is left tells
    pub ends: Micros,
    pub load: Load, // what it counts for on its engine
    pub priority: u8,
    pub executions: Vec<Execution>,
    pub over: bool, // it has its final answer
}

impl Statement {
    pub fn new(asked: Arrival, class: usize, first_asked: Micros, ends: Micros, load: Load) -> Self {
        Statement { asked, class, first_asked, ends, load, priority: 1, executions: Vec::new(), over: false }
    }

    /// Whether it may be sent to an engine at all: its workload, its protocol, its transaction and what is
    /// allowed to it agree.
    pub fn allows(&self, workload: &Workload, at: &Listed) -> bool {
        let there = self.asked.pinned.is_none_or(|pinned| pinned == at.engine);
        there
            && at.speaks & self.asked.speech != 0
            && workload.allows(at)
            && self.asked.allowed.as_ref().is_none_or(|l| l.contains(&at.location))
    }

    /// Executions that their outcomes do not prove to have been without effect.
    pub fn may_have_run(&self) -> impl Iterator<Item = &Execution> {
        let unseen = [Outcome::NoRoom, Outcome::NoRoute, Outcome::NotSent];
        self.executions.iter().filter(move |x| x.outcome.is_none_or(|o| !unseen.contains(&o)))
    }

    pub fn is_out(&self) -> bool {
        self.executions.iter().any(|e| e.outcome.is_none())
    }

    pub fn unended(&self) -> Vec<usize> {
        (0..self.executions.len()).filter(|n| self.executions[*n].outcome.is_none()).collect()
    }
}

/// Statements of one order key, in the order in which they were taken.
#[derive(Default)]
pub struct Turn {
    pub line: VecDeque<StatementId>,
    /// Executions still out of statements that are over.
    pub astray: usize,
    pub rests_until: Micros,
}

impl Turn {
    /// One that was astray has ended, where it was.
    pub fn found(&mut self, astray: bool) {
        self.astray -= usize::from(astray && self.astray > 0);
    }
}

/// Ill words of other fronts on engines, each until it is worth nothing, and the credit of those fronts.
#[derive(Default)]
pub struct Words {
    pub said: BTreeMap<(EngineId, usize), (f64, Micros)>,
    pub credit: BTreeMap<usize, f64>,
}

impl Words {
    /// The credit of a front, or that of one that has shown nothing yet.
    pub fn credit(&self, maker: usize, unheard: f64) -> f64 {
        self.credit.get(&maker).copied().unwrap_or(unheard)
    }

    /// What is said of an engine: by whom, how ill, until when.
    pub fn of(&self, e: EngineId) -> impl Iterator<Item = (usize, f64, Micros)> + '_ {
        let all = self.said.range((e, 0)..(e + 1, 0));
        all.map(|((_, maker), (ill, until))| (*maker, *ill, *until))
    }

    /// Who speaks ill of any of these engines, of fronts with such a credit, and of how many of them.
    pub fn against(
        &self,
        engines: &[EngineId],
        credit: f64,
        unheard: f64,
    ) -> (BTreeSet<usize>, Vec<EngineId>) {
        let (mut makers, mut ill) = (BTreeSet::new(), Vec::new());
        for e in engines {
            let mut word = self.of(*e).map(|(maker, ..)| maker);
            let before = ill.len();
            for maker in word.by_ref().filter(|maker| self.credit(*maker, unheard) >= credit) {
                makers.insert(maker);
                ill.truncate(before);
                ill.push(*e);
            }
        }
        (makers, ill)
    }

    /// Nothing that was said of an engine counts any more.
    pub fn forget(&mut self, e: EngineId) {
        self.said.retain(|(at, _), _| *at != e);
    }
}
