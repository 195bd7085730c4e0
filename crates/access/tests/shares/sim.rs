//! Fronts that share one limit in simulated time: a ledger that is one register, fronts with clocks of their own,
//! cuts, stalls, restarts with an empty memory, asks that come twice. What began and when is recorded apart.

use std::collections::BTreeMap;

use hallmux_access::{
    Entry, Key, LeaseTerms, LedgerRequest, Limit, Moment, Operation, Outcome, Owner, Shares,
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

use crate::faults::{self, Fault};

const STEP: i64 = 5_000; // microseconds of true time between looks at everything
const PATIENCE: i64 = 500_000; // microseconds until the ledger says that it cannot be reached
pub const DRIFT_PPM: u32 = 10_000;

pub struct Front {
    pub shares: Shares,
    life: u64,
    rate: f64,
    /// Statements a second that it is asked for.
    pub asked: f64,
    cut: i64,
    stalled: i64,
    next: u64,
    /// Statements to begin, when; and those under way.
    queued: Vec<(i64, u64)>,
    running: Vec<(i64, u64)>,
}

#[derive(Default, Debug, Clone)]
pub struct Tallies {
    pub cuts: u64,
    pub stalls: u64,
    pub restarts: u64,
    pub asked: u64,
    pub began: u64,
    pub refused: u64,
    /// Refused though fewer than the limit had begun in the window before.
    pub not_needed: u64,
    pub messages: u64,
}

pub struct Sim {
    rng: Pcg64,
    pub now: i64,
    pub limit: Limit,
    pub fronts: Vec<Front>,
    /// Terms that a front goes by, beside those of the fleet.
    odd: Option<(usize, LeaseTerms)>,
    pub faults: bool,
    ledger: BTreeMap<Key, Entry>,
    last: u64,
    asks: Vec<(i64, usize, u64, LedgerRequest, bool)>,
    answers: Vec<(i64, usize, u64, u64, Outcome)>,
    pub began: Vec<i64>,
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
        most: u32,
        window: i64,
        odd: Option<(usize, LeaseTerms)>,
    ) -> Sim {
        let mut rng = Pcg64::seed_from_u64(seed);
        let drift = f64::from(DRIFT_PPM) / 1e6;
        let mut sim = Sim {
            fronts: Vec::new(),
            now: 0,
            limit: Limit {
                rule: "a".to_string(),
                most,
                window,
            },
            odd,
            faults: false,
            ledger: BTreeMap::new(),
            last: 0,
            asks: Vec::new(),
            answers: Vec::new(),
            began: Vec::new(),
            tallies: Tallies::default(),
            rng: rng.clone(),
        };
        for n in 0..fronts {
            let rate = 1.0 + rng.random_range(-drift..drift);
            let shares = sim.shares(n, 1, fronts);
            sim.fronts.push(Front {
                shares,
                life: 1,
                rate,
                asked: 0.0,
                cut: 0,
                stalled: 0,
                next: 0,
                queued: Vec::new(),
                running: Vec::new(),
            });
        }
        sim
    }

    fn shares(&self, front: usize, life: u64, fronts: usize) -> Shares {
        let terms = self
            .odd
            .filter(|(odd, _)| *odd == front)
            .map_or(terms(), |(_, terms)| terms);
        Shares::new(
            Owner {
                front: front as u64 + 1,
                incarnation: life,
            },
            terms,
            fronts,
        )
    }

    fn moment(&self, front: usize) -> Moment {
        let steady = (self.now as f64 * self.fronts[front].rate) as i64 + front as i64 * 77_000;
        Moment {
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
                if self.fronts[front].stalled <= self.now {
                    self.run_front(front);
                }
            }
        }
    }

    /// A front stands still for good.
    pub fn lose(&mut self, front: usize) {
        self.fronts[front].stalled = i64::MAX;
    }

    fn draw_faults(&mut self) {
        let (front, fault) = faults::draw(&mut self.rng, self.fronts.len());
        match fault {
            Fault::Cut(time) => {
                self.fronts[front].cut = self.now + time;
                self.tallies.cuts += 1;
            }
            Fault::Stall(time) => {
                self.fronts[front].stalled = self.now + time;
                self.tallies.stalls += 1;
            }
            Fault::Restart => {
                let life = self.fronts[front].life + 1;
                let shares = self.shares(front, life, self.fronts.len());
                let f = &mut self.fronts[front];
                (f.shares, f.life) = (shares, life);
                f.queued.clear();
                f.running.clear();
                self.tallies.restarts += 1;
            }
            Fault::None(9..15) => {
                let most = f64::from(self.limit.most) / (self.limit.window as f64 / 1e6);
                let busy = self.rng.random_bool(0.4);
                self.fronts[front].asked = if busy {
                    self.rng.random_range(0.0..2.0) * most
                } else {
                    0.0
                };
            }
            Fault::None(_) => {}
        }
    }

    /// Asks and answers on their way.
    fn deliver(&mut self) {
        let (due, later) = std::mem::take(&mut self.asks)
            .into_iter()
            .partition(|(at, ..)| *at <= self.now);
        self.asks = later;
        let due: Vec<(i64, usize, u64, LedgerRequest, bool)> = due;
        for (_, front, life, ask, answered) in due {
            let outcome = self.ledger_act(front, life, &ask);
            if answered {
                let back = self.now + self.rng.random_range(500..15_000);
                self.answers.push((back, front, life, ask.number, outcome));
            }
        }
        let (due, later) = std::mem::take(&mut self.answers)
            .into_iter()
            .partition(|(at, ..)| *at <= self.now);
        self.answers = later;
        let due: Vec<(i64, usize, u64, u64, Outcome)> = due;
        for (at, front, life, number, outcome) in due {
            if self.fronts[front].stalled > self.now {
                self.answers.push((at, front, life, number, outcome)); // it lies in its socket until it wakes
            } else if self.fronts[front].life == life {
                let moment = self.moment(front);
                let f = &mut self.fronts[front];
                let next = &mut f.next;
                f.shares.done(moment, number, outcome, &mut || {
                    *next += 1;
                    *next
                });
            }
        }
    }

    fn ledger_act(&mut self, front: usize, life: u64, ask: &LedgerRequest) -> Outcome {
        let current = self.ledger.get(&ask.key).cloned();
        let Operation::Put {
            expects,
            ends_ms,
            value,
        } = &ask.operation
        else {
            return current.map_or(Outcome::Absent, Outcome::Stands);
        };
        if expects.is_some_and(|expects| expects != current.as_ref().map_or(0, |e| e.version)) {
            return current.map_or(Outcome::Absent, Outcome::Held);
        }
        self.last += 1;
        let owner = Owner {
            front: front as u64 + 1,
            incarnation: life,
        };
        let (key, ends_ms, value) = (ask.key.clone(), *ends_ms, value.clone());
        let entry = Entry {
            key,
            owner,
            version: self.last,
            ends_ms,
            value,
        };
        self.ledger.insert(ask.key.clone(), entry.clone());
        Outcome::Stands(entry)
    }

    fn run_front(&mut self, front: usize) {
        let at = self.moment(front);
        let expected = self.fronts[front].asked * STEP as f64 / 1e6;
        let mut arrive = expected as u64;
        arrive += u64::from(
            self.rng
                .random_bool((expected - arrive as f64).clamp(0.0, 1.0)),
        );
        for _ in 0..arrive {
            self.tallies.asked += 1;
            let f = &mut self.fronts[front];
            f.next += 1;
            let (statement, limits) = (f.next, vec![self.limit.clone()]);
            if f.shares.take(at.steady, statement, limits) {
                self.queue(front, statement);
            }
        }
        let f = &mut self.fronts[front];
        let next = &mut f.next;
        f.shares.tick(at, &mut || {
            *next += 1;
            *next
        });
        let (ready, refused) = (
            std::mem::take(&mut f.shares.ready),
            std::mem::take(&mut f.shares.refused),
        );
        let asks = std::mem::take(&mut f.shares.asks);
        ready
            .into_iter()
            .for_each(|statement| self.queue(front, statement));
        if !refused.is_empty() {
            let since = self.now - self.limit.window;
            let began = self
                .began
                .iter()
                .rev()
                .take_while(|at| **at > since)
                .count();
            self.tallies.refused += refused.len() as u64;
            let room = began < self.limit.most as usize;
            self.tallies.not_needed += if room { refused.len() as u64 } else { 0 };
        }
        for ask in asks {
            self.tallies.messages += 1;
            let cut = self.fronts[front].cut > self.now;
            let life = self.fronts[front].life;
            if cut {
                let answer = (
                    self.now + PATIENCE,
                    front,
                    life,
                    ask.number,
                    Outcome::Unreachable,
                );
                self.answers.push(answer);
            }
            // Cut off: lost on its way there, or on its way back. Some come twice, the second late.
            let late = if cut {
                self.rng.random_range(0..3_000_000)
            } else {
                0
            };
            let there = self.now + self.rng.random_range(500..15_000) + late;
            if self.faults && self.rng.random_bool(0.05) {
                let again = there + self.rng.random_range(0..2_000_000);
                self.asks.push((again, front, life, ask.clone(), !cut));
            }
            if !cut || self.rng.random_bool(0.3) {
                self.asks.push((there, front, life, ask, !cut));
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

    fn begin(&mut self, front: usize, at: Moment) {
        let now = self.now;
        let f = &mut self.fronts[front];
        let (due, later): (Vec<_>, Vec<_>) = f.queued.drain(..).partition(|(when, _)| *when <= now);
        f.queued = later;
        for (_, statement) in due {
            if f.shares.begins(at.steady, statement) {
                self.began.push(now);
                self.tallies.began += 1;
                f.running.push((now + 300_000, statement));
            } else {
                f.shares.over(statement);
            }
        }
        let (over, running): (Vec<_>, Vec<_>) =
            f.running.drain(..).partition(|(ends, _)| *ends <= now);
        f.running = running;
        over.into_iter()
            .for_each(|(_, statement)| f.shares.over(statement));
    }

    /// The most that began in any window, and where.
    pub fn most(&self) -> (usize, i64) {
        let window = self.limit.window;
        let in_window = |from: usize| {
            let end = self
                .began
                .partition_point(|at| *at < self.began[from] + window);
            (end - from, self.began[from])
        };
        (0..self.began.len())
            .map(in_window)
            .max()
            .unwrap_or_default()
    }
}
