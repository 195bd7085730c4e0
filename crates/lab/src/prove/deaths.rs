//! `prove promises --only deaths`, in simulated time: nearly all fronts die at once while every disk is slow, and
//! a second front dies right before one returns with an empty disk. Statements run for long, so that a promise
//! that was forgotten is seen: another front begins the same order key while the first execution still runs.

use std::time::Instant;

use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::played::{end, fault};
use super::promises::RunOptions;
use super::shape;
use crate::rig::scenario::{Class, Fault, FaultKind, FleetShape, Load, Scenario};
use crate::simulated::run_with;

/// Keeps these draws apart from those of the other proofs of the same seed.
const STREAM: u64 = 0x6465_6174_6873;
const FIRST_MS: u64 = 2_000; // milliseconds of load before the first round
const SLOT_MS: u64 = 12_000; // milliseconds from one round to the next: its own time, and the repair after it
const AFTER_MS: u64 = 3_000; // milliseconds of load after the last slot
const FRONTS: usize = 4; // any three of them hold a quarter of the shards alone, with three copies
const APART_MS: u64 = 250; // milliseconds of the machine's clock, either way; the ledger bears twice that
const LEAST_RUN_PERCENT: i64 = 30; // of the statements that need a promise; with fewer, most were refused

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Round {
    /// All disks get slow, then all fronts but one die at once.
    SlowDisks,
    /// One front misses what two others agree on; one of those loses its disk and returns, and the other dies.
    SecondLoss,
}

const ROUNDS: [Round; 4] = [
    Round::SlowDisks,
    Round::SecondLoss,
    Round::SlowDisks,
    Round::SecondLoss,
];

/// All disks are slow from `at`; a while later all fronts but one die, and return once the disks are well again.
fn slow_disks(chance: &mut Pcg64Mcg, at: u64, fronts: usize) -> Vec<Fault> {
    let delay_ms = chance.random_range(1_000..=2_000);
    let deaths_at = at + chance.random_range(1_000..2_500);
    let survivor = chance.random_range(0..fronts);
    let slow = Fault {
        delay_ms,
        ..fault(FaultKind::DiskSlow, at, deaths_at - at + 200)
    };
    let slow = (0..fronts).map(|front| Fault {
        front,
        ..slow.clone()
    });
    let killed = fault(FaultKind::Kill, deaths_at, chance.random_range(300..1_000));
    let killed = (0..fronts)
        .filter(|front| *front != survivor)
        .map(|front| Fault {
            front,
            ..killed.clone()
        });
    slow.chain(killed).collect()
}

/// `missed` is away while the others agree; it returns as `emptied` loses its disk and `killed` dies for longer.
fn second_loss(chance: &mut Pcg64Mcg, at: u64, fronts: usize) -> Vec<Fault> {
    let mut order: Vec<usize> = (0..fronts).collect();
    order.shuffle(chance);
    let [missed, emptied, killed, ..] = order[..] else {
        return Vec::new();
    };
    let away = chance.random_range(1_200..2_000);
    let (lost_at, gone) = (at + away - 60, chance.random_range(70..120));
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
                chance.random_range(3_000..4_000),
            )
        },
    ]
}

/// The run of a seed.
pub fn draw(seed: u64, way: RunOptions) -> Scenario {
    let mut chance = Pcg64Mcg::seed_from_u64(seed ^ STREAM);
    let fronts = way.fronts.unwrap_or(FRONTS);
    let mut rounds = ROUNDS.to_vec();
    if way.small {
        rounds.truncate(2);
    }
    rounds.shuffle(&mut chance);
    let mut faults = Vec::new();
    for (slot, round) in rounds.iter().enumerate() {
        let at = FIRST_MS + slot as u64 * SLOT_MS + chance.random_range(0..500);
        faults.extend(match round {
            Round::SlowDisks => slow_disks(&mut chance, at, fronts),
            Round::SecondLoss => second_loss(&mut chance, at, fronts),
        });
    }
    let (keys, work_ms) = (
        chance.random_range(45..55),
        chance.random_range(2_400..3_000),
    );
    let keyed = Class {
        share: 4.0,
        asks_again: 2,
        ..shape::keyed(keys, work_ms)
    };
    let once = Class {
        asks_again: 2,
        ..shape::once(chance.random_range(30..90))
    };
    Scenario {
        seed: Some(seed),
        seconds: (FIRST_MS + rounds.len() as u64 * SLOT_MS + AFTER_MS) / 1000,
        fleet: FleetShape {
            clocks_apart_ms: APART_MS,
            copies: (way.copies > 0).then_some(way.copies),
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

/// Plays the run of a seed: whether it passed, and the tallies of its line.
pub fn run(seed: u64, way: RunOptions) -> Result<(bool, String), String> {
    let began = Instant::now();
    let scenario = draw(seed, way);
    let mut run = run_with(&scenario, seed, way.spoil)?;
    let tally = |key: &str| run.tallies.get(key).copied().unwrap_or(0);
    let (promised, ran) = (
        tally("promised") - tally("asked_again"),
        tally("promised_runs"),
    );
    if promised < scenario.seconds as i64 * 5 || ran * 100 < promised * LEAST_RUN_PERCENT {
        let said = format!("{ran} of {promised} that need a promise ran");
        run.violations.entry("run").or_default().push(said);
    }
    let (fronts, seconds) = (scenario.fleet.fronts, began.elapsed().as_secs());
    Ok(end(
        &run,
        &format!("fronts={fronts} wall_seconds={seconds}"),
    ))
}

#[cfg(test)]
#[path = "deaths_tests.rs"]
mod tests;
