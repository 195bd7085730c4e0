//! `prove promises --only rules`: fronts with a customer's access rules, which change while fronts
//! are partitioned, stalled and killed: two files at once, a file with stricter rules, one during a
//! partition, stale files. The executions started by engines are compared with the rules that
//! fronts reported in force, and the fleet's hits with the answers that clients received.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use nix::sys::signal::Signal;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::common::{fault, print_run};
use super::shape;
use crate::check::{Outcome, Violations};
use crate::engine::EngineEventKind;
use crate::record::account::{Account, Offered, Run};
use crate::record::barred::{self, BarredZone};
use crate::record::executions::executions;
use crate::record::hits;
use crate::record::judge::judge;
use crate::rig::fleet::{play, Fleet, FleetHooks};
use crate::rig::rules::{self, RuleFiles, RuleLogs, RuleSet, DENIED_WORKLOAD, RULED_CUSTOMER};
use crate::rig::scenario::{Class, Fault, FaultKind, FleetShape, Load, Scenario};

const FIRST_CHANGE_MS: u64 = 1_000; // milliseconds of load before the first change
const SLOT_MS: u64 = 6_500; // milliseconds from one change to the next
const LOAD_AFTER_MS: u64 = 3_000; // milliseconds of load after the last change
/// Time limit until the first version is in force; a busy machine takes longer to start.
const READY_TIMEOUT: Duration = Duration::from_secs(15);
/// Time limit until the last version is in force, and for the query of the fleet's hits.
const FINAL_VERSION_TIMEOUT: Duration = Duration::from_secs(8);
/// Microseconds until executions sent before "in force" have started, on a busy machine.
const IN_FLIGHT_US: i64 = 700_000;
const MAX_SECONDS: u64 = 60;
/// Minimum of executions subject to a rule; a run with fewer exercises too little.
const MIN_RULED_RUNS: i64 = 50;
/// Minimum of other customers' statements in the seconds in which a front rejects ruled ones; with
/// fewer the check means nothing.
const MIN_OTHER_STATEMENTS: usize = 20;
const LOOKUP_CLASS: usize = 0; // indices of the classes
const REPORT_CLASS: usize = 1;
const AUDIT_CLASS: usize = 2;
const CHANGE_KINDS: [&str; 4] = ["two", "stalled", "cut", "killed"];
const SMALL_RUN_KINDS: usize = 2; // kinds of changes in a small run

/// A change of the rules: when it is made, and which fronts get which file.
#[derive(Clone, Debug, PartialEq)]
struct Change {
    at_ms: u64,
    files: Vec<(usize, RuleSet)>,
    /// Kind of change. In a "two" change the fronts get rival files of one version, in all others
    /// the same file.
    kind: &'static str,
}

/// The scenario of a run, with its rules and their changes.
struct Plan {
    scenario: Scenario,
    first: RuleSet,
    changes: Vec<Change>,
    /// Times, in milliseconds of load, at which a front is made to reload its file, which is stale
    /// by then.
    old: Vec<(u64, usize)>,
}

/// Draws the scenario, rules and changes of a seed.
fn draw(seed: u64, small: bool) -> Plan {
    let mut rng = Pcg64Mcg::seed_from_u64(seed ^ 0x7275_6c65);
    let (fronts, zones) = (5, 3);
    let kinds = shape::draw_kinds(
        &mut rng,
        &CHANGE_KINDS,
        small.then_some((SMALL_RUN_KINDS, "cut")),
    );
    let mut set = RuleSet {
        version: 1,
        barred_zones: BTreeSet::from([rng.random_range(0..zones)]),
    };
    let first = set.clone();
    let (mut faults, mut changes, mut old) = (Vec::new(), Vec::new(), Vec::new());
    for (slot, kind) in kinds.iter().enumerate() {
        let at = FIRST_CHANGE_MS + slot as u64 * SLOT_MS + rng.random_range(0..300);
        let mut others: Vec<usize> = (0..fronts).collect();
        others.shuffle(&mut rng);
        let next_set = draw_next(&set, zones, &mut rng);
        let (files, fault) = match *kind {
            "two" => {
                let mut rival = draw_next(&set, zones, &mut rng);
                while rival == next_set {
                    rival = draw_next(&set, zones, &mut rng);
                }
                (
                    vec![(others[0], next_set.clone()), (others[1], rival)],
                    None,
                )
            }
            "stalled" => {
                let away = fault(FaultKind::Stall, at, rng.random_range(4_000..5_000));
                (
                    vec![(others[0], next_set.clone())],
                    Some(Fault {
                        front: others[1],
                        ..away
                    }),
                )
            }
            "cut" => {
                let below = rng.random_range(1..fronts);
                let cut = Fault {
                    front: below,
                    ..fault(FaultKind::FrontsSplit, at, 5_500)
                };
                // One front on either side: one of the sides has the majority of the voters on the
                // rules.
                let sides = [rng.random_range(0..below), rng.random_range(below..fronts)];
                (
                    sides.map(|front| (front, next_set.clone())).to_vec(),
                    Some(cut),
                )
            }
            _ => {
                // The front returns with the file that it had, which is stale by then.
                let gone = fault(FaultKind::Kill, at, rng.random_range(3_000..4_000));
                old.push((at + 5_500, others[2]));
                (
                    vec![(others[0], next_set.clone())],
                    Some(Fault {
                        front: others[1],
                        ..gone
                    }),
                )
            }
        };
        faults.extend(fault);
        changes.push(Change {
            at_ms: at + 1_000,
            files,
            kind,
        });
        set = next_set;
    }
    let scenario = scenario(seed, &kinds, (fronts, zones), faults);
    Plan {
        scenario,
        first,
        changes,
        old,
    }
}

/// Draws the next version: it bars at least one zone that was allowed before.
fn draw_next(set: &RuleSet, zones: usize, rng: &mut Pcg64Mcg) -> RuleSet {
    let open: Vec<usize> = (0..zones)
        .filter(|zone| !set.barred_zones.contains(zone))
        .collect();
    let mut barred = BTreeSet::from([open[rng.random_range(0..open.len())]]);
    if rng.random_bool(0.5) {
        barred.insert(rng.random_range(0..zones));
    }
    RuleSet {
        version: set.version + 1,
        barred_zones: barred,
    }
}

fn scenario(
    seed: u64,
    kinds: &[&str],
    (fronts, zones): (usize, usize),
    faults: Vec<Fault>,
) -> Scenario {
    let report = Class {
        customer: RULED_CUSTOMER.into(),
        share: 3.0,
        ..Class::idempotent("report", 1_000)
    };
    let audit = Class {
        customer: RULED_CUSTOMER.into(),
        share: 1.0,
        ..Class::idempotent(DENIED_WORKLOAD, 1_000)
    };
    Scenario {
        seed: Some(seed),
        seconds: (FIRST_CHANGE_MS + kinds.len() as u64 * SLOT_MS + LOAD_AFTER_MS) / 1000,
        fleet: FleetShape {
            zones,
            ..shape::fleet(fronts)
        },
        load: Load {
            per_second: 60,
            work_ms: 20,
            timeout_ms: 4_000,
            memory_mb: 0,
        },
        engine: shape::engines(),
        faults,
        classes: vec![
            Class {
                share: 2.0,
                ..Class::idempotent("lookup", 1_000)
            },
            report,
            audit,
        ],
    }
}

/// Changes the rules during a run, and reads the fronts' logs.
struct Rules {
    files: RuleFiles,
    changes: Vec<Change>,
    old: Vec<(u64, usize)>,
    /// Rule sets offered so far, each with when and at which front.
    offered: Vec<(i64, usize, RuleSet)>,
    asked_front: usize,
    logs: RuleLogs,
    hits: Option<BTreeMap<String, i64>>,
}

impl Rules {
    fn offer(&mut self, fleet: &Fleet, front: usize, set: &RuleSet) {
        if self.files.write(front, set).is_ok() {
            self.offered.push((fleet.records.now(), front, set.clone()));
            fleet.members[front].signal(Signal::SIGHUP);
        }
    }

    /// Returns the sets that the fleet accepted, in order, each with when it was first offered.
    fn accepted_sets(&self) -> Vec<(i64, RuleSet)> {
        let fleet_set = |(at, front, set): &(i64, usize, RuleSet)| {
            let rivals = || {
                self.offered
                    .iter()
                    .filter(|(_, _, other)| other.version == set.version)
            };
            let alone = rivals().all(|(_, _, other)| other == set);
            let won = self
                .logs
                .accepted_by
                .get(&set.version)
                .is_some_and(|by| by.contains(front));
            let judged = self.logs.first_judged.contains_key(&set.version);
            (judged && (alone || won)).then(|| (*at, set.clone()))
        };
        let mut all: Vec<(i64, RuleSet)> = self.offered.iter().filter_map(fleet_set).collect();
        all.sort_by_key(|(at, set)| (set.version, *at));
        all.dedup_by_key(|(_, set)| set.version);
        all
    }

    fn barred_zones(&self, end: i64) -> Vec<BarredZone> {
        let (accepted_sets, mut barred_zones) = (self.accepted_sets(), Vec::new());
        for (n, (_, set)) in accepted_sets.iter().enumerate() {
            let Some(in_force) = self.logs.first_in_force.get(&set.version) else {
                continue;
            };
            for zone in &set.barred_zones {
                let ends = accepted_sets[n + 1..]
                    .iter()
                    .find(|(_, later)| !later.barred_zones.contains(zone));
                let until = ends.map_or(end, |(at, _)| *at);
                let in_force = in_force + IN_FLIGHT_US;
                barred_zones.push(BarredZone {
                    class: Some(REPORT_CLASS),
                    zone: *zone,
                    in_force,
                    until,
                });
            }
        }
        barred_zones
    }
}

impl FleetHooks for Rules {
    fn on_ready(&mut self, fleet: &Fleet) -> Result<(), String> {
        let until = Instant::now() + READY_TIMEOUT;
        while Instant::now() < until {
            let has_rules = |m: &std::sync::Arc<crate::rig::member::Member>| {
                !m.log_lines("knows which rules hold").is_empty()
                    || !m.log_lines("judges by version 1 ").is_empty()
            };
            if fleet.members.iter().all(has_rules)
                && rules::read_logs(fleet).first_in_force.contains_key(&1)
            {
                return Ok(());
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        Err(format!(
            "the first rules were not in force after {} s",
            READY_TIMEOUT.as_secs()
        ))
    }

    fn poll(&mut self, fleet: &Fleet, since: i64) -> Vec<Fault> {
        while let Some(change) = self
            .changes
            .first()
            .filter(|c| c.at_ms as i64 * 1000 <= since)
            .cloned()
        {
            self.changes.remove(0);
            change
                .files
                .iter()
                .for_each(|(front, set)| self.offer(fleet, *front, set));
        }
        while let Some((_, front)) = self
            .old
            .first()
            .filter(|(at, _)| *at as i64 * 1000 <= since)
            .copied()
        {
            self.old.remove(0);
            fleet.members[front].signal(Signal::SIGHUP);
        }
        Vec::new()
    }

    fn on_load_ended(&mut self, fleet: &Fleet) {
        let last = self
            .offered
            .iter()
            .map(|(_, _, set)| set.version)
            .max()
            .unwrap_or(1);
        let until = Instant::now() + FINAL_VERSION_TIMEOUT;
        self.logs = rules::read_logs(fleet);
        while !self.logs.first_in_force.contains_key(&last) && Instant::now() < until {
            std::thread::sleep(Duration::from_millis(50));
            self.logs = rules::read_logs(fleet);
        }
        self.hits = rules::request_hits(fleet, self.asked_front, FINAL_VERSION_TIMEOUT);
    }
}

/// Runs a seed; returns whether it passed and the tallies of its result line.
pub fn run(seed: u64, small: bool) -> Result<(bool, String), String> {
    let began = Instant::now();
    let Plan {
        scenario,
        first,
        changes,
        old,
    } = draw(seed, small);
    let (fronts, zones) = (scenario.fleet.fronts, scenario.fleet.zones);
    let files = RuleFiles::new(fronts, seed, &first).map_err(|e| e.to_string())?;
    let fleet = Fleet::start_with(&scenario, seed, files.member_options(fronts, zones), None)?;
    let offered = vec![(0, 0, first)];
    let asked_front = (seed % fronts as u64) as usize;
    let planned = changes.clone();
    let mut rules = Rules {
        files,
        changes,
        old,
        offered,
        asked_front,
        logs: RuleLogs::default(),
        hits: None,
    };
    let (account, pids) = play(fleet, &scenario, seed, &mut rules)?;
    let mut run = judge(&scenario, &account, pids);
    check_run(&mut run, &rules, &planned, &scenario, &account);
    let seconds = began.elapsed().as_secs();
    if seconds >= MAX_SECONDS {
        run.violations
            .entry("run")
            .or_default()
            .push(format!("the run took {seconds} s"));
    }
    Ok(print_run(
        &run,
        &format!("fronts={fronts} seconds={seconds}"),
    ))
}

fn check_run(
    run: &mut Run,
    rules: &Rules,
    planned: &[Change],
    scenario: &Scenario,
    account: &Account,
) {
    let violations = &mut run.violations;
    let ran = executions(&account.engine_events, &account.sent_by);
    let end = i64::MAX;
    let barred_zones = rules.barred_zones(end);
    let zone = |engine: usize| engine / scenario.fleet.engines_per_zone;
    barred::check(violations, &ran, &account.asked, (&barred_zones, &zone));
    check_denied(violations, account);
    let class = |id: &str| {
        account
            .asked
            .iter()
            .find(|o| o.asked.id == id)
            .map(|o| o.class)
    };
    let ruled = ran
        .iter()
        .filter(|x| class(&x.id) == Some(REPORT_CLASS))
        .count() as i64;
    run.tallies.insert("ruled_runs", ruled);
    run.tallies
        .insert("versions_in_force", rules.logs.first_in_force.len() as i64);
    run.tallies.insert("bars", barred_zones.len() as i64);
    let mut add = |rule: &'static str, what: String| violations.entry(rule).or_default().push(what);
    if ruled < MIN_RULED_RUNS {
        add("run", format!("{ruled} executions were subject to a rule"));
    }
    let accepted_sets: BTreeSet<u64> = rules
        .accepted_sets()
        .iter()
        .map(|(_, set)| set.version)
        .collect();
    for change in planned {
        let version = change.files[0].1.version;
        if !accepted_sets.contains(&version) || !rules.logs.first_in_force.contains_key(&version) {
            add(
                "run",
                format!("version {version} ({}) never came into force", change.kind),
            );
        }
        if change.kind == "two" && rules.logs.accepted_by.get(&version).map_or(0, Vec::len) > 1 {
            add(
                "two_in_force",
                format!("two files of version {version} became the fleet's"),
            );
        }
        if let (true, Some(at)) = (
            change.kind == "cut",
            rules.logs.first_in_force.get(&version),
        ) {
            let cuts = account
                .played
                .iter()
                .filter(|(fault, ..)| fault.what == FaultKind::FrontsSplit);
            let inside = cuts.filter(|(_, from, to)| from <= at && at < to).count() as i64;
            run.tallies.insert("in_force_during_a_cut", inside);
        }
    }
    let killed = planned.iter().any(|change| change.kind == "killed");
    let old: usize = rules.logs.stale_refusals.values().sum();
    run.tallies.insert("old_files_refused", old as i64);
    if killed && old < 2 {
        add("run", format!("{old} of 2 stale files were rejected"));
    }
    check_hits(run, rules, account);
}

/// Checks that denied statements never run, and that a front that cannot know the rules rejects no
/// statements of other customers.
fn check_denied(violations: &mut Violations, account: &Account) {
    let refused = |o: &Offered| matches!(&o.asked.outcome, Outcome::Error(code) if code == "53000");
    let second = |o: &Offered| (o.front, o.asked.answered / 1_000_000);
    let began: BTreeSet<&str> = (account.engine_events.iter())
        .filter_map(|event| match &event.kind {
            EngineEventKind::Began { id, .. } => Some(id.as_str()),
            _ => None,
        })
        .collect();
    for o in account
        .asked
        .iter()
        .filter(|o| o.class == AUDIT_CLASS && began.contains(o.asked.id.as_str()))
    {
        violations
            .entry("barred_read")
            .or_default()
            .push(format!("{}: ran, but is denied", o.asked.id));
    }
    let closed_seconds = account
        .asked
        .iter()
        .filter(|o| o.class == REPORT_CLASS && refused(o) && !o.barred);
    let closed_seconds: BTreeSet<(usize, i64)> = closed_seconds.map(second).collect();
    let others: Vec<&Offered> = account
        .asked
        .iter()
        .filter(|o| o.class == LOOKUP_CLASS && closed_seconds.contains(&second(o)))
        .collect();
    let away = others.iter().filter(|o| refused(o)).count();
    // Fronts of a busy machine reject some statements for lack of capacity.
    if others.len() >= MIN_OTHER_STATEMENTS && away * 2 > others.len() {
        let message = format!(
            "{away} of {} statements of customers without rules were rejected while fronts rejected ruled ones",
            others.len()
        );
        violations
            .entry("groundless_refusal")
            .or_default()
            .push(message);
    }
}

/// Checks the fleet's hits, as reported by one front, against the answers that clients received.
fn check_hits(run: &mut Run, rules: &Rules, account: &Account) {
    let Some(fleet_hits) = &rules.hits else {
        let message = format!(
            "front {} did not report the fleet's hits",
            rules.asked_front
        );
        return run.violations.entry("run").or_default().push(message);
    };
    // A rejection because the ledger or the rules are unavailable may come before or after the hit
    // is counted.
    let is_certain = |o: &Offered| match &o.asked.outcome {
        Outcome::Completed { .. } => true,
        Outcome::Error(_) => o.barred && o.class == AUDIT_CLASS,
        _ => false,
    };
    let asked: Vec<Offered> = (account
        .asked
        .iter()
        .filter(|o| o.class != LOOKUP_CLASS)
        .cloned())
    .map(|mut o| {
        if !is_certain(&o) {
            o.asked.outcome = Outcome::Lost;
        }
        o
    })
    .collect();
    run.tallies.insert("hits", fleet_hits.values().sum());
    run.tallies.insert(
        "hits_sure",
        asked.iter().filter(|o| is_certain(o)).count() as i64,
    );
    run.tallies.insert(
        "hits_unsure",
        asked.iter().filter(|o| !is_certain(o)).count() as i64,
    );
    let of = |o: &Offered, rule: &str| Some(format!("{rule} r{}", o.front));
    let decision_key = |o: &Offered| {
        of(
            o,
            if o.class == AUDIT_CLASS {
                "denied"
            } else {
                "bound"
            },
        )
    };
    let count_key = |o: &Offered| of(o, "counted").filter(|_| o.class == REPORT_CLASS);
    let split = |counting: bool| {
        let holds = |rule: &str| rule.starts_with("counted") == counting;
        fleet_hits
            .iter()
            .filter(|(rule, _)| holds(rule))
            .map(|(rule, n)| (rule.clone(), *n))
            .collect()
    };
    hits::check(&mut run.violations, &asked, &split(false), &decision_key);
    hits::check(&mut run.violations, &asked, &split(true), &count_key);
}

#[cfg(test)]
#[path = "rules_tests.rs"]
mod tests;
