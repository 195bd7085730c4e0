//! The simulation: true time, a ledger that is one register a key, fronts with clocks of their own.

use std::collections::{BTreeMap, BTreeSet};

use hallmux_access::{
    read, Access, AccessConfig, Decision, Entry, Event, FleetHits, Head, Hit, Key, KnownNames,
    LeaseTerms, LedgerAnswer, LedgerRequest, Moment, Operation, Outcome, Owner, Request, RuleSet,
    RulesCommand, StoredVersion, WorkloadLocations,
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

#[path = "faults_drawn.rs"]
mod faults_drawn;
#[path = "record.rs"]
mod record;

pub use faults_drawn::{Faults, Tallies};

const FRONTS: usize = 5;
const STEP: i64 = 5_000; // microseconds of true time between looks at everything
const PATIENCE: i64 = 500_000; // microseconds until the ledger says that it cannot be reached
const DRIFT_PPM: u32 = 10_000;
const PLACES: [&str; 3] = ["eu", "us", "ap"];

struct Front {
    access: Access,
    life: u64,
    rate: f64,
    cut: i64,
    stalled: i64,
    file: Option<String>,
    /// Statements that wait for their count, and their hits.
    waiting: BTreeMap<u64, (Request, hallmux_access::Verdict, Vec<Hit>)>,
    /// Statements to be sent, when.
    queued: Vec<(i64, u64, Request, hallmux_access::Verdict)>,
    running: BTreeMap<u64, i64>,
}

struct Sent {
    at: i64,
    front: usize,
    asked: Request,
    place: u16,
}

pub struct Sim {
    rng: Pcg64,
    now: i64,
    faults: Faults,
    fronts: Vec<Front>,
    ledger: BTreeMap<Key, Entry>,
    last: u64,
    /// Asks on their way there, and answers on their way back.
    asks: Vec<(i64, usize, u64, LedgerRequest, bool)>,
    answers: Vec<(i64, usize, u64, LedgerAnswer)>,
    texts: BTreeMap<[u8; 32], String>,
    next_version: u64,
    sent: Vec<Sent>,
    /// When the ledger took a version, and when a front first said that it is in force.
    accepted: BTreeMap<u64, (i64, String)>,
    in_force: BTreeMap<u64, i64>,
    pub events: Vec<(i64, usize, Event)>,
    pub judged: BTreeMap<Hit, u64>,
    pub acked: BTreeMap<Hit, u64>,
    counts: BTreeMap<usize, FleetHits>,
    /// No statements come.
    pub quiet: bool,
    pub tallies: Tallies,
}

fn known() -> KnownNames {
    let names = |all: &[&str]| all.iter().map(|n| n.to_string()).collect::<Vec<_>>();
    let bound = |name: &str| WorkloadLocations {
        name: name.to_string(),
        locations: None,
    };
    KnownNames {
        customers: names(&["acme", "brisk", "free"]),
        workloads: vec![bound("lookup"), bound("report")],
        locations: names(&PLACES),
        regions: BTreeMap::new(),
        covered: Some(names(&["acme", "brisk"])),
    }
}

fn set(version: u64, text: &str) -> RuleSet {
    match read("rules.json5", text, &known(), &|_| None) {
        Ok(RulesCommand::Replace(set)) => RuleSet { version, ..set },
        other => panic!("{other:?}: {text}"),
    }
}

impl Sim {
    pub fn new(seed: u64, faults: Faults) -> Sim {
        let mut rng = Pcg64::seed_from_u64(seed);
        let drift = f64::from(DRIFT_PPM) / 1e6;
        let fronts = (0..FRONTS).map(|n| Front {
            access: access(n, 1),
            life: 1,
            rate: 1.0 + rng.random_range(-drift..drift) + if n == 0 { faults.clock } else { 0.0 },
            cut: 0,
            stalled: 0,
            file: None,
            waiting: BTreeMap::new(),
            queued: Vec::new(),
            running: BTreeMap::new(),
        });
        let fronts = fronts.collect();
        Sim {
            rng,
            now: 0,
            faults,
            fronts,
            ledger: BTreeMap::new(),
            last: 0,
            asks: Vec::new(),
            answers: Vec::new(),
            texts: BTreeMap::new(),
            next_version: 1,
            sent: Vec::new(),
            accepted: BTreeMap::new(),
            in_force: BTreeMap::new(),
            events: Vec::new(),
            judged: BTreeMap::new(),
            acked: BTreeMap::new(),
            counts: BTreeMap::new(),
            quiet: false,
            tallies: Tallies::default(),
        }
    }

    pub fn len(&self) -> usize {
        self.fronts.len()
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
            if self.faults.on {
                self.draw_faults();
            }
            self.deliver();
            for front in 0..FRONTS {
                if self.fronts[front].stalled <= self.now {
                    self.run_front(front);
                }
            }
        }
    }

    pub fn heal(&mut self) {
        self.faults.on = false;
        self.fronts
            .iter_mut()
            .for_each(|f| (f.cut, f.stalled) = (0, 0));
    }

    pub fn offer_text(&mut self, front: usize, _version: u64, text: &str) {
        self.fronts[front].file = Some(text.to_string());
        self.offer(front, text);
    }

    pub fn offer(&mut self, front: usize, text: &str) {
        let command = read("rules.json5", text, &known(), &|_| None).expect("a good file");
        self.texts
            .insert(StoredVersion::of(1, text).hash, text.to_string());
        self.fronts[front]
            .access
            .offer("rules.json5", text, command);
    }

    /// Asks and answers on their way.
    fn deliver(&mut self) {
        let (due, later) = std::mem::take(&mut self.asks)
            .into_iter()
            .partition(|(at, ..)| *at <= self.now);
        self.asks = later;
        let due: Vec<(i64, usize, u64, LedgerRequest, bool)> = due;
        for (_, front, life, ask, answered) in due {
            let owner = Owner {
                front: front as u64 + 1,
                incarnation: life,
            };
            let outcome = self.ledger_act(owner, &ask);
            if answered {
                let back = self.now + self.rng.random_range(500..15_000);
                self.answers.push((
                    back,
                    front,
                    life,
                    LedgerAnswer {
                        number: ask.number,
                        outcome,
                    },
                ));
            }
        }
        let (due, later) = std::mem::take(&mut self.answers)
            .into_iter()
            .partition(|(at, ..)| *at <= self.now);
        self.answers = later;
        let due: Vec<(i64, usize, u64, LedgerAnswer)> = due;
        for (at, front, life, done) in due {
            if self.fronts[front].stalled > self.now {
                self.answers.push((at, front, life, done)); // it lies in its socket until it wakes
            } else if self.fronts[front].life == life {
                let moment = self.moment(front);
                self.fronts[front].access.on_ledger_answer(moment, done);
            }
        }
    }

    fn ledger_act(&mut self, owner: Owner, ask: &LedgerRequest) -> Outcome {
        let current = self.ledger.get(&ask.key).cloned();
        let Operation::Put {
            expects,
            ends_ms,
            value,
        } = &ask.operation
        else {
            return current.map_or(Outcome::Absent, Outcome::Stands);
        };
        let version = current.as_ref().map_or(0, |e| e.version);
        if expects.is_some_and(|expects| expects != version) {
            return current.map_or(Outcome::Absent, Outcome::Held);
        }
        self.last += 1;
        let entry = Entry {
            key: ask.key.clone(),
            owner,
            version: self.last,
            ends_ms: *ends_ms,
            value: value.clone(),
        };
        if ask.key.name == "head" {
            let head = Head::read(value).expect("a head");
            let text = self.texts[&head.current.hash].clone();
            self.accepted
                .entry(head.current.version)
                .or_insert((self.now, text));
        }
        self.ledger.insert(ask.key.clone(), entry.clone());
        Outcome::Stands(entry)
    }

    fn run_front(&mut self, front: usize) {
        let at = self.moment(front);
        if self.rng.random_bool(0.2) && !self.quiet {
            self.statement(front, at);
        }
        let f = &mut self.fronts[front];
        f.access.tick(at);
        let out = f.access.take();
        for ask in out.ledger_requests {
            let (there, cut) = (
                self.now + self.rng.random_range(500..15_000),
                self.fronts[front].cut > self.now,
            );
            // Cut off: lost on its way there, or on its way back.
            let arrives = !cut || self.rng.random_bool(0.3);
            let life = self.fronts[front].life;
            if cut {
                let done = LedgerAnswer {
                    number: ask.number,
                    outcome: Outcome::Unreachable,
                };
                self.answers.push((self.now + PATIENCE, front, life, done));
            }
            if arrives {
                let there = if cut {
                    there + self.rng.random_range(0..3_000_000)
                } else {
                    there
                };
                self.asks.push((there, front, life, ask, !cut));
            }
        }
        for event in out.events {
            match &event {
                Event::InForce { version } => {
                    self.in_force.entry(*version).or_insert(self.now);
                    self.tallies.in_force += 1;
                }
                Event::Refused(why) => match why.to_string().contains("not above") {
                    true => self.tallies.old += 1,
                    false => self.tallies.lost += 1,
                },
                Event::Unreadable { what } => panic!("{what}"),
                _ => {}
            }
            self.events.push((self.now, front, event));
        }
        out.fleet_hits
            .into_iter()
            .for_each(|fleet| _ = self.counts.insert(front, fleet));
        let f = &mut self.fronts[front];
        for statement in out.counted {
            let Some((asked, verdict, hits)) = f.waiting.remove(&statement) else {
                continue;
            };
            hits.into_iter()
                .for_each(|hit| *self.acked.entry(hit).or_default() += 1);
            if verdict.denied.is_some() {
                self.tallies.denied += 1;
                f.access.statement_over(statement);
            } else {
                let wait = if self.rng.random_bool(0.2) {
                    8_000_000
                } else {
                    50_000
                };
                f.queued.push((
                    self.now + self.rng.random_range(0..wait),
                    statement,
                    asked,
                    verdict,
                ));
            }
        }
        for statement in out.over_limit {
            self.tallies.limited += 1;
            f.waiting.remove(&statement);
            f.access.statement_over(statement);
        }
        for statement in out.revoked {
            self.tallies.ended += 1;
            f.running.remove(&statement);
            f.access.statement_over(statement);
        }
        self.send(front, at);
    }

    fn statement(&mut self, front: usize, at: Moment) {
        let customer = ["acme", "brisk", "free"][self.rng.random_range(0..3)].to_string();
        let workload = ["lookup", "report"][self.rng.random_range(0..2)].to_string();
        let asked = Request {
            customer,
            workload,
            groups: Some(vec![self.rng.random_range(0..4)]),
        };
        let f = &mut self.fronts[front];
        let judged = f.access.judge(at, asked.clone());
        let free = asked.customer == "free";
        self.tallies.free += u64::from(free);
        self.tallies.free_refused += u64::from(free && judged != Decision::Unrestricted);
        match judged {
            Decision::Unrestricted => {}
            Decision::RulesUnknown => self.tallies.closed += 1,
            Decision::Decided {
                statement,
                verdict,
                waits,
            } => {
                let name = |rule: usize, f: &Front| {
                    let v = hallmux_access::Verdict {
                        rule: Some(rule),
                        ..verdict.clone()
                    };
                    f.access.rule(&v).unwrap_or_default().to_string()
                };
                let rules: BTreeSet<usize> =
                    verdict.rule.into_iter().chain(verdict.counts).collect();
                let hit = |rule| Hit {
                    rule: name(rule, f),
                    customer: asked.customer.clone(),
                    region: "eu".to_string(),
                };
                let hits: Vec<Hit> = rules.into_iter().map(hit).collect();
                hits.iter()
                    .for_each(|hit| *self.judged.entry(hit.clone()).or_default() += 1);
                match waits {
                    true => _ = f.waiting.insert(statement, (asked, verdict, hits)),
                    false => f.queued.push((self.now, statement, asked, verdict)),
                }
            }
        }
    }

    fn send(&mut self, front: usize, at: Moment) {
        let f = &mut self.fronts[front];
        let (due, later) = std::mem::take(&mut f.queued)
            .into_iter()
            .partition(|(when, ..)| *when <= self.now);
        f.queued = later;
        let due: Vec<(i64, u64, Request, hallmux_access::Verdict)> = due;
        for (_, statement, asked, verdict) in due {
            let allowed = verdict.allowed.unwrap_or_else(|| vec![0, 1, 2]);
            let place = allowed[self.rng.random_range(0..allowed.len())];
            if f.access.may_send(at, statement, 0, PLACES[place as usize]) {
                self.sent.push(Sent {
                    at: self.now,
                    front,
                    asked,
                    place,
                });
                self.tallies.sent += 1;
                f.running.insert(
                    statement,
                    self.now + self.rng.random_range(10_000..2_000_000),
                );
            } else {
                f.access.statement_over(statement);
            }
        }
        let over: Vec<u64> = f
            .running
            .iter()
            .filter(|(_, ends)| **ends <= self.now)
            .map(|(s, _)| *s)
            .collect();
        for statement in over {
            f.running.remove(&statement);
            f.access.execution_ended(statement, 0);
            f.access.statement_over(statement);
        }
    }
}

fn access(front: usize, life: u64) -> Access {
    Access::new(AccessConfig {
        own: Owner {
            front: front as u64 + 1,
            incarnation: life,
        },
        fronts: (1..=FRONTS as u64).collect(),
        region: "eu".to_string(),
        known: known(),
        terms: LeaseTerms {
            length: 3_000_000,
            drift_ppm: DRIFT_PPM,
        },
        remembers: 0,
        first_number: 1 << 40,
    })
}
