//! `measure grown`, the part of `measure promises` in simulated time: what the replicated ledger
//! costs each front as the fleet grows, and how long replicas of a lost disk are missing; each with
//! the exponent of its growth.

use std::time::Instant;

use crate::check::Outcome;
use crate::prove::common::fault;
use crate::prove::promises::{draw, RunOptions};
use crate::record::account::{Offered, Run};
use crate::rig::scenario::{Fault, FaultKind, Scenario};
use crate::simulated;

const SIZES: [usize; 4] = [5, 20, 40, 300];
const STATEMENTS_PER_FRONT: u64 = 2; // statements a second and front
const SECONDS: u64 = 24;
const DISK_LOST_MS: u64 = 8_000; // milliseconds of load until a disk is lost
const FRONT_AWAY_MS: u64 = 1_000; // milliseconds until the front of the lost disk is back
const SEED: u64 = 7;

/// The figures of one fleet size.
struct Row {
    fronts: usize,
    bytes: f64,
    cpu_ms: f64,
    ledger_ms: f64,
    plain_ms: f64,
    repair_ms: f64,
    late: usize,
    refused: usize,
}

/// Returns the scenario of a fleet size.
fn scenario_of(fronts: usize, copies: usize, faults: Vec<Fault>) -> Scenario {
    let options = RunOptions {
        small: true,
        simulated: true,
        fronts: Some(fronts),
        copies,
        ..RunOptions::default()
    };
    let mut scenario = draw(SEED, options);
    (scenario.faults, scenario.seconds) = (faults, SECONDS);
    scenario.load.per_second = STATEMENTS_PER_FRONT * fronts as u64;
    // The number of keys grows with the fleet: otherwise the wait for other statements of the key
    // would be part of the result.
    scenario
        .classes
        .iter_mut()
        .filter(|c| c.keys > 0)
        .for_each(|c| c.keys = fronts * 20);
    scenario
}

/// Returns the median of the milliseconds beyond their work that completed statements took, of the
/// classes that need a ledger entry (`promised`) or of the others.
fn beyond_work(scenario: &Scenario, run: &Run, needs_ledger_entry: bool) -> f64 {
    let is_counted = |o: &&Offered| {
        let completed = matches!(o.asked.outcome, Outcome::Completed { .. });
        completed && scenario.classes[o.class].needs_ledger_entry() == needs_ledger_entry
    };
    let mut took: Vec<f64> = (run.asked.iter().filter(is_counted))
        .map(|o| {
            let work = scenario.classes[o.class]
                .work_ms
                .unwrap_or(scenario.load.work_ms);
            (o.asked.answered - o.asked.sent) as f64 / 1000.0 - work as f64
        })
        .collect();
    super::spread(&mut took).median
}

/// Runs a fleet without faults and, with replicas, one that loses a disk; returns their figures.
fn measure_row(fronts: usize, copies: usize) -> Result<Row, String> {
    let quiet = scenario_of(fronts, copies, Vec::new());
    let began = Instant::now();
    let run = simulated::run(&quiet, SEED)?;
    let cpu_ms = began.elapsed().as_secs_f64() * 1000.0 / (fronts as f64 * SECONDS as f64);
    let tally = |run: &Run, key: &str| run.tallies.get(key).copied().unwrap_or(0);
    let bytes = tally(&run, "gossip_bytes_per_front_s") as f64;
    let (ledger_ms, plain_ms) = (
        beyond_work(&quiet, &run, true),
        beyond_work(&quiet, &run, false),
    );
    let (mut repair_ms, mut late, mut refused) = (f64::NAN, 0, 0);
    if copies > 0 {
        let most = tally(&run, "keeps_most") as usize;
        let lost = Fault {
            front: most,
            ..fault(FaultKind::LoseDisk, DISK_LOST_MS, FRONT_AWAY_MS)
        };
        let loss_run = scenario_of(fronts, copies, vec![lost]);
        let run = simulated::run(&loss_run, SEED)?;
        if tally(&run, "copies_made_again") > 0 {
            repair_ms = tally(&run, "copies_again_ms") as f64;
        }
        // Statements that meet the rebuild of replicas: those of the lost front itself do not
        // count.
        let after = |o: &&Offered| !o.asked.may_be_lost && o.front != most;
        let slo = |o: &Offered| loss_run.classes[o.class].slo_ms as i64 * 1000;
        let completed = |o: &Offered| matches!(o.asked.outcome, Outcome::Completed { .. });
        let later_statements = || run.asked.iter().filter(after);
        late = later_statements()
            .filter(|o| completed(o) && o.asked.answered - o.asked.sent > slo(o))
            .count();
        refused = later_statements()
            .filter(|o| matches!(o.asked.outcome, Outcome::Error(_)))
            .count();
    }
    Ok(Row {
        fronts,
        bytes,
        cpu_ms,
        ledger_ms,
        plain_ms,
        repair_ms,
        late,
        refused,
    })
}

/// Fits the exponent of growth: the slope of the logarithms by least squares.
fn exponent(rows: &[Row], of: impl Fn(&Row) -> f64) -> f64 {
    let points: Vec<(f64, f64)> = rows
        .iter()
        .map(|r| ((r.fronts as f64).ln(), of(r).max(1e-9).ln()))
        .collect();
    let mean =
        |of: &dyn Fn(&(f64, f64)) -> f64| points.iter().map(of).sum::<f64>() / points.len() as f64;
    let (x, y) = (mean(&|p| p.0), mean(&|p| p.1));
    let above: f64 = points.iter().map(|p| (p.0 - x) * (p.1 - y)).sum();
    above / points.iter().map(|p| (p.0 - x).powi(2)).sum::<f64>()
}

/// Prints the table and the exponents. Returns an error if a run fails.
pub fn measure() -> Result<(), String> {
    println!("Simulated, seed {SEED}, {STATEMENTS_PER_FRONT} statements a second and front for {SECONDS} s, 3 in 7 need a promise:");
    println!();
    println!("| fronts | copies | bytes a second a front | machine's ms a front and second | beyond its work: needs a promise, ms | needs none, ms | all copies again, ms | late by the loss | refused |");
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    let mut rows = Vec::new();
    for fronts in SIZES {
        for copies in [0, 3] {
            let row = measure_row(fronts, copies)?;
            let Row {
                bytes,
                cpu_ms,
                ledger_ms,
                plain_ms,
                repair_ms,
                late,
                refused,
                ..
            } = row;
            println!("| {fronts} | {copies} | {bytes:.0} | {cpu_ms:.2} | {ledger_ms:.1} | {plain_ms:.1} | {repair_ms:.0} | {late} | {refused} |");
            if copies > 0 {
                rows.push(row);
            }
        }
    }
    println!();
    println!(
        "Exponents of growth, 3 copies: bytes {:.2}, machine's time {:.2}, time to a promise {:.2}, copies again {:.2}.",
        exponent(&rows, |r| r.bytes),
        exponent(&rows, |r| r.cpu_ms),
        exponent(&rows, |r| r.ledger_ms),
        exponent(&rows, |r| r.repair_ms),
    );
    Ok(())
}
