//! The parameters of a simulation: the settings, the demand, the behaviour of the cold engines, and
//! when each process learns of their start.

use hallmux_dispatcher::Micros;

pub const SECOND: Micros = 1_000_000; // microseconds
pub const START: Micros = 4 * SECOND; // when the cold engines start

/// The random draws of a simulation, all derived from its seed.
pub struct Random(u64);

impl Random {
    pub fn new(seed: u64) -> Self {
        Random(seed)
    }

    pub fn next_u64(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mixed = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    /// A number from 0 (included) to 1 (excluded).
    pub fn unit(&mut self) -> f64 {
        (self.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    pub fn choose<T: Copy>(&mut self, choices: &[T]) -> T {
        choices[(self.unit() * choices.len() as f64) as usize]
    }

    pub fn below(&mut self, limit: Micros) -> Micros {
        (self.unit() * limit as f64) as Micros
    }

    /// The time to the next event of a Poisson process with this mean rate per second.
    pub fn exponential_gap(&mut self, rate: f64) -> Micros {
        (-(1.0 - self.unit()).ln() / rate * SECOND as f64) as Micros
    }
}

/// How the cold engines enter the engine list.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Arrival {
    /// Listed for the first time.
    New,
    /// Listed and used before, then removed for three seconds and listed again with a new start.
    Relisted,
    /// Listed all the time: the engine refuses connections for three seconds, then has a new start.
    Unannounced,
}

/// How a cold engine handles executions.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Behaviour {
    Answers,
    /// Rejects every execution at once.
    Rejects,
    /// Sends no answer during its first four seconds.
    Silent,
    /// Refuses connections during its first three seconds.
    RefusesConnections,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Demand {
    /// A third more than the capacity of all engines.
    Steady,
    /// Almost none, then three times the capacity of all engines, from this time after the start.
    Burst(Micros),
}

#[derive(Clone, Debug)]
pub struct Parameters {
    pub processes: usize,
    pub cores: f64,
    pub threads: f64,
    /// The mean work of a statement on one thread, in microseconds.
    pub mean_work: f64,
    /// The share of long statements, which have six times the work of the others.
    pub long_share: f64,
    /// Whether the work of a statement varies from half to one and a half times the mean.
    pub has_varied_work: bool,
    /// Whether statements carry an estimate of their work.
    pub has_estimates: bool,
    /// The SLO time as a multiple of the running time of a statement on an idle engine.
    pub slo_factor: f64,
    pub overload_factor: f64,
    pub cold_capacity: f64,
    pub window: Micros,
    pub warm_up_time: Micros,
    pub has_load_reports: bool,
    pub cold_engines: usize,
    pub arrival: Arrival,
    pub behaviour: Behaviour,
    pub demand: Demand,
    /// The delay after which each process learns of the start.
    pub learned_after: Vec<Micros>,
    /// The restarts: process, time and downtime of each.
    pub restarts: Vec<(usize, Micros, Micros)>,
    /// Whether a process that restarts receives an old list, and learns of the start only after its
    /// delay in `learned_after`.
    pub has_stale_list: bool,
}

impl Parameters {
    /// Draws parameters. With `has_few_calls` the settings allow only a few calls, fewer than there
    /// are processes.
    pub fn draw(random: &mut Random, processes: usize, has_few_calls: bool) -> Parameters {
        let short_statements = [(100, 2), (100, 4), (200, 8), (500, 8), (500, 24)].as_slice();
        let long_statements = [
            (1500, 8),
            (1500, 16),
            (1500, 32),
            (5000, 16),
            (5000, 32),
            (5000, 64),
        ]
        .as_slice();
        let sizes = if has_few_calls {
            long_statements
        } else {
            short_statements
        };
        loop {
            let (work_ms, cores) = random.choose(sizes);
            let parameters = Parameters {
                processes,
                cores: f64::from(cores),
                threads: random.choose(&[1.0, 1.0, 2.0]),
                mean_work: f64::from(work_ms) * 1e3,
                long_share: 0.0,
                has_varied_work: random.unit() < 0.5,
                has_estimates: true,
                slo_factor: random.choose(&[1.0, 2.0, 4.0]),
                overload_factor: random.choose(&[2.0, 2.0, 2.5, 3.0, 4.0]),
                cold_capacity: random.choose(&[0.3, 0.32, 0.4, 0.5]),
                window: random.choose(&[1, 2, 3]) * SECOND,
                warm_up_time: random.choose(&[8, 10, 15]) * SECOND,
                has_load_reports: random.unit() < 0.5,
                cold_engines: 1,
                arrival: Arrival::New,
                behaviour: Behaviour::Answers,
                demand: Demand::Steady,
                learned_after: vec![0; processes],
                restarts: Vec::new(),
                has_stale_list: false,
            };
            if parameters.allowed_calls(START) >= 2.8 {
                return parameters;
            }
        }
    }

    /// The capacity of a cold engine at `now`, as a share of its capacity when warm.
    pub fn capacity_share(&self, now: Micros) -> f64 {
        let elapsed_share = (now - START) as f64 / self.warm_up_time as f64;
        self.cold_capacity + (1.0 - self.cold_capacity) * elapsed_share.clamp(0.0, 1.0)
    }

    /// The calls of mean work that the settings allow in a window, at the engine's capacity at
    /// `now`.
    pub fn allowed_calls(&self, now: Micros) -> f64 {
        self.overload_factor * self.cores * self.capacity_share(now) * self.window as f64
            / self.mean_work
    }

    /// The calls of mean work allowed during the whole warm-up.
    pub fn total_allowed_calls(&self) -> f64 {
        let mean_capacity = (self.cold_capacity + 1.0) / 2.0;
        self.overload_factor * self.cores * mean_capacity * self.warm_up_time as f64
            / self.mean_work
    }

    /// The mean work of the long statements, or of the others, in microseconds on one thread.
    pub fn mean_work_of(&self, is_long: bool) -> f64 {
        self.mean_work / (1.0 + 5.0 * self.long_share) * if is_long { 6.0 } else { 1.0 }
    }

    /// The statements per second that one warm engine can run.
    pub fn engine_rate(&self) -> f64 {
        self.cores / self.mean_work * SECOND as f64
    }

    pub fn settings(&self) -> String {
        let slo_ms =
            |is_long| self.slo_factor * self.mean_work_of(is_long) / self.threads / 1e3 + 500.0;
        let reports = if self.has_load_reports {
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
            slo_ms(false),
            self.time_left() / 1000,
            slo_ms(true),
            self.time_left() / 1000,
            self.overload_factor,
            self.cold_capacity,
            self.window / 1000,
            self.warm_up_time / 1000,
        )
    }

    /// The time until the client's deadline, in microseconds.
    pub fn time_left(&self) -> Micros {
        (6.0 * self.mean_work_of(self.long_share > 0.0) / self.threads) as Micros + 3 * SECOND
    }
}

/// The most calls that a cold engine may receive in a window for which the settings allow `calls`
/// (N). Under 30 calls, the margin 3 x root of N + 3 is added to N; a bound without N would be
/// below N itself from 17 calls on.
pub fn call_bound(calls: f64) -> f64 {
    if calls < 30.0 {
        calls + 3.0 * calls.sqrt() + 3.0
    } else {
        calls + 2.0 * calls.sqrt() + 2.0
    }
}
