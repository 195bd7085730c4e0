//! Fronts that share one limit in simulated time: a ledger with one register, fronts with clocks of
//! their own, cuts, stalls, restarts with an empty memory, and duplicated requests. The times at
//! which statements begin are recorded independently.

use std::collections::BTreeMap;

use hallmux_access::{
    ClockReading, Entry, Key, LeaseTerms, LedgerRequest, Limit, Operation, Outcome, Owner, Shares,
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

use crate::faults::{self, Fault};

const STEP: i64 = 5_000; // microseconds of true time in a simulation step
const UNREACHABLE_TIMEOUT: i64 = 500_000; // microseconds until the ledger is reported as unreachable
pub const DRIFT_PPM: u32 = 10_000;

pub struct Front {
    pub shares: Shares,
    incarnation: u64,
    clock_rate: f64,
    /// The rate at which statements arrive.
    pub statements_per_second: f64,
    cut_until: i64,
    stalled_until: i64,
    last_number: u64,
    /// Statements to begin and those running, each with a time.
    queued: Vec<(i64, u64)>,
    running: Vec<(i64, u64)>,
}

#[derive(Default, Debug, Clone)]
pub struct Tallies {
    pub cuts: u64,
    pub stalls: u64,
    pub restarts: u64,
    pub arrived: u64,
    pub began: u64,
    pub rejected: u64,
    /// Rejections although fewer statements than the limit had begun in the window before.
    pub needless_rejections: u64,
    pub messages: u64,
}

pub struct Sim {
    rng: Pcg64,
    pub now: i64,
    pub limit: Limit,
    pub fronts: Vec<Front>,
    /// A front whose terms differ from the fleet's.
    terms_override: Option<(usize, LeaseTerms)>,
    pub faults: bool,
    ledger: BTreeMap<Key, Entry>,
    last_version: u64,
    requests: Vec<(i64, usize, u64, LedgerRequest, bool)>,
    answers: Vec<(i64, usize, u64, u64, Outcome)>,
    pub begin_times: Vec<i64>,
    pub tallies: Tallies,
}

pub fn terms() -> LeaseTerms {
    LeaseTerms {
        length: 3_000_000,
        drift_ppm: DRIFT_PPM,
    }
}

impl Sim {
    pub fn new(
        seed: u64,
        fronts: usize,
        max_statements: u32,
        window: i64,
        terms_override: Option<(usize, LeaseTerms)>,
    ) -> Sim {
        let mut rng = Pcg64::seed_from_u64(seed);
        let drift = f64::from(DRIFT_PPM) / 1e6;
        let mut sim = Sim {
            fronts: Vec::new(),
            now: 0,
            limit: Limit {
                rule: "a".to_string(),
                max_statements,
                window,
            },
            terms_override,
            faults: false,
            ledger: BTreeMap::new(),
            last_version: 0,
            requests: Vec::new(),
            answers: Vec::new(),
            begin_times: Vec::new(),
            tallies: Tallies::default(),
            rng: rng.clone(),
        };
        for n in 0..fronts {
            let rate = 1.0 + rng.random_range(-drift..drift);
            let shares = sim.shares(n, 1, fronts);
            sim.fronts.push(Front {
                shares,
                incarnation: 1,
                clock_rate: rate,
                statements_per_second: 0.0,
                cut_until: 0,
                stalled_until: 0,
                last_number: 0,
                queued: Vec::new(),
                running: Vec::new(),
            });
        }
        sim
    }

    fn shares(&self, front: usize, incarnation: u64, fronts: usize) -> Shares {
        let terms = self
            .terms_override
            .filter(|(overridden, _)| *overridden == front)
            .map_or(terms(), |(_, terms)| terms);
        Shares::new(
            Owner {
                front: front as u64 + 1,
                incarnation,
            },
            terms,
            fronts,
        )
    }

    fn clock_reading(&self, front: usize) -> ClockReading {
        let steady =
            (self.now as f64 * self.fronts[front].clock_rate) as i64 + front as i64 * 77_000;
        ClockReading {
            steady,
            wall_ms: 1_700_000_000_000 + self.now as u64 / 1000,
        }
    }

    pub fn run(&mut self, time: i64) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            if self.faults {
                self.draw_faults();
            }
            self.deliver();
            for front in 0..self.fronts.len() {
                if self.fronts[front].stalled_until <= self.now {
                    self.run_front(front);
                }
            }
        }
    }

    /// Stalls a front for the rest of the run.
    pub fn stall_forever(&mut self, front: usize) {
        self.fronts[front].stalled_until = i64::MAX;
    }

    fn draw_faults(&mut self) {
        let (front, fault) = faults::draw(&mut self.rng, self.fronts.len());
        match fault {
            Fault::Cut(time) => {
                self.fronts[front].cut_until = self.now + time;
                self.tallies.cuts += 1;
            }
            Fault::Stall(time) => {
                self.fronts[front].stalled_until = self.now + time;
                self.tallies.stalls += 1;
            }
            Fault::Restart => {
                let incarnation = self.fronts[front].incarnation + 1;
                let shares = self.shares(front, incarnation, self.fronts.len());
                let f = &mut self.fronts[front];
                (f.shares, f.incarnation) = (shares, incarnation);
                f.queued.clear();
                f.running.clear();
                self.tallies.restarts += 1;
            }
            Fault::None(9..15) => {
                let most = f64::from(self.limit.max_statements) / (self.limit.window as f64 / 1e6);
                let busy = self.rng.random_bool(0.4);
                self.fronts[front].statements_per_second = if busy {
                    self.rng.random_range(0.0..2.0) * most
                } else {
                    0.0
                };
            }
            Fault::None(_) => {}
        }
    }

    /// Delivers the requests and answers that are due.
    fn deliver(&mut self) {
        let (due, later) = std::mem::take(&mut self.requests)
            .into_iter()
            .partition(|(at, ..)| *at <= self.now);
        self.requests = later;
        let due: Vec<(i64, usize, u64, LedgerRequest, bool)> = due;
        for (_, front, incarnation, request, is_answered) in due {
            let outcome = self.apply_request(front, incarnation, &request);
            if is_answered {
                let back = self.now + self.rng.random_range(500..15_000);
                self.answers
                    .push((back, front, incarnation, request.number, outcome));
            }
        }
        let (due, later) = std::mem::take(&mut self.answers)
            .into_iter()
            .partition(|(at, ..)| *at <= self.now);
        self.answers = later;
        let due: Vec<(i64, usize, u64, u64, Outcome)> = due;
        for (at, front, incarnation, number, outcome) in due {
            if self.fronts[front].stalled_until > self.now {
                self.answers.push((at, front, incarnation, number, outcome)); // the answer stays in the socket until the stall ends
            } else if self.fronts[front].incarnation == incarnation {
                let now = self.clock_reading(front);
                let f = &mut self.fronts[front];
                let last_number = &mut f.last_number;
                f.shares.on_ledger_answer(now, number, outcome, &mut || {
                    *last_number += 1;
                    *last_number
                });
            }
        }
    }

    fn apply_request(
        &mut self,
        front: usize,
        incarnation: u64,
        request: &LedgerRequest,
    ) -> Outcome {
        let current = self.ledger.get(&request.key).cloned();
        let Operation::Put {
            expects,
            ends_ms,
            value,
        } = &request.operation
        else {
            return current.map_or(Outcome::Absent, Outcome::Stands);
        };
        if expects.is_some_and(|expects| expects != current.as_ref().map_or(0, |e| e.version)) {
            return current.map_or(Outcome::Absent, Outcome::Held);
        }
        self.last_version += 1;
        let owner = Owner {
            front: front as u64 + 1,
            incarnation,
        };
        let (key, ends_ms, value) = (request.key.clone(), *ends_ms, value.clone());
        let entry = Entry {
            key,
            owner,
            version: self.last_version,
            ends_ms,
            value,
        };
        self.ledger.insert(request.key.clone(), entry.clone());
        Outcome::Stands(entry)
    }

    fn run_front(&mut self, front: usize) {
        let at = self.clock_reading(front);
        let expected = self.fronts[front].statements_per_second * STEP as f64 / 1e6;
        let mut arrive = expected as u64;
        arrive += u64::from(
            self.rng
                .random_bool((expected - arrive as f64).clamp(0.0, 1.0)),
        );
        for _ in 0..arrive {
            self.tallies.arrived += 1;
            let f = &mut self.fronts[front];
            f.last_number += 1;
            let (statement, limits) = (f.last_number, vec![self.limit.clone()]);
            if f.shares.acquire(at.steady, statement, limits) {
                self.queue(front, statement);
            }
        }
        let f = &mut self.fronts[front];
        let last_number = &mut f.last_number;
        f.shares.tick(at, &mut || {
            *last_number += 1;
            *last_number
        });
        let (ready, rejected) = (
            std::mem::take(&mut f.shares.ready),
            std::mem::take(&mut f.shares.rejected),
        );
        let requests = std::mem::take(&mut f.shares.ledger_requests);
        ready
            .into_iter()
            .for_each(|statement| self.queue(front, statement));
        if !rejected.is_empty() {
            let since = self.now - self.limit.window;
            let began = self
                .begin_times
                .iter()
                .rev()
                .take_while(|at| **at > since)
                .count();
            self.tallies.rejected += rejected.len() as u64;
            let room = began < self.limit.max_statements as usize;
            self.tallies.needless_rejections += if room { rejected.len() as u64 } else { 0 };
        }
        for request in requests {
            self.tallies.messages += 1;
            let cut = self.fronts[front].cut_until > self.now;
            let incarnation = self.fronts[front].incarnation;
            if cut {
                let answer = (
                    self.now + UNREACHABLE_TIMEOUT,
                    front,
                    incarnation,
                    request.number,
                    Outcome::Unreachable,
                );
                self.answers.push(answer);
            }
            // A cut loses the request or only its answer. Some requests are duplicated, the second
            // one late.
            let late = if cut {
                self.rng.random_range(0..3_000_000)
            } else {
                0
            };
            let there = self.now + self.rng.random_range(500..15_000) + late;
            if self.faults && self.rng.random_bool(0.05) {
                let again = there + self.rng.random_range(0..2_000_000);
                self.requests
                    .push((again, front, incarnation, request.clone(), !cut));
            }
            if !cut || self.rng.random_bool(0.3) {
                self.requests
                    .push((there, front, incarnation, request, !cut));
            }
        }
        self.begin(front, at);
    }

    fn queue(&mut self, front: usize, statement: u64) {
        let wait = if self.rng.random_bool(0.05) {
            4_000_000
        } else {
            20_000
        };
        let wait = if self.faults {
            self.rng.random_range(0..wait)
        } else {
            0
        };
        self.fronts[front].queued.push((self.now + wait, statement));
    }

    fn begin(&mut self, front: usize, at: ClockReading) {
        let now = self.now;
        let f = &mut self.fronts[front];
        let (due, later): (Vec<_>, Vec<_>) = f.queued.drain(..).partition(|(when, _)| *when <= now);
        f.queued = later;
        for (_, statement) in due {
            if f.shares.begin(at.steady, statement) {
                self.begin_times.push(now);
                self.tallies.began += 1;
                f.running.push((now + 300_000, statement));
            } else {
                f.shares.release(statement);
            }
        }
        let (over, running): (Vec<_>, Vec<_>) =
            f.running.drain(..).partition(|(ends, _)| *ends <= now);
        f.running = running;
        over.into_iter()
            .for_each(|(_, statement)| f.shares.release(statement));
    }

    /// Returns the most statements that began in any window, and the start of that window.
    pub fn max_in_window(&self) -> (usize, i64) {
        let window = self.limit.window;
        let in_window = |from: usize| {
            let end = self
                .begin_times
                .partition_point(|at| *at < self.begin_times[from] + window);
            (end - from, self.begin_times[from])
        };
        (0..self.begin_times.len())
            .map(in_window)
            .max()
            .unwrap_or_default()
    }
}
