//! One front on a ledger that answers at once: what a set would change beside what then happens, and tables that move.

use std::collections::BTreeMap;

use hallmux_access::{
    read, Access, AccessConfig, ChangedDecision, Decision, Entry, Event, FleetHits, HeldVersion,
    Key, KnownNames, LeaseTerms, LedgerAnswer, Moment, Operation, Outcome, Owner, Permission,
    Request, RulesCommand, WorkloadLocations,
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

const PLACES: [&str; 3] = ["eu", "us", "ap"];
const START_MS: u64 = 1_800_000_000_000; // 2027-01-15T08:00:00Z

struct SingleFront {
    access: Access,
    /// An earlier life of the same front that goes on all the same.
    earlier: Option<Access>,
    counted: Vec<u64>,
    events: Vec<Event>,
    fleet: Option<FleetHits>,
    now: i64,
    ledger: BTreeMap<Key, Entry>,
    last: u64,
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
        locations: names(&PLACES),
        regions: BTreeMap::new(),
        covered: None,
    }
}

fn command(text: &str) -> RulesCommand {
    read("rules.json5", text, &known(), &|_| None).unwrap_or_else(|e| panic!("{e}: {text}"))
}

fn access(incarnation: u64) -> Access {
    Access::new(AccessConfig {
        own: Owner {
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
        remembers: 6 * 3_600_000_000,
        first_number: 1 << 40,
    })
}

impl SingleFront {
    fn new() -> SingleFront {
        let (ledger, counted, events) = (BTreeMap::new(), Vec::new(), Vec::new());
        SingleFront {
            access: access(1),
            earlier: None,
            counted,
            events,
            fleet: None,
            now: 0,
            ledger,
            last: 0,
        }
    }

    /// Changes places with the earlier life.
    fn swap_with_earlier(&mut self) {
        let other = self.earlier.take().unwrap_or_else(|| access(2));
        self.earlier = Some(std::mem::replace(&mut self.access, other));
        self.advance(4_000);
    }

    fn at(&self) -> Moment {
        Moment {
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
                let out = self.access.take();
                self.counted.extend(out.counted);
                self.events.extend(out.events);
                self.fleet = out.fleet_hits.or(self.fleet.take());
                if out.ledger_requests.is_empty() {
                    break;
                }
                for ask in out.ledger_requests {
                    let outcome = self.operation(&ask.key, ask.operation);
                    self.access.on_ledger_answer(
                        self.at(),
                        LedgerAnswer {
                            number: ask.number,
                            outcome,
                        },
                    );
                }
            }
        }
    }

    fn operation(&mut self, key: &Key, operation: Operation) -> Outcome {
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
        self.last += 1;
        let owner = Owner {
            front: 1,
            incarnation: 1,
        };
        let entry = Entry {
            key: key.clone(),
            owner,
            version: self.last,
            ends_ms,
            value,
        };
        self.ledger.insert(key.clone(), entry.clone());
        Outcome::Stands(entry)
    }

    /// Puts a set in force.
    fn holds(&mut self, text: &str) {
        self.access.offer("rules.json5", text, command(text));
        self.advance(6_000);
        assert_eq!(
            self.access.version(self.now),
            HeldVersion {
                version: command(text).version(),
                may_judge: true
            }
        );
    }

    /// What is decided of a statement, and its number.
    fn ask(&mut self, asked: &Request) -> (Permission, u64) {
        let Decision::Decided {
            statement, verdict, ..
        } = self.access.judge(self.at(), asked.clone())
        else {
            panic!("judged")
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
        let may = |place: &&str| self.access.may_send(at, statement, execution, place);
        PLACES.into_iter().filter(may).collect()
    }
}

#[test]
fn an_earlier_life_that_goes_on_beside_a_later_one_counts_nothing_any_more() {
    let asked = Request {
        customer: "acme".to_string(),
        workload: "lookup".to_string(),
        groups: None,
    };
    let mut one = SingleFront::new();
    one.holds("{ version: 1, default: 'allow', rules: [ { name: 'a', then: 'count' }, { name: 'b', regions: ['eu'] } ] }");
    let counts = |one: &mut SingleFront| {
        one.counted.clear();
        let statement = one.ask(&asked).1;
        one.advance(4_000);
        one.counted == [statement]
    };
    assert!(counts(&mut one));
    // The later life has counted nothing yet: both may go on.
    one.swap_with_earlier();
    one.swap_with_earlier();
    assert!(counts(&mut one));
    // Now it has, and takes in what the earlier one had counted.
    one.swap_with_earlier();
    assert!(counts(&mut one) && counts(&mut one));
    one.swap_with_earlier();
    assert!(!counts(&mut one) && !counts(&mut one) && one.events.contains(&Event::Superseded));
    one.swap_with_earlier();
    one.access.request_fleet_hits(one.at());
    one.advance(4_000);
    let fleet = one.fleet.clone().unwrap();
    assert_eq!(
        (
            fleet.missing.len(),
            fleet.counts.into_values().collect::<Vec<_>>()
        ),
        (0, vec![4, 4])
    );
}

fn drawn_rules(rng: &mut Pcg64, version: u64, what_if: bool) -> String {
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
        let place = PLACES[rng.random_range(0..3)];
        rule += &match rng.random_range(0..5) {
            0 => ", then: 'deny', reason: 'drawn'".to_string(),
            1 => format!(
                ", regions: ['{place}'], at_most: {}, in_ms: 60000",
                rng.random_range(1..3)
            ),
            2 => format!(", barred: ['{place}'], from: '2027-01-15T07:00:00Z'"),
            3 => format!(", barred: ['{place}'], until: '2027-01-15T07:00:00Z'"),
            _ => format!(", regions: ['{place}']"),
        };
        rules.push(format!("{{ {rule} }}"));
    }
    format!(
        "{{ version: {version}, what_if: {what_if}, default: 'allow', rules: [{}] }}",
        rules.join(", ")
    )
}

#[test]
fn what_a_set_would_change_is_what_then_happens_on_the_same_traffic() {
    let (mut runs, mut changed) = (0, 0);
    for seed in 0..400 {
        let mut rng = Pcg64::seed_from_u64(seed);
        let (before, mut after) = (
            drawn_rules(&mut rng, 1, false),
            drawn_rules(&mut rng, 2, true),
        );
        // Sets whose rules shadow each other are no files.
        if [&before, &after]
            .iter()
            .any(|text| read("x", text, &known(), &|_| None).is_err())
        {
            continue;
        }
        runs += 1;
        let drawn = |rng: &mut Pcg64| Request {
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
        let traffic: Vec<Request> = (0..200).map(|_| drawn(&mut rng)).collect();
        let mut one = SingleFront::new();
        one.holds(&before);
        let was: Vec<Permission> = traffic.iter().map(|asked| one.ask(asked).0).collect();
        let RulesCommand::WhatIf(set) = command(&after) else {
            panic!("a question")
        };
        let told = one.access.what_if(one.at(), set);
        assert_eq!((told.statements, told.unknown), (200, 0));
        // The question changes nothing, also where it is offered.
        one.access.offer("rules.json5", &after, command(&after));
        one.advance(1_000);
        assert_eq!(
            one.access.version(one.now),
            HeldVersion {
                version: 1,
                may_judge: true
            }
        );
        after = after.replace("what_if: true", "what_if: false");
        one.holds(&after);
        let mut happened: BTreeMap<ChangedDecision, u64> = BTreeMap::new();
        for (asked, current) in traffic.iter().zip(was) {
            let proposed = one.ask(asked).0;
            let Request {
                customer, workload, ..
            } = asked.clone();
            if current != proposed {
                *happened
                    .entry(ChangedDecision {
                        customer,
                        workload,
                        current,
                        proposed,
                    })
                    .or_default() += 1;
            }
        }
        assert_eq!(told.changes, happened, "seed {seed}: {before} {after}");
        changed += happened.values().sum::<u64>();
    }
    println!("{runs} runs, {changed} statements decided otherwise");
    assert!(runs > 50 && changed > 1_000, "{runs} {changed}");
}

#[test]
fn tables_that_move_are_read_where_they_lie_and_a_statement_goes_by_when_it_was_judged() {
    let moves = |version, more: &str| {
        let at = "2027-01-15T08:10:00Z";
        format!(
            "{{ version: {version}, default: 'allow', rules: [ {{ name: 'orders', tables: [5, 9], \
             moves: {{ from: 'eu', to: 'us', at: '{at}', overlap_ms: 60000 }} }}{more} ] }}"
        )
    };
    let asked = |group| Request {
        customer: "acme".to_string(),
        workload: "lookup".to_string(),
        groups: Some(vec![group]),
    };
    let mut one = SingleFront::new();
    one.holds(&moves(1, ""));
    let (before, other) = (one.ask(&asked(7)).1, one.ask(&asked(4)).1);
    assert_eq!(one.may_send(before, 1), ["eu"]);
    one.advance(600_000);
    // In the overlap: what is judged now may go to both; what was judged before goes where it was to go.
    let within = one.ask(&asked(7)).1;
    assert_eq!(
        (one.may_send(within, 1), one.may_send(before, 2)),
        (vec!["eu", "us"], vec!["eu"])
    );
    one.advance(60_000);
    let after = one.ask(&asked(7)).1;
    let tries = |one: &mut SingleFront, n| {
        (
            one.may_send(before, n),
            one.may_send(within, n),
            one.may_send(after, n),
        )
    };
    assert_eq!(
        tries(&mut one, 3),
        (vec!["eu"], vec!["eu", "us"], vec!["us"])
    );
    // Another version with the same move is no reason to judge them by another time; one that bars them is.
    one.holds(&moves(2, ", { name: 'x', tables: 3, regions: ['ap'] }"));
    assert_eq!(
        tries(&mut one, 4),
        (vec!["eu"], vec!["eu", "us"], vec!["us"])
    );
    one.holds(&moves(
        3,
        ", { name: 'x', tables: [6, 8], then: 'deny', reason: 'x' }",
    ));
    assert_eq!(tries(&mut one, 5), (vec![], vec![], vec![]));
    assert_eq!(one.may_send(other, 1), PLACES);
}

#[test]
fn a_move_that_makes_no_sense_is_refused() {
    let good = "{ name: 'm', tables: 5, moves: { from: 'eu', to: 'us', at: '2027-01-15T08:00:00Z', overlap_ms: 1 } }";
    for (from, to, says) in [
        (
            "tables: 5, ",
            "",
            "rule `m` moves, but names no tables; name",
        ),
        (
            "tables: 5, ",
            "tables: 5, regions: ['eu'], ",
            "rule `m` moves, and says otherwise where or when too; take",
        ),
        (
            "to: 'us', ",
            "",
            "rules[0].moves.to: is missing; give from which region",
        ),
        (
            "'us'",
            "'mars'",
            "rules[0].moves.to: 'mars' is not among the regions: eu, us, ap; name",
        ),
        (
            "overlap_ms: 1",
            "overlap_ms: 0",
            "rules[0].moves.overlap_ms: is no whole number of milliseconds from 1",
        ),
        (
            "at: '2027-01-15T08:00:00Z'",
            "at: 'noon'",
            "rules[0].moves.at: is no time by RFC 3339",
        ),
        (
            "overlap_ms: 1",
            "overlap_ms: 1, via: 'ap'",
            "rules[0].moves.via: is not known; the keys here are from, to",
        ),
        ("moves: {", "moves: 5, x: {", "rules[0].x: is not known"),
    ] {
        let text = format!(
            "{{ version: 1, default: 'allow', rules: [ {} ] }}",
            good.replace(from, to)
        );
        let said = match read("f", &text, &known(), &|_| None) {
            Err(faults) => faults.to_string(),
            Ok(command) => format!("{command:?}"),
        };
        assert!(said.starts_with(&format!("f: {says}")), "{to}: {said}");
    }
}
