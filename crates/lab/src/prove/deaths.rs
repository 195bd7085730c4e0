//! `prove promises --only deaths`, in simulated time: nearly all fronts die at once while every
//! disk is slow, and a second front dies right before one returns with an empty disk. Statements
//! run for long, so that a lost ledger entry shows: another front starts the same order key while
//! the first execution still runs.

use std::time::Instant;

use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::common::{fault, print_run};
use super::promises::RunOptions;
use super::shape;
use crate::rig::scenario::{Class, Fault, FaultKind, FleetShape, Load, Scenario};
use crate::simulated::run_with;

/// Separates these draws from those of the other subjects with the same seed.
const SEED_STREAM: u64 = 0x6465_6174_6873;
const FIRST_ROUND_MS: u64 = 2_000; // milliseconds of load before the first round
/// Milliseconds from one round to the next: the faults, and the repair after them.
const SLOT_MS: u64 = 12_000;
const LOAD_AFTER_MS: u64 = 3_000; // milliseconds of load after the last slot
/// With three replicas any three of four fronts hold a quarter of the shards alone.
const FRONTS: usize = 4;
/// Milliseconds from the machine's clock, either way; the ledger tolerates twice that.
const CLOCK_SKEW_MS: u64 = 250;
/// Percentage of the statements that need a ledger entry that must run; with fewer, most were
/// rejected.
const MIN_RUN_PERCENT: i64 = 30;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Round {
    /// All disks become slow, then all fronts but one die at once.
    SlowDisks,
    /// One front misses what two others agree on; one of those loses its disk and returns, and the
    /// other dies.
    SecondLoss,
}

const ROUNDS: [Round; 4] = [
    Round::SlowDisks,
    Round::SecondLoss,
    Round::SlowDisks,
    Round::SecondLoss,
];

/// All disks are slow from `at`; 1 to 2.5 s later all fronts but one die, and return once the disks
/// are fast again.
fn slow_disks(rng: &mut Pcg64Mcg, at: u64, fronts: usize) -> Vec<Fault> {
    let delay_ms = rng.random_range(1_000..=2_000);
    let deaths_at = at + rng.random_range(1_000..2_500);
    let survivor = rng.random_range(0..fronts);
    let slow = Fault {
        delay_ms,
        ..fault(FaultKind::DiskSlow, at, deaths_at - at + 200)
    };
    let slow = (0..fronts).map(|front| Fault {
        front,
        ..slow.clone()
    });
    let killed = fault(FaultKind::Kill, deaths_at, rng.random_range(300..1_000));
    let killed = (0..fronts)
        .filter(|front| *front != survivor)
        .map(|front| Fault {
            front,
            ..killed.clone()
        });
    slow.chain(killed).collect()
}

/// `missed` is down while the others agree; it returns as `emptied` loses its disk and `killed`
/// dies for longer.
fn second_loss(rng: &mut Pcg64Mcg, at: u64, fronts: usize) -> Vec<Fault> {
    let mut order: Vec<usize> = (0..fronts).collect();
    order.shuffle(rng);
    let [missed, emptied, killed, ..] = order[..] else {
        return Vec::new();
    };
    let away = rng.random_range(1_200..2_000);
    let (lost_at, gone) = (at + away - 60, rng.random_range(70..120));
    vec![
        Fault {
            front: missed,
            ..fault(FaultKind::Kill, at, away)
        },
        Fault {
            front: emptied,
            ..fault(FaultKind::LoseDisk, lost_at, gone)
        },
        Fault {
            front: killed,
            ..fault(
                FaultKind::Kill,
                lost_at + 30,
                rng.random_range(3_000..4_000),
            )
        },
    ]
}

/// Draws the scenario of a seed.
pub fn draw(seed: u64, options: RunOptions) -> Scenario {
    let mut rng = Pcg64Mcg::seed_from_u64(seed ^ SEED_STREAM);
    let fronts = options.fronts.unwrap_or(FRONTS);
    let mut rounds = ROUNDS.to_vec();
    if options.small {
        rounds.truncate(2);
    }
    rounds.shuffle(&mut rng);
    let mut faults = Vec::new();
    for (slot, round) in rounds.iter().enumerate() {
        let at = FIRST_ROUND_MS + slot as u64 * SLOT_MS + rng.random_range(0..500);
        faults.extend(match round {
            Round::SlowDisks => slow_disks(&mut rng, at, fronts),
            Round::SecondLoss => second_loss(&mut rng, at, fronts),
        });
    }
    let (keys, work_ms) = (rng.random_range(45..55), rng.random_range(2_400..3_000));
    let keyed = Class {
        share: 4.0,
        asks_again: 2,
        ..shape::keyed(keys, work_ms)
    };
    let once = Class {
        asks_again: 2,
        ..shape::non_idempotent(rng.random_range(30..90))
    };
    Scenario {
        seed: Some(seed),
        seconds: (FIRST_ROUND_MS + rounds.len() as u64 * SLOT_MS + LOAD_AFTER_MS) / 1000,
        fleet: FleetShape {
            clocks_apart_ms: CLOCK_SKEW_MS,
            copies: (options.copies > 0).then_some(options.copies),
            ..shape::fleet(fronts)
        },
        load: Load {
            per_second: 20,
            work_ms: 10,
            timeout_ms: 4_000,
            memory_mb: 0,
        },
        engine: shape::engines(),
        faults,
        classes: vec![Class::idempotent("lookup", 500), keyed, once],
    }
}

/// Runs a seed; returns whether it passed and the tallies of its result line.
pub fn run(seed: u64, options: RunOptions) -> Result<(bool, String), String> {
    let began = Instant::now();
    let scenario = draw(seed, options);
    let mut run = run_with(&scenario, seed, options.mutation)?;
    let tally = |key: &str| run.tallies.get(key).copied().unwrap_or(0);
    let (promised, ran) = (
        tally("promised") - tally("asked_again"),
        tally("promised_runs"),
    );
    if promised < scenario.seconds as i64 * 5 || ran * 100 < promised * MIN_RUN_PERCENT {
        let message = format!("{ran} of {promised} statements that need a ledger entry ran");
        run.violations.entry("run").or_default().push(message);
    }
    let (fronts, seconds) = (scenario.fleet.fronts, began.elapsed().as_secs());
    Ok(print_run(
        &run,
        &format!("fronts={fronts} wall_seconds={seconds}"),
    ))
}

#[cfg(test)]
#[path = "deaths_tests.rs"]
mod tests;
