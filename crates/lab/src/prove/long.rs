//! `prove promises --long`: a long day in simulated time, with faults of every kind drawn from the seed, several at
//! once, while fronts come and go. A day that fails is cut down to the faults that it fails by.

use std::time::{Duration, Instant};

use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::played::fault;
use super::promises::{self, RunOptions};
use crate::record::account::Run;
use crate::rig::scenario::{Fault, FaultKind, Load, Scenario, Step};
use crate::simulated::{minimize, run_with};

const SLOT_MS: u64 = 40_000; // milliseconds from one machine lost with its disk to the next: the repair lies between
const QUIET_MS: u64 = 10_000; // milliseconds at the end of each in which nothing is played
const LEAST: usize = 4; // further faults of a slot
const MOST: usize = 8;
const PER_SECOND: u64 = 20;
const CUTS_DOWN: Duration = Duration::from_secs(600); // for which a failing day is cut down
const GROWN: i64 = 3; // halves: the last quarter of a day may hold so much more than the first
const GROWN_BYTES: i64 = 131_072; // and so many bytes
const STEPS: [Step; 4] = [Step::Taken, Step::Copying, Step::Began, Step::Kept];
const OTHERS: [FaultKind; 14] = [
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

/// What may be played once at a time, as one undoes the other.
fn is_alike(a: &Fault, b: &Fault) -> bool {
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

/// The day of a seed.
pub fn draw(seed: u64, minutes: u64, way: RunOptions) -> Scenario {
    let mut chance = Pcg64Mcg::seed_from_u64(seed ^ 0x6c6f_6e67);
    let short = promises::draw(
        seed,
        RunOptions {
            small: false,
            simulated: true,
            ..way
        },
    );
    let (fronts, zones) = (short.fleet.fronts, short.fleet.zones);
    let seconds = (minutes * 60).max(SLOT_MS / 1000);
    let mut faults: Vec<Fault> = Vec::new();
    for slot in 0..seconds * 1000 / SLOT_MS {
        let begins = slot * SLOT_MS;
        let step = chance
            .random_bool(0.7)
            .then(|| STEPS[chance.random_range(0..STEPS.len())]);
        let at = begins + chance.random_range(1_000..5_000);
        let gone = fault(FaultKind::LoseDisk, at, chance.random_range(500..8_000));
        faults.push(Fault {
            front: chance.random_range(0..fronts),
            step,
            ..gone
        });
        for _ in 0..chance.random_range(LEAST..=MOST) {
            let Some(what) = OTHERS.choose(&mut chance) else {
                continue;
            };
            let for_ms = chance.random_range(300..6_000);
            let at = begins + chance.random_range(1_000..SLOT_MS - QUIET_MS - for_ms);
            let (delay_ms, percent) = (chance.random_range(5..120), chance.random_range(5..40));
            let drawn = Fault {
                front: match what {
                    FaultKind::FrontsSplit | FaultKind::FrontsSplitOut => {
                        chance.random_range(1..fronts - 1)
                    }
                    _ => chance.random_range(0..fronts),
                },
                zone: chance.random_range(0..zones),
                delay_ms,
                percent,
                ..fault(*what, at, for_ms)
            };
            let second = (*what == FaultKind::FrontsSplit && chance.random_bool(0.4))
                .then(|| chance.random_range(drawn.front + 1..fronts));
            let meets =
                |f: &&Fault| f.at_ms <= at + for_ms + 2_000 && at <= f.at_ms + f.for_ms + 2_000;
            if !faults.iter().filter(meets).any(|f| is_alike(f, &drawn)) {
                faults.push(Fault { second, ..drawn });
            }
        }
    }
    faults.sort_by_key(|f| f.at_ms);
    let load = Load {
        per_second: PER_SECOND,
        ..short.load
    };
    Scenario {
        seconds,
        faults,
        load,
        ..short
    }
}

/// What grows without end is a fault of its own.
fn grown(run: &mut Run) {
    let tally = |key: &str| run.tallies.get(key).copied().unwrap_or(0);
    for (early, late) in [
        ("disk_bytes_early", "disk_bytes_late"),
        ("ledger_bytes_early", "ledger_bytes_late"),
    ] {
        let (early, at_last) = (tally(early), tally(late));
        if at_last > early * GROWN / 2 + GROWN_BYTES {
            let said = format!("{late}: {at_last} after {early}");
            run.violations.entry("grows").or_default().push(said);
        }
    }
}

fn play(scenario: &Scenario, seed: u64, way: RunOptions) -> Result<Run, String> {
    let mut run = run_with(scenario, seed, way.spoil)?;
    grown(&mut run);
    Ok(run)
}

/// Plays the day of a seed: whether it passed, and the tallies of its line.
pub fn run(seed: u64, minutes: u64, way: RunOptions) -> Result<(bool, String), String> {
    let began = Instant::now();
    let scenario = draw(seed, minutes, way);
    let run = play(&scenario, seed, way)?;
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
        cut_down(&scenario, seed, way, &run);
    }
    Ok((passed, line))
}

/// Says which faults the day fails by: any that breaks one of the rules that it broke.
fn cut_down(scenario: &Scenario, seed: u64, way: RunOptions, run: &Run) {
    let broken: Vec<&str> = run.violations.keys().copied().collect();
    let fails = |tried: &Scenario| {
        let found = play(tried, seed, way)
            .map(|run| run.violations)
            .unwrap_or_default();
        broken.iter().any(|rule| found.contains_key(rule))
    };
    let (least, plays) = minimize(scenario, CUTS_DOWN, fails);
    println!(
        "{} of {} faults are enough, {} s of load, found in {plays} plays:",
        least.faults.len(),
        scenario.faults.len(),
        least.seconds
    );
    least.faults.iter().for_each(|fault| println!("{fault:?}"));
}

#[cfg(test)]
#[path = "long_tests.rs"]
mod tests;
