//! `prove promises --only sites`: statements over several sites, whose true rows are known, with
//! concurrent loads at any front, a partition of the fleet, a killed front, and invalid summaries
//! that fronts must reject.

mod seen;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::sync::Arc;
use std::time::{Duration, Instant};

use nix::sys::signal::Signal;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::common::{fault, print_run};
use super::shape;
use crate::engine::lines::{self, RowStore};
use crate::engine::Records;
use crate::record::account::{Account, Run};
use crate::record::judge::judge;
use crate::record::rows::{self, Scatter};
use crate::rig::fleet::{play, Fleet, FleetHooks};
use crate::rig::member::Member;
use crate::rig::scenario::{Class, Effect, Fault, FaultKind, FleetShape, Load, Scenario};
use crate::rig::sites::{Sites, SUMMARY_DEFECTS};
use seen::{count_asked_sites, count_reasons, final_rows, parse_rows, AnswerRecords, LoadRecord};

const SITES: usize = 5;
/// Initial values of a site lie in a range of its own; loads use all ranges.
const VALUES_PER_SITE: i64 = 1_000;
const INITIAL_ROWS_PER_SITE: usize = 40;
/// Interval between summaries of a site.
const SUMMARY_INTERVAL: Duration = Duration::from_millis(1_200);
const SCATTERS_PER_SECOND: f64 = 22.0;
const LOADS_PER_SECOND: f64 = 3.0;
const WARM_UP_US: i64 = 4_000_000; // microseconds at the start of a measurement that do not count
const FIRST_STATEMENT_NUMBER: u64 = 1 << 40; // the plain load uses lower numbers
const MAX_SECONDS: u64 = 60;
/// Text in fronts' log lines, after the number of sites asked.
const UNNECESSARY_SITES_TEXT: &str = "asked and without rows";
/// Minimum of completely answered scatters; a run with fewer exercises too little.
const MIN_COMPLETE_SCATTERS: usize = 100;

const MIN_ROWS: i64 = 100; // minimum of rows in answers; a run with fewer exercises too little

/// Writes summaries and runs the clients of a run.
struct Plan {
    sites: Arc<Sites>,
    seen: Arc<AnswerRecords>,
    stop: Arc<AtomicBool>,
    clients: Option<std::thread::JoinHandle<()>>,
    seed: u64,
    rng: Pcg64Mcg,
    summaries_written_at: Instant,
    bad_summaries_written: usize,
    /// Loads a second.
    loads: f64,
    /// Whether invalid summaries are written as well.
    writes_bad_summaries: bool,
    /// How many summaries fronts have rejected, by what was wrong with them.
    refused: BTreeMap<&'static str, usize>,
    /// The last log line of each front about sites that it asked unnecessarily.
    unnecessary_lines: Vec<String>,
}

/// Sends statements until the run ends, each from its own client thread.
fn run_clients(
    (seed, loads): (u64, f64),
    members: &[Arc<Member>],
    records: &Arc<Records>,
    seen: &Arc<AnswerRecords>,
    stop: &AtomicBool,
) {
    let (gap, loads) = (
        Duration::from_secs_f64(1.0 / (SCATTERS_PER_SECOND + loads)),
        loads / (SCATTERS_PER_SECOND + loads),
    );
    let (mut rng, mut number, mut waits) = (
        Pcg64Mcg::seed_from_u64(seed),
        FIRST_STATEMENT_NUMBER,
        Vec::new(),
    );
    while !stop.load(SeqCst) {
        std::thread::sleep(gap);
        number += 1;
        let here: Vec<&Arc<Member>> = members
            .iter()
            .filter(|m| !m.unavailable.load(SeqCst))
            .collect();
        let Some(member) = here.get(rng.random_range(0..here.len().max(1))) else {
            continue;
        };
        let Some(at) = member
            .front
            .lock()
            .ok()
            .and_then(|f| f.as_ref().map(|f| f.statement_address))
        else {
            continue;
        };
        let (front, loads) = (member.number, rng.random_bool(loads));
        let from = rng.random_range(0..SITES as i64 * VALUES_PER_SITE);
        let to = if rng.random_bool(0.6) {
            from
        } else {
            from + rng.random_range(0..VALUES_PER_SITE / 4)
        };
        let (records, seen) = (records.clone(), seen.clone());
        waits.push(std::thread::spawn(move || {
            let id = format!("{}{}", if loads { "l" } else { "q" }, number - FIRST_STATEMENT_NUMBER);
            let verb = if loads { "load" } else { "lookup" };
            let fields =
                [("verb", verb), ("team", "acme"), ("limit", "4000"), ("cpu", "10"), ("heap_mb", "0")];
            let text = match loads {
                true => format!("/* id={id},ms=10,on=1 */ insert into data_17.t (v) values ({from})"),
                false => {
                    format!("/* id={id},ms=10 */ select v from data_17.t where v between {from} and {to}")
                }
            };
            let sent = records.now();
            let body = lines::ask_body(at, number, &fields, &text).ok().flatten();
            let answered = records.now();
            if loads {
                let acknowledged = if body.is_some() { answered } else { i64::MAX };
                if let Ok(mut all) = seen.loads.lock() {
                    all.push(LoadRecord { id, value: from, sent, acknowledged, front });
                }
            } else if let Ok(mut all) = seen.scatters.lock() {
                let rows = body.map(|body| parse_rows(&String::from_utf8_lossy(&body)));
                let without = BTreeSet::new();
                all.push((front, Scatter { id, between: (from, to), sent, answered, rows, without }));
            }
        }));
    }
    waits.into_iter().for_each(|wait| _ = wait.join());
}

impl Plan {
    /// Writes every site's summary at one front, from which the others receive it, and possibly an
    /// invalid one; notifies those fronts by SIGHUP.
    fn write_summaries(&mut self, fleet: &Fleet) {
        let fronts = fleet.members.len();
        let mut notified_fronts = BTreeSet::new();
        for site in 0..SITES {
            let front = self.rng.random_range(0..fronts);
            self.sites.publish_summary(site, front);
            notified_fronts.insert(front);
        }
        if self.writes_bad_summaries {
            let (what, _) = SUMMARY_DEFECTS[self.bad_summaries_written % SUMMARY_DEFECTS.len()];
            let (site, front) = (
                self.rng.random_range(0..SITES),
                self.rng.random_range(0..fronts),
            );
            self.sites.publish_defective_summary(site, front, what);
            notified_fronts.insert(front);
            self.bad_summaries_written += 1;
        }
        let here = notified_fronts
            .iter()
            .map(|front| &fleet.members[*front])
            .filter(|m| !m.unavailable.load(SeqCst));
        here.for_each(|member| member.signal(Signal::SIGHUP));
    }
}

impl FleetHooks for Plan {
    fn on_ready(&mut self, fleet: &Fleet) -> Result<(), String> {
        self.write_summaries(fleet);
        let (seed, members, records) = (
            (self.seed, self.loads),
            fleet.members.clone(),
            fleet.records.clone(),
        );
        let (seen, stop) = (self.seen.clone(), self.stop.clone());
        self.clients = Some(std::thread::spawn(move || {
            run_clients(seed, &members, &records, &seen, &stop)
        }));
        Ok(())
    }

    fn poll(&mut self, fleet: &Fleet, _: i64) -> Vec<Fault> {
        if self.summaries_written_at.elapsed() >= SUMMARY_INTERVAL {
            self.summaries_written_at = Instant::now();
            self.write_summaries(fleet);
        }
        Vec::new()
    }

    fn on_load_ended(&mut self, fleet: &Fleet) {
        self.stop.store(true, SeqCst);
        self.clients
            .take()
            .into_iter()
            .for_each(|clients| _ = clients.join());
        for (what, text) in SUMMARY_DEFECTS {
            let count_lines = |m: &Arc<Member>| {
                let lines = m.log_lines("/bad: ");
                lines.iter().filter(|(_, line)| line.contains(text)).count()
            };
            self.refused
                .insert(what, fleet.members.iter().map(count_lines).sum());
        }
        for member in &fleet.members {
            let before = member.log_lines(UNNECESSARY_SITES_TEXT).len();
            member.signal(Signal::SIGHUP);
            let since = Instant::now();
            while member.log_lines(UNNECESSARY_SITES_TEXT).len() == before
                && since.elapsed() < SUMMARY_INTERVAL
            {
                std::thread::sleep(Duration::from_millis(10));
            }
            self.unnecessary_lines.extend(
                member
                    .log_lines(UNNECESSARY_SITES_TEXT)
                    .pop()
                    .map(|(_, line)| line),
            );
        }
    }
}

/// Draws the scenario of a seed.
fn draw(seed: u64, small: bool) -> Scenario {
    let mut rng = Pcg64Mcg::seed_from_u64(seed ^ 0x7369_7465);
    let fronts = 5;
    let cut = fault(
        FaultKind::FrontsSplit,
        6_000 + rng.random_range(0..500),
        5_000,
    );
    let mut faults = vec![Fault {
        front: rng.random_range(1..fronts),
        ..cut
    }];
    if !small {
        let killed = fault(
            FaultKind::Kill,
            15_000 + rng.random_range(0..500),
            rng.random_range(500..2_000),
        );
        faults.push(Fault {
            front: rng.random_range(0..fronts),
            ..killed
        });
    }
    let load = Class {
        share: 0.0,
        effect: Effect::NonIdempotent,
        goes_on: true,
        ..Class::idempotent("load", 2_000)
    };
    Scenario {
        seed: Some(seed),
        seconds: if small { 14 } else { 25 },
        fleet: FleetShape {
            zones: SITES,
            engines_per_zone: 1,
            clocks_apart_ms: 400,
            ..shape::fleet(fronts)
        },
        load: Load {
            per_second: 5,
            work_ms: 10,
            timeout_ms: 4_000,
            memory_mb: 0,
        },
        engine: shape::engines(),
        faults,
        classes: vec![
            Class::idempotent("plain", 1_000),
            Class {
                share: 0.0,
                ..Class::idempotent("lookup", 1_000)
            },
            load,
        ],
    }
}

/// Draws the initial values of each site.
fn initial_values(seed: u64) -> Vec<Vec<i64>> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut values = |site: i64| -> Vec<i64> {
        (0..INITIAL_ROWS_PER_SITE)
            .map(|_| site * VALUES_PER_SITE + rng.random_range(0..VALUES_PER_SITE))
            .collect()
    };
    (0..SITES as i64).map(&mut values).collect()
}

/// Runs a scenario over sites, with `loads` loads a second.
fn play_scenario(
    scenario: &Scenario,
    seed: u64,
    loads: f64,
    writes_bad_summaries: bool,
) -> Result<(Plan, Account, Vec<u32>), String> {
    let fronts = scenario.fleet.fronts;
    let sites =
        Arc::new(Sites::new(initial_values(seed), 1, fronts, seed).map_err(|e| e.to_string())?);
    let holds: Arc<dyn RowStore> = sites.clone();
    let fleet = Fleet::start_with(scenario, seed, sites.member_options(fronts), Some(holds))?;
    let mut plan = Plan {
        sites,
        seen: Arc::default(),
        stop: Arc::default(),
        clients: None,
        seed,
        rng: Pcg64Mcg::seed_from_u64(seed ^ 0x7465_6c6c),
        summaries_written_at: Instant::now(),
        bad_summaries_written: 0,
        loads,
        writes_bad_summaries,
        refused: BTreeMap::new(),
        unnecessary_lines: Vec::new(),
    };
    let (account, pids) = play(fleet, scenario, seed, &mut plan)?;
    Ok((plan, account, pids))
}

/// Which sites a run without faults asked.
#[derive(Debug, Default)]
pub struct SitesAsked {
    /// Scatters that were answered completely.
    pub scatters: usize,
    pub loads: usize,
    /// Sites that scatters without summaries would have asked.
    pub all: i64,
    /// Sites that were asked.
    pub asked: i64,
    /// Sites with a matching row.
    pub with_rows: i64,
    /// Missing rows, and rows too many.
    pub missing: usize,
    /// Sites asked that had no matching row, by reason.
    pub unnecessary: BTreeMap<String, u64>,
}

/// Runs a fleet without faults and with `loads` loads a second.
pub fn measure_sites(seed: u64, loads: f64, seconds: u64) -> Result<SitesAsked, String> {
    let mut scenario = draw(seed, true);
    (scenario.seconds, scenario.faults) = (seconds, Vec::new());
    let (plan, account, _) = play_scenario(&scenario, seed, loads, false)?;
    let (held, mut violations) = final_rows((&plan.sites, &plan.seen), &initial_values(seed));
    let lock = |_| "a client's thread panicked".to_string();
    let scatters = plan.seen.scatters.lock().map_err(|e| lock(e.to_string()))?;
    let loads = plan
        .seen
        .loads
        .lock()
        .map_err(|e| lock(e.to_string()))?
        .len();
    let began = scatters
        .iter()
        .map(|(_, scatter)| scatter.sent)
        .min()
        .unwrap_or(0);
    let all: Vec<Scatter> = scatters
        .iter()
        .map(|(_, scatter)| scatter.clone())
        .collect();
    rows::check(&mut violations, &all, &held);
    let complete: Vec<&Scatter> = (all.iter())
        .filter(|scatter| scatter.rows.is_some() && scatter.sent > began + WARM_UP_US)
        .collect();
    let (asked, with_rows) = count_asked_sites(&complete, &held, &account);
    let unnecessary = count_reasons(&plan.unnecessary_lines);
    let missing = violations.values().map(Vec::len).sum();
    let all = (complete.len() * SITES) as i64;
    Ok(SitesAsked {
        scatters: complete.len(),
        loads,
        all,
        asked,
        with_rows,
        missing,
        unnecessary,
    })
}

/// Runs a seed; returns whether it passed and the tallies of its result line.
pub fn run(seed: u64, small: bool) -> Result<(bool, String), String> {
    let began = Instant::now();
    let scenario = draw(seed, small);
    let (plan, account, pids) = play_scenario(&scenario, seed, LOADS_PER_SECOND, true)?;
    let initial = &initial_values(seed);
    let mut run = judge(&scenario, &account, pids);
    check_run(&mut run, &plan, initial, &account);
    let seconds = began.elapsed().as_secs();
    if seconds >= MAX_SECONDS {
        run.violations
            .entry("run")
            .or_default()
            .push(format!("the run took {seconds} s"));
    }
    Ok(print_run(
        &run,
        &format!("fronts={} seconds={seconds}", scenario.fleet.fronts),
    ))
}

fn check_run(run: &mut Run, plan: &Plan, initial: &[Vec<i64>], account: &Account) {
    let (held, violations) = final_rows((&plan.sites, &plan.seen), initial);
    for (what, all) in violations {
        run.violations.entry(what).or_default().extend(all);
    }
    let (Ok(scatters), Ok(loads)) = (plan.seen.scatters.lock(), plan.seen.loads.lock()) else {
        return;
    };
    let all: Vec<Scatter> = scatters
        .iter()
        .map(|(_, scatter)| scatter.clone())
        .collect();
    rows::check(&mut run.violations, &all, &held);
    let complete = scatters
        .iter()
        .filter(|(_, scatter)| scatter.rows.is_some());
    let complete: Vec<&(usize, Scatter)> = complete.collect();
    let answered: Vec<&Scatter> = complete.iter().map(|(_, scatter)| scatter).collect();
    let (of, least) = count_asked_sites(&answered, &held, account);
    // Counts scatters sent on one side of a partition after a load was acknowledged on the other,
    // both while it lasted.
    let mut scatters_across_cut = 0;
    for (fault, from, to) in account
        .played
        .iter()
        .filter(|(fault, ..)| fault.what == FaultKind::FrontsSplit)
    {
        let side = |front: usize| fault.split().group(front);
        let inside = |at: i64| *from <= at && at < *to;
        let done: Vec<&LoadRecord> = loads
            .iter()
            .filter(|load| inside(load.sent) && inside(load.acknowledged))
            .collect();
        let other = |front: usize, scatter: &Scatter| {
            inside(scatter.answered)
                && done
                    .iter()
                    .any(|l| side(l.front) != side(front) && l.acknowledged < scatter.sent)
        };
        scatters_across_cut += complete
            .iter()
            .filter(|(front, scatter)| other(*front, scatter))
            .count() as i64;
    }
    let rows = complete
        .iter()
        .flat_map(|(_, scatter)| &scatter.rows)
        .map(Vec::len)
        .sum::<usize>() as i64;
    let acknowledged = loads
        .iter()
        .filter(|load| load.acknowledged < i64::MAX)
        .count() as i64;
    let unnecessary = count_reasons(&plan.unnecessary_lines);
    let without = |why: &str| unnecessary.get(why).map_or(0, |count| *count as i64);
    for (key, value) in [
        ("needless_bounds", without("bounds")),
        ("needless_no_summary", without("no summary")),
        ("needless_no_word", without("no word on loads")),
        ("needless_summary_behind", without("summary behind")),
        ("scatters", scatters.len() as i64),
        ("scatters_whole", complete.len() as i64),
        ("loads", loads.len() as i64),
        ("loads_acknowledged", acknowledged),
        ("sites_all", (complete.len() * SITES) as i64),
        ("sites_asked", of),
        ("sites_true", least),
        ("rows", rows),
        ("across_a_cut", scatters_across_cut),
        (
            "summaries_refused",
            plan.refused.values().sum::<usize>() as i64,
        ),
    ] {
        run.tallies.insert(key, value);
    }
    let mut add = |what: String| run.violations.entry("run").or_default().push(what);
    if complete.len() < MIN_COMPLETE_SCATTERS || acknowledged < 10 || rows < MIN_ROWS {
        add(format!(
            "{} complete scatters, {rows} rows, {acknowledged} loads acknowledged",
            complete.len()
        ));
    }
    if scatters_across_cut == 0 {
        add("no scatter ran on one side of a partition after a load on the other".to_string());
    }
    for (what, _) in plan.refused.iter().filter(|(_, count)| **count == 0) {
        add(format!("no front rejected a summary that was {what}"));
    }
}
