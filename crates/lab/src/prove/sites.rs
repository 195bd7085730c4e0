//! `prove promises --only sites`: statements over several sites, whose true rows are known, beside loads at any front,
//! among a cut of the fleet, a front killed, and summaries that must count for nothing.

mod seen;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::sync::Arc;
use std::time::{Duration, Instant};

use nix::sys::signal::Signal;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::played::{end, fault};
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
use seen::{asked, counted, held, read, AnswerRecords, Loaded};

const SITES: usize = 5;
const RANGE: i64 = 1_000; // values of a site lie in a range of its own, loads' anywhere
const FIRST_ROWS: usize = 40; // of each site
const TELL: Duration = Duration::from_millis(1_200); // between summaries of a site
const SCATTERS: f64 = 22.0; // a second
const LOADS: f64 = 3.0; // a second
const WARM_US: i64 = 4_000_000; // microseconds at the beginning of what is measured that do not count
const NUMBERS: u64 = 1 << 40; // statements of the plain load have lower ones
const MOST_SECONDS: u64 = 60;
const NEEDLESS: &str = "asked and without rows"; // in fronts' logs, behind how many they asked
const LEAST_WHOLE: usize = 100; // scatters answered in whole; with fewer a run proves nothing

const LEAST_ROWS: i64 = 100; // told in answers

struct Plan {
    sites: Arc<Sites>,
    seen: Arc<AnswerRecords>,
    stop: Arc<AtomicBool>,
    clients: Option<std::thread::JoinHandle<()>>,
    seed: u64,
    chance: Pcg64Mcg,
    told_at: Instant,
    turns: usize,
    /// Loads a second, and whether summaries that must count for nothing come too.
    loads: f64,
    spoils: bool,
    /// What was wrong with summaries that fronts have refused, and how often.
    refused: BTreeMap<&'static str, usize>,
    /// The last word of each front on sites that it asked for nothing.
    needless: Vec<String>,
}

/// Statements until the run ends, each by a client of its own.
fn clients(
    (seed, loads): (u64, f64),
    members: &[Arc<Member>],
    records: &Arc<Records>,
    seen: &Arc<AnswerRecords>,
    stop: &AtomicBool,
) {
    let (gap, loads) = (
        Duration::from_secs_f64(1.0 / (SCATTERS + loads)),
        loads / (SCATTERS + loads),
    );
    let (mut chance, mut number, mut waits) = (Pcg64Mcg::seed_from_u64(seed), NUMBERS, Vec::new());
    while !stop.load(SeqCst) {
        std::thread::sleep(gap);
        number += 1;
        let here: Vec<&Arc<Member>> = members
            .iter()
            .filter(|m| !m.unavailable.load(SeqCst))
            .collect();
        let Some(member) = here.get(chance.random_range(0..here.len().max(1))) else {
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
        let (front, loads) = (member.number, chance.random_bool(loads));
        let from = chance.random_range(0..SITES as i64 * RANGE);
        let to = if chance.random_bool(0.6) {
            from
        } else {
            from + chance.random_range(0..RANGE / 4)
        };
        let (records, seen) = (records.clone(), seen.clone());
        waits.push(std::thread::spawn(move || {
            let id = format!("{}{}", if loads { "l" } else { "q" }, number - NUMBERS);
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
                    all.push(Loaded { id, value: from, sent, acknowledged, front });
                }
            } else if let Ok(mut all) = seen.scatters.lock() {
                let rows = body.map(|body| read(&String::from_utf8_lossy(&body)));
                let without = BTreeSet::new();
                all.push((front, Scatter { id, between: (from, to), sent, answered, rows, without }));
            }
        }));
    }
    waits.into_iter().for_each(|wait| _ = wait.join());
}

impl Plan {
    /// Every site's summary at two fronts, from which others hear of it; and one that must count for nothing.
    fn tell(&mut self, fleet: &Fleet) {
        let fronts = fleet.members.len();
        let mut fronts_told = BTreeSet::new();
        for site in 0..SITES {
            let front = self.chance.random_range(0..fronts);
            self.sites.publish_summary(site, front);
            fronts_told.insert(front);
        }
        if self.spoils {
            let (what, _) = SUMMARY_DEFECTS[self.turns % SUMMARY_DEFECTS.len()];
            let (site, front) = (
                self.chance.random_range(0..SITES),
                self.chance.random_range(0..fronts),
            );
            self.sites.publish_defective_summary(site, front, what);
            fronts_told.insert(front);
            self.turns += 1;
        }
        let here = fronts_told
            .iter()
            .map(|front| &fleet.members[*front])
            .filter(|m| !m.unavailable.load(SeqCst));
        here.for_each(|member| member.signal(Signal::SIGHUP));
    }
}

impl FleetHooks for Plan {
    fn on_ready(&mut self, fleet: &Fleet) -> Result<(), String> {
        self.tell(fleet);
        let (seed, members, records) = (
            (self.seed, self.loads),
            fleet.members.clone(),
            fleet.records.clone(),
        );
        let (seen, stop) = (self.seen.clone(), self.stop.clone());
        self.clients = Some(std::thread::spawn(move || {
            clients(seed, &members, &records, &seen, &stop)
        }));
        Ok(())
    }

    fn poll(&mut self, fleet: &Fleet, _: i64) -> Vec<Fault> {
        if self.told_at.elapsed() >= TELL {
            self.told_at = Instant::now();
            self.tell(fleet);
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
            let said = |m: &Arc<Member>| {
                let lines = m.log_lines("/bad: ");
                lines.iter().filter(|(_, line)| line.contains(text)).count()
            };
            self.refused
                .insert(what, fleet.members.iter().map(said).sum());
        }
        for member in &fleet.members {
            let before = member.log_lines(NEEDLESS).len();
            member.signal(Signal::SIGHUP);
            let since = Instant::now();
            while member.log_lines(NEEDLESS).len() == before && since.elapsed() < TELL {
                std::thread::sleep(Duration::from_millis(10));
            }
            self.needless
                .extend(member.log_lines(NEEDLESS).pop().map(|(_, line)| line));
        }
    }
}

/// The run of a seed.
fn draw(seed: u64, small: bool) -> Scenario {
    let mut chance = Pcg64Mcg::seed_from_u64(seed ^ 0x7369_7465);
    let fronts = 5;
    let cut = fault(
        FaultKind::FrontsSplit,
        6_000 + chance.random_range(0..500),
        5_000,
    );
    let mut faults = vec![Fault {
        front: chance.random_range(1..fronts),
        ..cut
    }];
    if !small {
        let gone = fault(
            FaultKind::Kill,
            15_000 + chance.random_range(0..500),
            chance.random_range(500..2_000),
        );
        faults.push(Fault {
            front: chance.random_range(0..fronts),
            ..gone
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

/// The values that each site holds at first.
fn first(seed: u64) -> Vec<Vec<i64>> {
    let mut chance = Pcg64Mcg::seed_from_u64(seed);
    let mut values = |site: i64| -> Vec<i64> {
        (0..FIRST_ROWS)
            .map(|_| site * RANGE + chance.random_range(0..RANGE))
            .collect()
    };
    (0..SITES as i64).map(&mut values).collect()
}

/// Plays a scenario among sites, with so many loads a second.
fn played(
    scenario: &Scenario,
    seed: u64,
    loads: f64,
    spoils: bool,
) -> Result<(Plan, Account, Vec<u32>), String> {
    let fronts = scenario.fleet.fronts;
    let sites = Arc::new(Sites::new(first(seed), 1, fronts, seed).map_err(|e| e.to_string())?);
    let holds: Arc<dyn RowStore> = sites.clone();
    let fleet = Fleet::start_with(scenario, seed, sites.member_options(fronts), Some(holds))?;
    let mut plan = Plan {
        sites,
        seen: Arc::default(),
        stop: Arc::default(),
        clients: None,
        seed,
        chance: Pcg64Mcg::seed_from_u64(seed ^ 0x7465_6c6c),
        told_at: Instant::now(),
        turns: 0,
        loads,
        spoils,
        refused: BTreeMap::new(),
        needless: Vec::new(),
    };
    let (account, pids) = play(fleet, scenario, seed, &mut plan)?;
    Ok((plan, account, pids))
}

/// What a run without faults shows of sites asked.
#[derive(Debug, Default)]
pub struct SitesAsked {
    pub scatters: usize,
    pub loads: usize,
    pub all: i64,
    pub asked: i64,
    /// Those with a row that matches.
    pub with_rows: i64,
    pub missing: usize,
    /// Asked and without rows, by why.
    pub needless: BTreeMap<String, u64>,
}

/// Plays a quiet fleet with so many loads a second.
pub fn measured(seed: u64, loads: f64, seconds: u64) -> Result<SitesAsked, String> {
    let mut scenario = draw(seed, true);
    (scenario.seconds, scenario.faults) = (seconds, Vec::new());
    let (plan, account, _) = played(&scenario, seed, loads, false)?;
    let (held, mut violations) = held((&plan.sites, &plan.seen), &first(seed));
    let lock = |_| "a client's thread broke".to_string();
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
    let whole: Vec<&Scatter> = (all.iter())
        .filter(|scatter| scatter.rows.is_some() && scatter.sent > began + WARM_US)
        .collect();
    let (asked, with_rows) = asked(&whole, &held, &account);
    let needless = counted(&plan.needless);
    let missing = violations.values().map(Vec::len).sum();
    let all = (whole.len() * SITES) as i64;
    Ok(SitesAsked {
        scatters: whole.len(),
        loads,
        all,
        asked,
        with_rows,
        missing,
        needless,
    })
}

/// Plays the run of a seed: whether it passed, and the tallies of its line.
pub fn run(seed: u64, small: bool) -> Result<(bool, String), String> {
    let began = Instant::now();
    let scenario = draw(seed, small);
    let (plan, account, pids) = played(&scenario, seed, LOADS, true)?;
    let first = &first(seed);
    let mut run = judge(&scenario, &account, pids);
    checked(&mut run, &plan, first, &account);
    let seconds = began.elapsed().as_secs();
    if seconds >= MOST_SECONDS {
        run.violations
            .entry("run")
            .or_default()
            .push(format!("took {seconds} s"));
    }
    Ok(end(
        &run,
        &format!("fronts={} seconds={seconds}", scenario.fleet.fronts),
    ))
}

fn checked(run: &mut Run, plan: &Plan, first: &[Vec<i64>], account: &Account) {
    let (held, violations) = held((&plan.sites, &plan.seen), first);
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
    let whole = scatters
        .iter()
        .filter(|(_, scatter)| scatter.rows.is_some());
    let whole: Vec<&(usize, Scatter)> = whole.collect();
    let answered: Vec<&Scatter> = whole.iter().map(|(_, scatter)| scatter).collect();
    let (of, least) = asked(&answered, &held, account);
    // Loads acknowledged on one side of a cut, and scatters asked on the other after that while it lasted.
    let mut across = 0;
    for (fault, from, to) in account
        .played
        .iter()
        .filter(|(fault, ..)| fault.what == FaultKind::FrontsSplit)
    {
        let side = |front: usize| fault.split().group(front);
        let inside = |at: i64| *from <= at && at < *to;
        let done: Vec<&Loaded> = loads
            .iter()
            .filter(|load| inside(load.sent) && inside(load.acknowledged))
            .collect();
        let other = |front: usize, scatter: &Scatter| {
            inside(scatter.answered)
                && done
                    .iter()
                    .any(|l| side(l.front) != side(front) && l.acknowledged < scatter.sent)
        };
        across += whole
            .iter()
            .filter(|(front, scatter)| other(*front, scatter))
            .count() as i64;
    }
    let rows = whole
        .iter()
        .flat_map(|(_, scatter)| &scatter.rows)
        .map(Vec::len)
        .sum::<usize>() as i64;
    let acknowledged = loads
        .iter()
        .filter(|load| load.acknowledged < i64::MAX)
        .count() as i64;
    let needless = counted(&plan.needless);
    let without = |why: &str| needless.get(why).map_or(0, |count| *count as i64);
    for (key, value) in [
        ("needless_bounds", without("bounds")),
        ("needless_no_summary", without("no summary")),
        ("needless_no_word", without("no word on loads")),
        ("needless_summary_behind", without("summary behind")),
        ("scatters", scatters.len() as i64),
        ("scatters_whole", whole.len() as i64),
        ("loads", loads.len() as i64),
        ("loads_acknowledged", acknowledged),
        ("sites_all", (whole.len() * SITES) as i64),
        ("sites_asked", of),
        ("sites_true", least),
        ("rows", rows),
        ("across_a_cut", across),
        (
            "summaries_refused",
            plan.refused.values().sum::<usize>() as i64,
        ),
    ] {
        run.tallies.insert(key, value);
    }
    let mut add = |what: String| run.violations.entry("run").or_default().push(what);
    if whole.len() < LEAST_WHOLE || acknowledged < 10 || rows < LEAST_ROWS {
        add(format!(
            "{} scatters in whole, {rows} rows, {acknowledged} loads acknowledged",
            whole.len()
        ));
    }
    if across == 0 {
        add("no scatter came on one side of a cut after a load on the other".to_string());
    }
    for (what, _) in plan.refused.iter().filter(|(_, said)| **said == 0) {
        add(format!("no front refused a summary that was {what}"));
    }
}
