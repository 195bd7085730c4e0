//! One front with a ledger that answers at once: what-if reports against the changes that follow,
//! moves of tables, and a process whose front has started again.

use std::collections::BTreeMap;

use hallmux_access::{
    read, Access, AccessConfig, ChangedDecision, ClockReading, Decision, Entry, Event, FleetHits,
    HeldVersion, Key, KnownNames, LeaseTerms, LedgerAnswer, Operation, Outcome, Owner, Permission,
    Request, RulesCommand, WorkloadLocations,
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

const LOCATIONS: [&str; 3] = ["eu", "us", "ap"];
const START_MS: u64 = 1_800_000_000_000; // 2027-01-15T08:00:00Z

struct SingleFront {
    access: Access,
    /// An earlier incarnation of the same front whose process is still running.
    earlier: Option<Access>,
    counted: Vec<u64>,
    events: Vec<Event>,
    fleet_hits: Option<FleetHits>,
    now: i64,
    ledger: BTreeMap<Key, Entry>,
    last_version: u64,
}

fn known() -> KnownNames {
    let names = |all: &[&str]| all.iter().map(|n| n.to_string()).collect::<Vec<_>>();
    let bound = |name: &str| WorkloadLocations {
        name: name.to_string(),
        locations: None,
    };
    KnownNames {
        customers: names(&["acme", "brisk"]),
        workloads: vec![bound("lookup"), bound("report")],
        locations: names(&LOCATIONS),
        regions: BTreeMap::new(),
        covered_customers: None,
    }
}

fn command(text: &str) -> RulesCommand {
    read("rules.json5", text, &known(), &|_| None).unwrap_or_else(|e| panic!("{e}: {text}"))
}

fn new_access(incarnation: u64) -> Access {
    Access::new(AccessConfig {
        owner: Owner {
            front: 1,
            incarnation,
        },
        fronts: vec![1],
        region: "eu".to_string(),
        known: known(),
        terms: LeaseTerms {
            length: 3_000_000,
            drift_ppm: 10_000,
        },
        record_window: 6 * 3_600_000_000,
        first_request_number: 1 << 40,
    })
}

impl SingleFront {
    fn new() -> SingleFront {
        let (ledger, counted, events) = (BTreeMap::new(), Vec::new(), Vec::new());
        SingleFront {
            access: new_access(1),
            earlier: None,
            counted,
            events,
            fleet_hits: None,
            now: 0,
            ledger,
            last_version: 0,
        }
    }

    /// Swaps the running incarnation with the other one and lets it run for 4 s.
    fn swap_with_earlier(&mut self) {
        let other = self.earlier.take().unwrap_or_else(|| new_access(2));
        self.earlier = Some(std::mem::replace(&mut self.access, other));
        self.advance(4_000);
    }

    fn at(&self) -> ClockReading {
        ClockReading {
            steady: self.now,
            wall_ms: START_MS + self.now as u64 / 1000,
        }
    }

    fn advance(&mut self, ms: i64) {
        let end = self.now + ms * 1000;
        while self.now < end {
            self.now = (self.now + 500_000).min(end);
            self.access.tick(self.at());
            loop {
                let out = self.access.take_output();
                self.counted.extend(out.counted);
                self.events.extend(out.events);
                self.fleet_hits = out.fleet_hits.or(self.fleet_hits.take());
                if out.ledger_requests.is_empty() {
                    break;
                }
                for ledger_request in out.ledger_requests {
                    let outcome = self.apply(&ledger_request.key, ledger_request.operation);
                    self.access.on_ledger_answer(
                        self.at(),
                        LedgerAnswer {
                            number: ledger_request.number,
                            outcome,
                        },
                    );
                }
            }
        }
    }

    fn apply(&mut self, key: &Key, operation: Operation) -> Outcome {
        let current = self.ledger.get(key).cloned();
        let Operation::Put {
            expects,
            ends_ms,
            value,
        } = operation
        else {
            return current.map_or(Outcome::Absent, Outcome::Stands);
        };
        if expects.is_some_and(|expects| expects != current.as_ref().map_or(0, |e| e.version)) {
            return current.map_or(Outcome::Absent, Outcome::Held);
        }
        self.last_version += 1;
        let owner = Owner {
            front: 1,
            incarnation: 1,
        };
        let entry = Entry {
            key: key.clone(),
            owner,
            version: self.last_version,
            ends_ms,
            value,
        };
        self.ledger.insert(key.clone(), entry.clone());
        Outcome::Stands(entry)
    }

    /// Puts a rule set in force.
    fn put_in_force(&mut self, text: &str) {
        self.access.propose("rules.json5", text, command(text));
        self.advance(6_000);
        assert_eq!(
            self.access.held_version(self.now),
            HeldVersion {
                version: command(text).version(),
                has_lease: true
            }
        );
    }

    /// Returns the decision on a statement, and the statement's number.
    fn decide(&mut self, request: &Request) -> (Permission, u64) {
        let Decision::Decided {
            statement, verdict, ..
        } = self.access.evaluate(self.at(), request.clone())
        else {
            panic!("the statement was not decided")
        };
        if verdict.denied.is_some() {
            return (Permission::Denied, statement);
        }
        (
            Permission::Allowed {
                locations: self.access.locations(&verdict),
                limits: self.access.limits(&verdict),
            },
            statement,
        )
    }

    fn may_send(&mut self, statement: u64, execution: u64) -> Vec<&'static str> {
        let at = self.at();
        let may = |location: &&str| self.access.may_send(at, statement, execution, location);
        LOCATIONS.into_iter().filter(may).collect()
    }
}

#[test]
fn an_earlier_incarnation_stops_counting_once_a_later_one_counts() {
    let request = Request {
        customer: "acme".to_string(),
        workload: "lookup".to_string(),
        groups: None,
    };
    let mut front = SingleFront::new();
    front.put_in_force("{ version: 1, default: 'allow', rules: [ { name: 'a', then: 'count' }, { name: 'b', regions: ['eu'] } ] }");
    let counts = |front: &mut SingleFront| {
        front.counted.clear();
        let statement = front.decide(&request).1;
        front.advance(4_000);
        front.counted == [statement]
    };
    assert!(counts(&mut front));
    // The later incarnation has not counted anything yet, so both may count.
    front.swap_with_earlier();
    front.swap_with_earlier();
    assert!(counts(&mut front));
    // Now it has, and folds the counts of the earlier one.
    front.swap_with_earlier();
    assert!(counts(&mut front) && counts(&mut front));
    front.swap_with_earlier();
    assert!(
        !counts(&mut front) && !counts(&mut front) && front.events.contains(&Event::Superseded)
    );
    front.swap_with_earlier();
    front.access.request_fleet_hits(front.at());
    front.advance(4_000);
    let fleet = front.fleet_hits.clone().unwrap();
    assert_eq!(
        (
            fleet.missing.len(),
            fleet.counts.into_values().collect::<Vec<_>>()
        ),
        (0, vec![4, 4])
    );
}

fn random_rules(rng: &mut Pcg64, version: u64, what_if: bool) -> String {
    let mut rules = Vec::new();
    for n in 0..rng.random_range(1..8) {
        let mut rule = format!("name: 'r{n}', priority: {n}");
        for (key, names) in [
            ("customer", ["acme", "brisk"]),
            ("workload", ["lookup", "report"]),
        ] {
            if rng.random_bool(0.5) {
                rule += &format!(", {key}: '{}'", names[rng.random_range(0..2)]);
            }
        }
        if rng.random_bool(0.5) {
            let first = rng.random_range(0..5);
            rule += &format!(", tables: [{first}, {}]", first + rng.random_range(0..3));
        }
        let location = LOCATIONS[rng.random_range(0..3)];
        rule += &match rng.random_range(0..5) {
            0 => ", then: 'deny', reason: 'drawn'".to_string(),
            1 => format!(
                ", regions: ['{location}'], at_most: {}, in_ms: 60000",
                rng.random_range(1..3)
            ),
            2 => format!(", barred: ['{location}'], from: '2027-01-15T07:00:00Z'"),
            3 => format!(", barred: ['{location}'], until: '2027-01-15T07:00:00Z'"),
            _ => format!(", regions: ['{location}']"),
        };
        rules.push(format!("{{ {rule} }}"));
    }
    format!(
        "{{ version: {version}, what_if: {what_if}, default: 'allow', rules: [{}] }}",
        rules.join(", ")
    )
}

#[test]
fn a_what_if_report_equals_the_changes_after_adoption() {
    let (mut runs, mut changed) = (0, 0);
    for seed in 0..400 {
        let mut rng = Pcg64::seed_from_u64(seed);
        let (before, mut after) = (
            random_rules(&mut rng, 1, false),
            random_rules(&mut rng, 2, true),
        );
        // A set whose rules shadow each other is not a valid file.
        if [&before, &after]
            .iter()
            .any(|text| read("x", text, &known(), &|_| None).is_err())
        {
            continue;
        }
        runs += 1;
        let random_request = |rng: &mut Pcg64| Request {
            customer: ["acme", "brisk"][rng.random_range(0..2)].to_string(),
            workload: ["lookup", "report"][rng.random_range(0..2)].to_string(),
            groups: [
                None,
                Some(vec![]),
                Some(vec![rng.random_range(0..8)]),
                Some(vec![1, rng.random_range(2..8)]),
            ][rng.random_range(0..4)]
            .clone(),
        };
        let traffic: Vec<Request> = (0..200).map(|_| random_request(&mut rng)).collect();
        let mut front = SingleFront::new();
        front.put_in_force(&before);
        let before_decisions: Vec<Permission> = traffic
            .iter()
            .map(|request| front.decide(request).0)
            .collect();
        let RulesCommand::WhatIf(set) = command(&after) else {
            panic!("not a what-if file")
        };
        let report = front.access.what_if(front.at(), set);
        assert_eq!((report.statements, report.unrecorded), (200, 0));
        // A what-if file changes nothing, even if it is proposed.
        front.access.propose("rules.json5", &after, command(&after));
        front.advance(1_000);
        assert_eq!(
            front.access.held_version(front.now),
            HeldVersion {
                version: 1,
                has_lease: true
            }
        );
        after = after.replace("what_if: true", "what_if: false");
        front.put_in_force(&after);
        let mut observed_changes: BTreeMap<ChangedDecision, u64> = BTreeMap::new();
        for (request, current) in traffic.iter().zip(before_decisions) {
            let proposed = front.decide(request).0;
            let Request {
                customer, workload, ..
            } = request.clone();
            if current != proposed {
                *observed_changes
                    .entry(ChangedDecision {
                        customer,
                        workload,
                        current,
                        proposed,
                    })
                    .or_default() += 1;
            }
        }
        assert_eq!(
            report.changes, observed_changes,
            "seed {seed}: {before} {after}"
        );
        changed += observed_changes.values().sum::<u64>();
    }
    println!("{runs} runs, {changed} statements decided otherwise");
    assert!(runs > 50 && changed > 1_000, "{runs} {changed}");
}

#[test]
fn moving_tables_are_read_where_they_are_at_the_first_evaluation_of_a_statement() {
    let moves = |version, more: &str| {
        let at = "2027-01-15T08:10:00Z";
        format!(
            "{{ version: {version}, default: 'allow', rules: [ {{ name: 'orders', tables: [5, 9], \
             moves: {{ from: 'eu', to: 'us', at: '{at}', overlap_ms: 60000 }} }}{more} ] }}"
        )
    };
    let request = |group| Request {
        customer: "acme".to_string(),
        workload: "lookup".to_string(),
        groups: Some(vec![group]),
    };
    let mut front = SingleFront::new();
    front.put_in_force(&moves(1, ""));
    let (before, other) = (front.decide(&request(7)).1, front.decide(&request(4)).1);
    assert_eq!(front.may_send(before, 1), ["eu"]);
    front.advance(600_000);
    // During the overlap: statements first evaluated now may be sent to both locations, earlier
    // ones only to the old location.
    let within = front.decide(&request(7)).1;
    assert_eq!(
        (front.may_send(within, 1), front.may_send(before, 2)),
        (vec!["eu", "us"], vec!["eu"])
    );
    front.advance(60_000);
    let after = front.decide(&request(7)).1;
    let send_attempts = |front: &mut SingleFront, n| {
        (
            front.may_send(before, n),
            front.may_send(within, n),
            front.may_send(after, n),
        )
    };
    assert_eq!(
        send_attempts(&mut front, 3),
        (vec!["eu"], vec!["eu", "us"], vec!["us"])
    );
    // A new version with the same move leaves the time of evaluation as it is; a version that bars
    // the statements applies.
    front.put_in_force(&moves(2, ", { name: 'x', tables: 3, regions: ['ap'] }"));
    assert_eq!(
        send_attempts(&mut front, 4),
        (vec!["eu"], vec!["eu", "us"], vec!["us"])
    );
    front.put_in_force(&moves(
        3,
        ", { name: 'x', tables: [6, 8], then: 'deny', reason: 'x' }",
    ));
    assert_eq!(send_attempts(&mut front, 5), (vec![], vec![], vec![]));
    assert_eq!(front.may_send(other, 1), LOCATIONS);
}

#[test]
fn an_invalid_move_is_rejected() {
    let good = "{ name: 'm', tables: 5, moves: { from: 'eu', to: 'us', at: '2027-01-15T08:00:00Z', overlap_ms: 1 } }";
    for (from, to, expected) in [
        (
            "tables: 5, ",
            "",
            "rule `m` moves, but names no tables; name",
        ),
        (
            "tables: 5, ",
            "tables: 5, regions: ['eu'], ",
            "rule `m` moves tables and also sets regions or a period; remove",
        ),
        (
            "to: 'us', ",
            "",
            "rules[0].moves.to: is missing; give the regions to move from",
        ),
        (
            "'us'",
            "'mars'",
            "rules[0].moves.to: 'mars' is not among the regions: eu, us, ap; name",
        ),
        (
            "overlap_ms: 1",
            "overlap_ms: 0",
            "rules[0].moves.overlap_ms: has the wrong type or value; give a whole number of milliseconds from 1",
        ),
        (
            "at: '2027-01-15T08:00:00Z'",
            "at: 'noon'",
            "rules[0].moves.at: has the wrong type or value; give a time by RFC 3339",
        ),
        (
            "overlap_ms: 1",
            "overlap_ms: 1, via: 'ap'",
            "rules[0].moves.via: unknown key; the keys allowed here are from, to",
        ),
        ("moves: {", "moves: 5, x: {", "rules[0].x: unknown key"),
    ] {
        let text = format!(
            "{{ version: 1, default: 'allow', rules: [ {} ] }}",
            good.replace(from, to)
        );
        let message = match read("f", &text, &known(), &|_| None) {
            Err(errors) => errors.to_string(),
            Ok(command) => format!("{command:?}"),
        };
        assert!(message.starts_with(&format!("f: {expected}")), "{to}: {message}");
    }
}
