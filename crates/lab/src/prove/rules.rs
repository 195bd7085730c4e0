//! `prove promises --only rules`: fronts with rules of a customer, which change while fronts are cut off, stopped and
//! killed: two files at once, a file that tightens, one during a cut, old files. What the engines began is held
//! against what the fronts said to be in force, and the fleet's hits against what clients had answered.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use nix::sys::signal::Signal;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::played::{end, fault};
use super::shape;
use crate::check::{Outcome, Violations};
use crate::engine::EngineEventKind;
use crate::record::account::{Account, Offered, Run};
use crate::record::barred::{self, BarredZone};
use crate::record::executions::executions;
use crate::record::hits;
use crate::record::judge::judge;
use crate::rig::fleet::{play, Fleet, FleetHooks};
use crate::rig::rules::{self, Files, RuleLogs, Set, DENIED, RULED};
use crate::rig::scenario::{Class, Fault, FaultKind, FleetShape, Load, Scenario};

const FIRST_MS: u64 = 1_000; // milliseconds of load before the first change
const SLOT_MS: u64 = 6_500; // milliseconds from one change to the next
const AFTER_MS: u64 = 3_000; // milliseconds of load after the last
const READY: Duration = Duration::from_secs(15); // until the first version is in force; a busy machine takes some of it
const LAST: Duration = Duration::from_secs(8); // until the last version is in force, and for the fleet's hits
const ON_ITS_WAY: i64 = 700_000; // microseconds until what left before "in force" has begun, on a busy machine
const MOST_SECONDS: u64 = 60;
const LEAST_RUN: i64 = 50; // executions that a rule was about; with fewer a run proves nothing
const LEAST_OTHERS: usize = 20; // statements of others while fronts are closed; fewer say nothing
const LOOKUP: usize = 0; // places among the classes
const REPORT: usize = 1;
const AUDIT: usize = 2;
const KINDS: [&str; 4] = ["two", "stalled", "cut", "killed"];
const SMALL: usize = 2; // kinds in a small run

/// A change of the rules: when, which files at which fronts.
#[derive(Clone, Debug, PartialEq)]
struct Change {
    at_ms: u64,
    files: Vec<(usize, Set)>,
    /// All fronts that get one have the same; else they are rivals.
    kind: &'static str,
}

struct Plan {
    scenario: Scenario,
    first: Set,
    changes: Vec<Change>,
    /// Fronts that are told to read their file, old by then, and when.
    old: Vec<(u64, usize)>,
}

/// The run of a seed.
fn draw(seed: u64, small: bool) -> Plan {
    let mut chance = Pcg64Mcg::seed_from_u64(seed ^ 0x7275_6c65);
    let (fronts, zones) = (5, 3);
    let kinds = shape::draw_kinds(&mut chance, &KINDS, small.then_some((SMALL, "cut")));
    let mut set = Set {
        version: 1,
        barred: BTreeSet::from([chance.random_range(0..zones)]),
    };
    let first = set.clone();
    let (mut faults, mut changes, mut old) = (Vec::new(), Vec::new(), Vec::new());
    for (slot, kind) in kinds.iter().enumerate() {
        let at = FIRST_MS + slot as u64 * SLOT_MS + chance.random_range(0..300);
        let mut others: Vec<usize> = (0..fronts).collect();
        others.shuffle(&mut chance);
        let now = draw_next(&set, zones, &mut chance);
        let (files, fault) = match *kind {
            "two" => {
                let mut rival = draw_next(&set, zones, &mut chance);
                while rival == now {
                    rival = draw_next(&set, zones, &mut chance);
                }
                (vec![(others[0], now.clone()), (others[1], rival)], None)
            }
            "stalled" => {
                let away = fault(FaultKind::Stall, at, chance.random_range(4_000..5_000));
                (
                    vec![(others[0], now.clone())],
                    Some(Fault {
                        front: others[1],
                        ..away
                    }),
                )
            }
            "cut" => {
                let below = chance.random_range(1..fronts);
                let cut = Fault {
                    front: below,
                    ..fault(FaultKind::FrontsSplit, at, 5_500)
                };
                // On either side: one of them has the majority of whoever keeps the rules.
                let sides = [
                    chance.random_range(0..below),
                    chance.random_range(below..fronts),
                ];
                (sides.map(|front| (front, now.clone())).to_vec(), Some(cut))
            }
            _ => {
                // It comes back with the file that it had, by then an old one.
                let gone = fault(FaultKind::Kill, at, chance.random_range(3_000..4_000));
                old.push((at + 5_500, others[2]));
                (
                    vec![(others[0], now.clone())],
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
        set = now;
    }
    let scenario = scenario(seed, &kinds, (fronts, zones), faults);
    Plan {
        scenario,
        first,
        changes,
        old,
    }
}

/// The next version: a zone more is barred than before, or another: always something that was allowed.
fn draw_next(set: &Set, zones: usize, chance: &mut Pcg64Mcg) -> Set {
    let open: Vec<usize> = (0..zones)
        .filter(|zone| !set.barred.contains(zone))
        .collect();
    let mut barred = BTreeSet::from([open[chance.random_range(0..open.len())]]);
    if chance.random_bool(0.5) {
        barred.insert(chance.random_range(0..zones));
    }
    Set {
        version: set.version + 1,
        barred,
    }
}

fn scenario(
    seed: u64,
    kinds: &[&str],
    (fronts, zones): (usize, usize),
    faults: Vec<Fault>,
) -> Scenario {
    let report = Class {
        customer: RULED.into(),
        share: 3.0,
        ..Class::plain("report", 1_000)
    };
    let audit = Class {
        customer: RULED.into(),
        share: 1.0,
        ..Class::plain(DENIED, 1_000)
    };
    Scenario {
        seed: Some(seed),
        seconds: (FIRST_MS + kinds.len() as u64 * SLOT_MS + AFTER_MS) / 1000,
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
                ..Class::plain("lookup", 1_000)
            },
            report,
            audit,
        ],
    }
}

/// What is played beside the faults.
struct Rules {
    files: Files,
    changes: Vec<Change>,
    old: Vec<(u64, usize)>,
    /// Sets as they were offered, with when and at which front.
    offered: Vec<(i64, usize, Set)>,
    asked_front: usize,
    logs: RuleLogs,
    hits: Option<BTreeMap<String, i64>>,
}

impl Rules {
    fn offer(&mut self, fleet: &Fleet, front: usize, set: &Set) {
        if self.files.write(front, set).is_ok() {
            self.offered.push((fleet.records.now(), front, set.clone()));
            fleet.members[front].signal(Signal::SIGHUP);
        }
    }

    /// The sets that were the fleet's, in order, each with when it was first offered.
    fn lived(&self) -> Vec<(i64, Set)> {
        let own = |(at, front, set): &(i64, usize, Set)| {
            let rivals = || {
                self.offered
                    .iter()
                    .filter(|(_, _, other)| other.version == set.version)
            };
            let alone = rivals().all(|(_, _, other)| other == set);
            let won = self
                .logs
                .accepted
                .get(&set.version)
                .is_some_and(|by| by.contains(front));
            let judged = self.logs.judged.contains_key(&set.version);
            (judged && (alone || won)).then(|| (*at, set.clone()))
        };
        let mut all: Vec<(i64, Set)> = self.offered.iter().filter_map(own).collect();
        all.sort_by_key(|(at, set)| (set.version, *at));
        all.dedup_by_key(|(_, set)| set.version);
        all
    }

    fn bars(&self, end: i64) -> Vec<BarredZone> {
        let (lived, mut bars) = (self.lived(), Vec::new());
        for (n, (_, set)) in lived.iter().enumerate() {
            let Some(in_force) = self.logs.in_force.get(&set.version) else {
                continue;
            };
            for zone in &set.barred {
                let ends = lived[n + 1..]
                    .iter()
                    .find(|(_, later)| !later.barred.contains(zone));
                let until = ends.map_or(end, |(at, _)| *at);
                let in_force = in_force + ON_ITS_WAY;
                bars.push(BarredZone {
                    class: Some(REPORT),
                    zone: *zone,
                    in_force,
                    until,
                });
            }
        }
        bars
    }
}

impl FleetHooks for Rules {
    fn ready(&mut self, fleet: &Fleet) -> Result<(), String> {
        let until = Instant::now() + READY;
        while Instant::now() < until {
            let judges = |m: &std::sync::Arc<crate::rig::member::Member>| {
                !m.said("knows which rules hold").is_empty()
                    || !m.said("judges by version 1 ").is_empty()
            };
            if fleet.members.iter().all(judges) && rules::read_logs(fleet).in_force.contains_key(&1)
            {
                return Ok(());
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        Err(format!(
            "the first rules were not in force after {} s",
            READY.as_secs()
        ))
    }

    fn turn(&mut self, fleet: &Fleet, since: i64) -> Vec<Fault> {
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

    fn over(&mut self, fleet: &Fleet) {
        let last = self
            .offered
            .iter()
            .map(|(_, _, set)| set.version)
            .max()
            .unwrap_or(1);
        let until = Instant::now() + LAST;
        self.logs = rules::read_logs(fleet);
        while !self.logs.in_force.contains_key(&last) && Instant::now() < until {
            std::thread::sleep(Duration::from_millis(50));
            self.logs = rules::read_logs(fleet);
        }
        self.hits = rules::hits(fleet, self.asked_front, LAST);
    }
}

/// Plays the run of a seed: whether it passed, and the tallies of its line.
pub fn run(seed: u64, small: bool) -> Result<(bool, String), String> {
    let began = Instant::now();
    let Plan {
        scenario,
        first,
        changes,
        old,
    } = draw(seed, small);
    let (fronts, zones) = (scenario.fleet.fronts, scenario.fleet.zones);
    let files = Files::new(fronts, seed, &first).map_err(|e| e.to_string())?;
    let fleet = Fleet::start_with(&scenario, seed, files.beside(fronts, zones), None)?;
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
    checked(&mut run, &rules, &planned, &scenario, &account);
    let seconds = began.elapsed().as_secs();
    if seconds >= MOST_SECONDS {
        run.violations
            .entry("run")
            .or_default()
            .push(format!("took {seconds} s"));
    }
    Ok(end(&run, &format!("fronts={fronts} seconds={seconds}")))
}

fn checked(
    run: &mut Run,
    rules: &Rules,
    planned: &[Change],
    scenario: &Scenario,
    account: &Account,
) {
    let wrong = &mut run.violations;
    let ran = executions(&account.engine_events, &account.sent_by);
    let end = i64::MAX;
    let bars = rules.bars(end);
    let zone = |engine: usize| engine / scenario.fleet.engines_per_zone;
    barred::check(wrong, &ran, &account.asked, (&bars, &zone));
    denied(wrong, account);
    let class = |id: &str| {
        account
            .asked
            .iter()
            .find(|o| o.asked.id == id)
            .map(|o| o.class)
    };
    let ruled = ran.iter().filter(|x| class(&x.id) == Some(REPORT)).count() as i64;
    run.tallies.insert("ruled_runs", ruled);
    run.tallies
        .insert("versions_in_force", rules.logs.in_force.len() as i64);
    run.tallies.insert("bars", bars.len() as i64);
    let mut add = |rule: &'static str, what: String| wrong.entry(rule).or_default().push(what);
    if ruled < LEAST_RUN {
        add("run", format!("{ruled} executions that a rule was about"));
    }
    let lived: BTreeSet<u64> = rules.lived().iter().map(|(_, set)| set.version).collect();
    for change in planned {
        let version = change.files[0].1.version;
        if !lived.contains(&version) || !rules.logs.in_force.contains_key(&version) {
            add(
                "run",
                format!(
                    "version {version} ({}) did not come to be in force",
                    change.kind
                ),
            );
        }
        if change.kind == "two" && rules.logs.accepted.get(&version).map_or(0, Vec::len) > 1 {
            add(
                "two_in_force",
                format!("two files of version {version} became the fleet's"),
            );
        }
        if let (true, Some(at)) = (change.kind == "cut", rules.logs.in_force.get(&version)) {
            let cuts = account
                .played
                .iter()
                .filter(|(fault, ..)| fault.what == FaultKind::FrontsSplit);
            let inside = cuts.filter(|(_, from, to)| from <= at && at < to).count() as i64;
            run.tallies.insert("in_force_during_a_cut", inside);
        }
    }
    let killed = planned.iter().any(|change| change.kind == "killed");
    let old: usize = rules.logs.old.values().sum();
    run.tallies.insert("old_files_refused", old as i64);
    if killed && old < 2 {
        add("run", format!("{old} of 2 old files were refused"));
    }
    counted(run, rules, account);
}

/// What is denied runs nowhere; and a front that can't know the rules turns away nobody else's statements.
fn denied(wrong: &mut Violations, account: &Account) {
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
        .filter(|o| o.class == AUDIT && began.contains(o.asked.id.as_str()))
    {
        wrong
            .entry("barred_read")
            .or_default()
            .push(format!("{}: ran, but is denied", o.asked.id));
    }
    let closed = account
        .asked
        .iter()
        .filter(|o| o.class == REPORT && refused(o) && !o.barred);
    let closed: BTreeSet<(usize, i64)> = closed.map(second).collect();
    let others: Vec<&Offered> = account
        .asked
        .iter()
        .filter(|o| o.class == LOOKUP && closed.contains(&second(o)))
        .collect();
    let away = others.iter().filter(|o| refused(o)).count();
    // A busy machine's fronts turn some away by themselves.
    if others.len() >= LEAST_OTHERS && away * 2 > others.len() {
        let said = format!(
            "{away} of {} of customers without rules, while fronts were closed",
            others.len()
        );
        wrong.entry("groundless_refusal").or_default().push(said);
    }
}

/// The fleet's hits, asked of one front, against what clients had answered.
fn counted(run: &mut Run, rules: &Rules, account: &Account) {
    let Some(fleet_hits) = &rules.hits else {
        let said = format!("front {} did not tell the fleet's hits", rules.asked_front);
        return run.violations.entry("run").or_default().push(said);
    };
    // A refusal for want of the ledger or of the rules came before the hit, or after: it may count or not.
    let sure = |o: &Offered| match &o.asked.outcome {
        Outcome::Completed { .. } => true,
        Outcome::Error(_) => o.barred && o.class == AUDIT,
        _ => false,
    };
    let asked: Vec<Offered> = (account.asked.iter().filter(|o| o.class != LOOKUP).cloned())
        .map(|mut o| {
            if !sure(&o) {
                o.asked.outcome = Outcome::Lost;
            }
            o
        })
        .collect();
    run.tallies.insert("hits", fleet_hits.values().sum());
    run.tallies
        .insert("hits_sure", asked.iter().filter(|o| sure(o)).count() as i64);
    run.tallies.insert(
        "hits_unsure",
        asked.iter().filter(|o| !sure(o)).count() as i64,
    );
    let of = |o: &Offered, rule: &str| Some(format!("{rule} r{}", o.front));
    let decided = |o: &Offered| of(o, if o.class == AUDIT { "denied" } else { "bound" });
    let counts = |o: &Offered| of(o, "counted").filter(|_| o.class == REPORT);
    let split = |counting: bool| {
        let holds = |rule: &str| rule.starts_with("counted") == counting;
        fleet_hits
            .iter()
            .filter(|(rule, _)| holds(rule))
            .map(|(rule, n)| (rule.clone(), *n))
            .collect()
    };
    hits::check(&mut run.violations, &asked, &split(false), &decided);
    hits::check(&mut run.violations, &asked, &split(true), &counts);
}

#[cfg(test)]
#[path = "rules_tests.rs"]
mod tests;
