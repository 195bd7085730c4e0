//! The simulation: true time, a ledger with one register for each key, and fronts with clocks of
//! their own.

use std::collections::{BTreeMap, BTreeSet};

use hallmux_access::{
    read, Access, AccessConfig, ClockReading, Decision, Entry, Event, FleetHits, Head, Hit, Key,
    KnownNames, LeaseTerms, LedgerAnswer, LedgerRequest, Operation, Outcome, Owner, Request,
    RuleSet, RulesCommand, StoredVersion, WorkloadLocations,
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

#[path = "faults_drawn.rs"]
mod faults_drawn;
#[path = "record.rs"]
mod record;

pub use faults_drawn::{Faults, Tallies};

const FRONTS: usize = 5;
const STEP: i64 = 5_000; // microseconds of true time in a simulation step
const UNREACHABLE_TIMEOUT: i64 = 500_000; // microseconds until the ledger is reported as unreachable
const DRIFT_PPM: u32 = 10_000;
const LOCATIONS: [&str; 3] = ["eu", "us", "ap"];

struct Front {
    access: Access,
    incarnation: u64,
    clock_rate: f64,
    cut_until: i64,
    stalled_until: i64,
    file: Option<String>,
    /// Statements that wait for their count, with their hits.
    waiting: BTreeMap<u64, (Request, hallmux_access::Verdict, Vec<Hit>)>,
    /// Statements to be sent, and when.
    queued: Vec<(i64, u64, Request, hallmux_access::Verdict)>,
    running: BTreeMap<u64, i64>,
}

struct Sent {
    at: i64,
    front: usize,
    request: Request,
    location: u16,
}

pub struct Sim {
    rng: Pcg64,
    now: i64,
    faults: Faults,
    fronts: Vec<Front>,
    ledger: BTreeMap<Key, Entry>,
    last_version: u64,
    /// Requests and answers in flight.
    requests: Vec<(i64, usize, u64, LedgerRequest, bool)>,
    answers: Vec<(i64, usize, u64, LedgerAnswer)>,
    texts: BTreeMap<[u8; 32], String>,
    next_version: u64,
    sent: Vec<Sent>,
    /// When the ledger accepted a version, and when a front first reported it as in force.
    accepted: BTreeMap<u64, (i64, String)>,
    in_force: BTreeMap<u64, i64>,
    pub events: Vec<(i64, usize, Event)>,
    pub evaluated: BTreeMap<Hit, u64>,
    pub confirmed: BTreeMap<Hit, u64>,
    counts: BTreeMap<usize, FleetHits>,
    /// Whether no statements arrive.
    pub has_no_traffic: bool,
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
        locations: names(&LOCATIONS),
        regions: BTreeMap::new(),
        covered_customers: Some(names(&["acme", "brisk"])),
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
            access: new_access(n, 1),
            incarnation: 1,
            clock_rate: 1.0
                + rng.random_range(-drift..drift)
                + if n == 0 { faults.excess_drift } else { 0.0 },
            cut_until: 0,
            stalled_until: 0,
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
            last_version: 0,
            requests: Vec::new(),
            answers: Vec::new(),
            texts: BTreeMap::new(),
            next_version: 1,
            sent: Vec::new(),
            accepted: BTreeMap::new(),
            in_force: BTreeMap::new(),
            events: Vec::new(),
            evaluated: BTreeMap::new(),
            confirmed: BTreeMap::new(),
            counts: BTreeMap::new(),
            has_no_traffic: false,
            tallies: Tallies::default(),
        }
    }

    pub fn len(&self) -> usize {
        self.fronts.len()
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
            if self.faults.on {
                self.draw_faults();
            }
            self.deliver();
            for front in 0..FRONTS {
                if self.fronts[front].stalled_until <= self.now {
                    self.run_front(front);
                }
            }
        }
    }

    pub fn end_faults(&mut self) {
        self.faults.on = false;
        self.fronts
            .iter_mut()
            .for_each(|f| (f.cut_until, f.stalled_until) = (0, 0));
    }

    pub fn propose_file(&mut self, front: usize, _version: u64, text: &str) {
        self.fronts[front].file = Some(text.to_string());
        self.propose(front, text);
    }

    pub fn propose(&mut self, front: usize, text: &str) {
        let command = read("rules.json5", text, &known(), &|_| None).expect("a good file");
        self.texts
            .insert(StoredVersion::of_text(1, text).hash, text.to_string());
        self.fronts[front]
            .access
            .propose("rules.json5", text, command);
    }

    /// Delivers the requests and answers that are due.
    fn deliver(&mut self) {
        let (due, later) = std::mem::take(&mut self.requests)
            .into_iter()
            .partition(|(at, ..)| *at <= self.now);
        self.requests = later;
        let due: Vec<(i64, usize, u64, LedgerRequest, bool)> = due;
        for (_, front, incarnation, request, is_answered) in due {
            let owner = Owner {
                front: front as u64 + 1,
                incarnation,
            };
            let outcome = self.apply_request(owner, &request);
            if is_answered {
                let back = self.now + self.rng.random_range(500..15_000);
                self.answers.push((
                    back,
                    front,
                    incarnation,
                    LedgerAnswer {
                        number: request.number,
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
        for (at, front, incarnation, done) in due {
            if self.fronts[front].stalled_until > self.now {
                self.answers.push((at, front, incarnation, done)); // the answer stays in the socket until the stall ends
            } else if self.fronts[front].incarnation == incarnation {
                let now = self.clock_reading(front);
                self.fronts[front].access.on_ledger_answer(now, done);
            }
        }
    }

    fn apply_request(&mut self, owner: Owner, request: &LedgerRequest) -> Outcome {
        let current = self.ledger.get(&request.key).cloned();
        let Operation::Put {
            expects,
            ends_ms,
            value,
        } = &request.operation
        else {
            return current.map_or(Outcome::Absent, Outcome::Stands);
        };
        let version = current.as_ref().map_or(0, |e| e.version);
        if expects.is_some_and(|expects| expects != version) {
            return current.map_or(Outcome::Absent, Outcome::Held);
        }
        self.last_version += 1;
        let entry = Entry {
            key: request.key.clone(),
            owner,
            version: self.last_version,
            ends_ms: *ends_ms,
            value: value.clone(),
        };
        if request.key.name == "head" {
            let head = Head::read(value).expect("a head");
            let text = self.texts[&head.current.hash].clone();
            self.accepted
                .entry(head.current.version)
                .or_insert((self.now, text));
        }
        self.ledger.insert(request.key.clone(), entry.clone());
        Outcome::Stands(entry)
    }

    fn run_front(&mut self, front: usize) {
        let at = self.clock_reading(front);
        if self.rng.random_bool(0.2) && !self.has_no_traffic {
            self.receive_statement(front, at);
        }
        let f = &mut self.fronts[front];
        f.access.tick(at);
        let out = f.access.take_output();
        for request in out.ledger_requests {
            let (there, cut) = (
                self.now + self.rng.random_range(500..15_000),
                self.fronts[front].cut_until > self.now,
            );
            // A cut loses the request or only its answer.
            let arrives = !cut || self.rng.random_bool(0.3);
            let incarnation = self.fronts[front].incarnation;
            if cut {
                let done = LedgerAnswer {
                    number: request.number,
                    outcome: Outcome::Unreachable,
                };
                self.answers
                    .push((self.now + UNREACHABLE_TIMEOUT, front, incarnation, done));
            }
            if arrives {
                let there = if cut {
                    there + self.rng.random_range(0..3_000_000)
                } else {
                    there
                };
                self.requests
                    .push((there, front, incarnation, request, !cut));
            }
        }
        for event in out.events {
            match &event {
                Event::InForce { version } => {
                    self.in_force.entry(*version).or_insert(self.now);
                    self.tallies.in_force += 1;
                }
                Event::ChangeRejected(why) => match why.to_string().contains("not above") {
                    true => self.tallies.versions_too_low += 1,
                    false => self.tallies.other_rejections += 1,
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
            let Some((request, verdict, hits)) = f.waiting.remove(&statement) else {
                continue;
            };
            hits.into_iter()
                .for_each(|hit| *self.confirmed.entry(hit).or_default() += 1);
            if verdict.denied.is_some() {
                self.tallies.denied += 1;
                f.access.statement_ended(statement);
            } else {
                let wait = if self.rng.random_bool(0.2) {
                    8_000_000
                } else {
                    50_000
                };
                f.queued.push((
                    self.now + self.rng.random_range(0..wait),
                    statement,
                    request,
                    verdict,
                ));
            }
        }
        for statement in out.over_limit {
            self.tallies.limited += 1;
            f.waiting.remove(&statement);
            f.access.statement_ended(statement);
        }
        for statement in out.revoked {
            self.tallies.revoked += 1;
            f.running.remove(&statement);
            f.access.statement_ended(statement);
        }
        self.send_due(front, at);
    }

    fn receive_statement(&mut self, front: usize, at: ClockReading) {
        let customer = ["acme", "brisk", "free"][self.rng.random_range(0..3)].to_string();
        let workload = ["lookup", "report"][self.rng.random_range(0..2)].to_string();
        let request = Request {
            customer,
            workload,
            groups: Some(vec![self.rng.random_range(0..4)]),
        };
        let f = &mut self.fronts[front];
        let evaluated = f.access.evaluate(at, request.clone());
        let free = request.customer == "free";
        self.tallies.unrestricted += u64::from(free);
        self.tallies.unrestricted_rejections +=
            u64::from(free && evaluated != Decision::Unrestricted);
        match evaluated {
            Decision::Unrestricted => {}
            Decision::RulesUnknown => self.tallies.rules_unknown += 1,
            Decision::Decided {
                statement,
                verdict,
                awaits_count,
            } => {
                let name = |rule: usize, f: &Front| {
                    let v = hallmux_access::Verdict {
                        rule: Some(rule),
                        ..verdict.clone()
                    };
                    f.access.rule_name(&v).unwrap_or_default().to_string()
                };
                let rules: BTreeSet<usize> = verdict
                    .rule
                    .into_iter()
                    .chain(verdict.counting_rule)
                    .collect();
                let hit = |rule| Hit {
                    rule: name(rule, f),
                    customer: request.customer.clone(),
                    region: "eu".to_string(),
                };
                let hits: Vec<Hit> = rules.into_iter().map(hit).collect();
                hits.iter()
                    .for_each(|hit| *self.evaluated.entry(hit.clone()).or_default() += 1);
                match awaits_count {
                    true => _ = f.waiting.insert(statement, (request, verdict, hits)),
                    false => f.queued.push((self.now, statement, request, verdict)),
                }
            }
        }
    }

    fn send_due(&mut self, front: usize, at: ClockReading) {
        let f = &mut self.fronts[front];
        let (due, later) = std::mem::take(&mut f.queued)
            .into_iter()
            .partition(|(when, ..)| *when <= self.now);
        f.queued = later;
        let due: Vec<(i64, u64, Request, hallmux_access::Verdict)> = due;
        for (_, statement, request, verdict) in due {
            let allowed = verdict.allowed.unwrap_or_else(|| vec![0, 1, 2]);
            let location = allowed[self.rng.random_range(0..allowed.len())];
            if f.access
                .may_send(at, statement, 0, LOCATIONS[location as usize])
            {
                self.sent.push(Sent {
                    at: self.now,
                    front,
                    request,
                    location,
                });
                self.tallies.sent += 1;
                f.running.insert(
                    statement,
                    self.now + self.rng.random_range(10_000..2_000_000),
                );
            } else {
                f.access.statement_ended(statement);
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
            f.access.statement_ended(statement);
        }
    }
}

fn new_access(front: usize, incarnation: u64) -> Access {
    Access::new(AccessConfig {
        owner: Owner {
            front: front as u64 + 1,
            incarnation,
        },
        fronts: (1..=FRONTS as u64).collect(),
        region: "eu".to_string(),
        known: known(),
        terms: LeaseTerms {
            length: 3_000_000,
            drift_ppm: DRIFT_PPM,
        },
        record_window: 0,
        first_request_number: 1 << 40,
    })
}
