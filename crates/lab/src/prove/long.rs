//! `prove promises --long`: a long run in simulated time, with faults of every kind drawn from the
//! seed, several at once, while fronts leave and return. A failing run is reduced to the faults
//! that it needs to fail.

use std::time::{Duration, Instant};

use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::common::fault;
use super::promises::{self, RunOptions};
use crate::record::account::Run;
use crate::rig::scenario::{Fault, FaultKind, Load, Scenario, Step};
use crate::simulated::{minimize, run_with};

/// Milliseconds from one machine lost with its disk to the next; the repair takes place between.
const SLOT_MS: u64 = 40_000;
const QUIET_MS: u64 = 10_000; // milliseconds at the end of each slot without faults
const MIN_FAULTS_PER_SLOT: usize = 4; // faults of a slot beside the lost machine
const MAX_FAULTS_PER_SLOT: usize = 8;
const STATEMENTS_PER_SECOND: u64 = 20;
/// Time limit for reducing a failing run.
const SHRINK_TIME_LIMIT: Duration = Duration::from_secs(600);
/// Limit of the last quarter's size relative to the first quarter's, in halves.
const MAX_GROWTH_HALVES: i64 = 3;
const GROWTH_ALLOWANCE_BYTES: i64 = 131_072; // bytes of growth allowed on top
const LOSS_STEPS: [Step; 4] = [Step::Taken, Step::Copying, Step::Began, Step::Kept];
const FAULT_KINDS: [FaultKind; 14] = [
    FaultKind::Stall,
    FaultKind::Stall,
    FaultKind::Kill,
    FaultKind::Term,
    FaultKind::FrontsSplit,
    FaultKind::FrontsSplitOut,
    FaultKind::PostLossy,
    FaultKind::PostDoubled,
    FaultKind::PostSlow,
    FaultKind::PostShuffled,
    FaultKind::ZoneSlow,
    FaultKind::ZoneReset,
    FaultKind::LinkCut,
    FaultKind::LinkCutBack,
];

/// Whether two faults may not overlap, as the end of one would undo the other.
fn conflicts(a: &Fault, b: &Fault) -> bool {
    let cut = |f: &Fault| matches!(f.what, FaultKind::FrontsSplit | FaultKind::FrontsSplitOut);
    let away = |f: &Fault| {
        matches!(
            f.what,
            FaultKind::Stall | FaultKind::Kill | FaultKind::Term | FaultKind::LoseDisk
        )
    };
    let link = |f: &Fault| matches!(f.what, FaultKind::LinkCut | FaultKind::LinkCutBack);
    a.what == b.what
        || cut(a) && cut(b)
        || away(a) && away(b) && a.front == b.front
        || link(a) && link(b)
}

/// Draws the scenario of a seed.
pub fn draw(seed: u64, minutes: u64, options: RunOptions) -> Scenario {
    let mut rng = Pcg64Mcg::seed_from_u64(seed ^ 0x6c6f_6e67);
    let base = promises::draw(
        seed,
        RunOptions {
            small: false,
            simulated: true,
            ..options
        },
    );
    let (fronts, zones) = (base.fleet.fronts, base.fleet.zones);
    let seconds = (minutes * 60).max(SLOT_MS / 1000);
    let mut faults: Vec<Fault> = Vec::new();
    for slot in 0..seconds * 1000 / SLOT_MS {
        let begins = slot * SLOT_MS;
        let step = rng
            .random_bool(0.7)
            .then(|| LOSS_STEPS[rng.random_range(0..LOSS_STEPS.len())]);
        let at = begins + rng.random_range(1_000..5_000);
        let loss = fault(FaultKind::LoseDisk, at, rng.random_range(500..8_000));
        faults.push(Fault {
            front: rng.random_range(0..fronts),
            step,
            ..loss
        });
        for _ in 0..rng.random_range(MIN_FAULTS_PER_SLOT..=MAX_FAULTS_PER_SLOT) {
            let Some(what) = FAULT_KINDS.choose(&mut rng) else {
                continue;
            };
            let for_ms = rng.random_range(300..6_000);
            let at = begins + rng.random_range(1_000..SLOT_MS - QUIET_MS - for_ms);
            let (delay_ms, percent) = (rng.random_range(5..120), rng.random_range(5..40));
            let drawn = Fault {
                front: match what {
                    FaultKind::FrontsSplit | FaultKind::FrontsSplitOut => {
                        rng.random_range(1..fronts - 1)
                    }
                    _ => rng.random_range(0..fronts),
                },
                zone: rng.random_range(0..zones),
                delay_ms,
                percent,
                ..fault(*what, at, for_ms)
            };
            let second = (*what == FaultKind::FrontsSplit && rng.random_bool(0.4))
                .then(|| rng.random_range(drawn.front + 1..fronts));
            let overlaps =
                |f: &&Fault| f.at_ms <= at + for_ms + 2_000 && at <= f.at_ms + f.for_ms + 2_000;
            if !faults.iter().filter(overlaps).any(|f| conflicts(f, &drawn)) {
                faults.push(Fault { second, ..drawn });
            }
        }
    }
    faults.sort_by_key(|f| f.at_ms);
    let load = Load {
        per_second: STATEMENTS_PER_SECOND,
        ..base.load
    };
    Scenario {
        seconds,
        faults,
        load,
        ..base
    }
}

/// Reports unbounded growth of disks and ledgers as a violation.
fn check_growth(run: &mut Run) {
    let tally = |key: &str| run.tallies.get(key).copied().unwrap_or(0);
    for (early, late) in [
        ("disk_bytes_early", "disk_bytes_late"),
        ("ledger_bytes_early", "ledger_bytes_late"),
    ] {
        let (early, at_last) = (tally(early), tally(late));
        if at_last > early * MAX_GROWTH_HALVES / 2 + GROWTH_ALLOWANCE_BYTES {
            let message = format!("{late}: {at_last} after {early}");
            run.violations.entry("grows").or_default().push(message);
        }
    }
}

fn play(scenario: &Scenario, seed: u64, options: RunOptions) -> Result<Run, String> {
    let mut run = run_with(scenario, seed, options.mutation)?;
    check_growth(&mut run);
    Ok(run)
}

/// Runs a seed; returns whether it passed and the tallies of its result line.
pub fn run(seed: u64, minutes: u64, options: RunOptions) -> Result<(bool, String), String> {
    let began = Instant::now();
    let scenario = draw(seed, minutes, options);
    let run = play(&scenario, seed, options)?;
    for (rule, found) in &run.violations {
        found
            .iter()
            .take(8)
            .for_each(|what| eprintln!("{rule}: {what}"));
    }
    let seconds = began.elapsed().as_secs();
    let violations: usize = run.violations.values().map(Vec::len).sum();
    let (fronts, passed) = (scenario.fleet.fronts, run.passed());
    let line = format!(
        "{} fronts={fronts} wall_seconds={seconds} violations={violations}",
        run.line()
    );
    if !passed {
        print_smallest_failing_run(&scenario, seed, options, &run);
    }
    Ok((passed, line))
}

/// Prints a smallest set of faults with which the run still breaks one of the same rules.
fn print_smallest_failing_run(scenario: &Scenario, seed: u64, options: RunOptions, run: &Run) {
    let broken: Vec<&str> = run.violations.keys().copied().collect();
    let fails = |tried: &Scenario| {
        let found = play(tried, seed, options)
            .map(|run| run.violations)
            .unwrap_or_default();
        broken.iter().any(|rule| found.contains_key(rule))
    };
    let (smallest_failing, plays) = minimize(scenario, SHRINK_TIME_LIMIT, fails);
    println!(
        "{} of {} faults are enough, {} s of load, found in {plays} plays:",
        smallest_failing.faults.len(),
        scenario.faults.len(),
        smallest_failing.seconds
    );
    smallest_failing
        .faults
        .iter()
        .for_each(|fault| println!("{fault:?}"));
}

#[cfg(test)]
#[path = "long_tests.rs"]
mod tests;
