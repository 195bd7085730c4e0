//! What a play is made of: the settings, the demand, what the cold engine does, and who learns of its start when.

use hallmux_dispatcher::Micros;

pub const SECOND: Micros = 1_000_000; // microseconds
pub const START: Micros = 4 * SECOND; // when the cold engines start

/// Draws of a play, all from its seed.
pub struct Chance(u64);

impl Chance {
    pub fn new(seed: u64) -> Self {
        Chance(seed)
    }

    pub fn number(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mixed = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    /// From 0 to under 1.
    pub fn share(&mut self) -> f64 {
        (self.number() >> 11) as f64 / (1u64 << 53) as f64
    }

    pub fn one_of<T: Copy>(&mut self, all: &[T]) -> T {
        all[(self.share() * all.len() as f64) as usize]
    }

    pub fn within(&mut self, most: Micros) -> Micros {
        (self.share() * most as f64) as Micros
    }

    /// Time to the next of events that come at a mean rate a second, at no set times.
    pub fn gap(&mut self, rate: f64) -> Micros {
        (-(1.0 - self.share()).ln() / rate * SECOND as f64) as Micros
    }
}

/// How the cold engines come into the list.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Arrives {
    New,
    /// Listed and used before, taken off the list three seconds before it comes back with a new start.
    Again,
    /// The same, never taken off the list: connections are refused for three seconds, then it is up again.
    Unannounced,
}

/// What a cold engine does with what it is sent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Deed {
    Answers,
    /// Turns all away at once.
    TurnsAway,
    /// Answers nothing in its first four seconds.
    Silent,
    /// Refuses connections in its first three seconds.
    Refuses,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Demand {
    /// A third more than all engines together can do.
    Steady,
    /// Next to nothing, then three times what the engines can do, from so long after the start.
    Burst(Micros),
}

#[derive(Clone, Debug)]
pub struct Shape {
    pub processes: usize,
    pub cores: f64,
    pub threads: f64,
    /// Mean work of a statement in microseconds on one thread.
    pub work: f64,
    /// Share of the statements that are long: six times the work of the others.
    pub long: f64,
    /// Works are drawn from half to one and a half times the mean.
    pub varied: bool,
    /// Statements come with an estimate of their work.
    pub told_work: bool,
    /// The SLO time, as times what a statement runs alone.
    pub aim: f64,
    pub overload: f64,
    pub cold_from: f64,
    pub fall: Micros,
    pub warm: Micros,
    pub reports: bool,
    pub colds: usize,
    pub arrives: Arrives,
    pub deed: Deed,
    pub demand: Demand,
    /// When each process learns of the start, after it.
    pub told: Vec<Micros>,
    /// Restarts of processes: when, and how long each is away.
    pub restarts: Vec<(usize, Micros, Micros)>,
    /// A process that restarts knows an old list, and learns of the start when it would have without.
    pub old_list: bool,
}

impl Shape {
    /// Draws the settings; narrow ones allow a few calls, fewer than there are processes.
    pub fn draw(chance: &mut Chance, processes: usize, narrow: bool) -> Shape {
        let short = [(100, 2), (100, 4), (200, 8), (500, 8), (500, 24)].as_slice();
        let long = [
            (1500, 8),
            (1500, 16),
            (1500, 32),
            (5000, 16),
            (5000, 32),
            (5000, 64),
        ]
        .as_slice();
        let sizes = if narrow { long } else { short };
        loop {
            let (work_ms, cores) = chance.one_of(sizes);
            let shape = Shape {
                processes,
                cores: f64::from(cores),
                threads: chance.one_of(&[1.0, 1.0, 2.0]),
                work: f64::from(work_ms) * 1e3,
                long: 0.0,
                varied: chance.share() < 0.5,
                told_work: true,
                aim: chance.one_of(&[1.0, 2.0, 4.0]),
                overload: chance.one_of(&[2.0, 2.0, 2.5, 3.0, 4.0]),
                cold_from: chance.one_of(&[0.3, 0.32, 0.4, 0.5]),
                fall: chance.one_of(&[1, 2, 3]) * SECOND,
                warm: chance.one_of(&[8, 10, 15]) * SECOND,
                reports: chance.share() < 0.5,
                colds: 1,
                arrives: Arrives::New,
                deed: Deed::Answers,
                demand: Demand::Steady,
                told: vec![0; processes],
                restarts: Vec::new(),
                old_list: false,
            };
            if shape.calls(START) >= 2.8 {
                return shape;
            }
        }
    }

    /// What a cold engine can do by then, as a share of what it can do when warm.
    pub fn warmth(&self, now: Micros) -> f64 {
        let past = (now - START) as f64 / self.warm as f64;
        self.cold_from + (1.0 - self.cold_from) * past.clamp(0.0, 1.0)
    }

    /// Calls of mean work that the settings allow in a window, at what the engine can do by then.
    pub fn calls(&self, now: Micros) -> f64 {
        self.overload * self.cores * self.warmth(now) * self.fall as f64 / self.work
    }

    /// Calls of mean work allowed over the whole time in which the engine warms up.
    pub fn calls_in_all(&self) -> f64 {
        let mean = (self.cold_from + 1.0) / 2.0;
        self.overload * self.cores * mean * self.warm as f64 / self.work
    }

    /// Mean work of the long statements, or of the others.
    pub fn mean_work(&self, long: bool) -> f64 {
        self.work / (1.0 + 5.0 * self.long) * if long { 6.0 } else { 1.0 }
    }

    /// Statements a second that one warm engine can do.
    pub fn rate(&self) -> f64 {
        self.cores / self.work * SECOND as f64
    }

    pub fn settings(&self) -> String {
        let aim_ms = |long| self.aim * self.mean_work(long) / self.threads / 1e3 + 500.0;
        let reports = if self.reports {
            r#""report": {"names": ["active"], "source": "inline"},"#
        } else {
            ""
        };
        format!(
            r#"{{"instances": {}, "areas": ["here"], "kinds": ["std"], {reports}
            "customers": [{{"name": "acme", "allowancePerS": 100000}}],
            "bounds": {{"cancelling": true, "mostTries": 3, "retryAfter": true}},
            "extra": {{"sizeCores": [{}], "memoryByKindMb": [1000000], "parallelism": [{}, {}]}},
            "requestClasses": [
                {{"name": "lookup", "aimMs": {}, "deadlineMs": {}, "repeat": "repeatable", "lateShare": 0.5,
                  "worth": 1}},
                {{"name": "report", "aimMs": {}, "deadlineMs": {}, "repeat": "repeatable", "lateShare": 0.5,
                  "worth": 6}}],
            "rules": {{"overloadFactor": {}, "coldFrom": {}, "fallMs": {}, "warmWithinMs": {}}}}}"#,
            self.processes,
            self.cores,
            self.threads,
            self.threads,
            aim_ms(false),
            self.time_left() / 1000,
            aim_ms(true),
            self.time_left() / 1000,
            self.overload,
            self.cold_from,
            self.fall / 1000,
            self.warm / 1000,
        )
    }

    /// How long clients wait.
    pub fn time_left(&self) -> Micros {
        (6.0 * self.mean_work(self.long > 0.0) / self.threads) as Micros + 3 * SECOND
    }
}

/// The most that a cold engine may get in a window in which the settings allow so many calls.
/// Under 30 calls the term adds 3 x root of N + 3 to N; read without N it would be under N itself from 17 calls on.
pub fn bound(calls: f64) -> f64 {
    if calls < 30.0 {
        calls + 3.0 * calls.sqrt() + 3.0
    } else {
        calls + 2.0 * calls.sqrt() + 2.0
    }
}
