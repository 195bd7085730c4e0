//! `measure promises`, the part in simulated time: what a fleet of promises costs each front as it grows, and how
//! long copies of a lost disk are missing; each with the exponent of its growth.

use std::time::Instant;

use crate::check::Outcome;
use crate::prove::played::fault;
use crate::prove::promises::{draw, RunOptions};
use crate::record::account::{Offered, Run};
use crate::rig::scenario::{Fault, FaultKind, Scenario};
use crate::simulated;

const SIZES: [usize; 4] = [5, 20, 40, 300];
const PER_FRONT: u64 = 2; // statements a second and front
const SECONDS: u64 = 24;
const LOST_MS: u64 = 8_000; // milliseconds of load until a disk is lost
const GONE_MS: u64 = 1_000; // milliseconds until its front is back
const SEED: u64 = 7;

/// What is told of each size.
struct Row {
    fronts: usize,
    bytes: f64,
    cpu_ms: f64,
    promise_ms: f64,
    plain_ms: f64,
    again_ms: f64,
    late: usize,
    refused: usize,
}

fn day(fronts: usize, copies: usize, faults: Vec<Fault>) -> Scenario {
    let way = RunOptions {
        small: true,
        simulated: true,
        fronts: Some(fronts),
        copies,
        ..RunOptions::default()
    };
    let mut scenario = draw(SEED, way);
    (scenario.faults, scenario.seconds) = (faults, SECONDS);
    scenario.load.per_second = PER_FRONT * fronts as u64;
    // As many keys for each front: whoever waits for another's key measures that.
    scenario
        .classes
        .iter_mut()
        .filter(|c| c.keys > 0)
        .for_each(|c| c.keys = fronts * 20);
    scenario
}

/// Milliseconds beyond their work that the completed statements of some classes took; the median.
fn beyond_work(scenario: &Scenario, run: &Run, promised: bool) -> f64 {
    let own = |o: &&Offered| {
        let completed = matches!(o.asked.outcome, Outcome::Completed { .. });
        completed && scenario.classes[o.class].needs_ledger_entry() == promised
    };
    let mut took: Vec<f64> = (run.asked.iter().filter(own))
        .map(|o| {
            let work = scenario.classes[o.class]
                .work_ms
                .unwrap_or(scenario.load.work_ms);
            (o.asked.answered - o.asked.sent) as f64 / 1000.0 - work as f64
        })
        .collect();
    super::spread(&mut took).median
}

fn row(fronts: usize, copies: usize) -> Result<Row, String> {
    let quiet = day(fronts, copies, Vec::new());
    let began = Instant::now();
    let run = simulated::run(&quiet, SEED)?;
    let cpu_ms = began.elapsed().as_secs_f64() * 1000.0 / (fronts as f64 * SECONDS as f64);
    let tally = |run: &Run, key: &str| run.tallies.get(key).copied().unwrap_or(0);
    let bytes = tally(&run, "gossip_bytes_per_front_s") as f64;
    let (promise_ms, plain_ms) = (
        beyond_work(&quiet, &run, true),
        beyond_work(&quiet, &run, false),
    );
    let (mut again_ms, mut late, mut refused) = (f64::NAN, 0, 0);
    if copies > 0 {
        let most = tally(&run, "keeps_most") as usize;
        let lost = Fault {
            front: most,
            ..fault(FaultKind::LoseDisk, LOST_MS, GONE_MS)
        };
        let day = day(fronts, copies, vec![lost]);
        let run = simulated::run(&day, SEED)?;
        if tally(&run, "copies_made_again") > 0 {
            again_ms = tally(&run, "copies_again_ms") as f64;
        }
        // While copies are made again, of those that the lost front itself had none.
        let after = |o: &&Offered| !o.asked.may_be_lost && o.front != most;
        let slo = |o: &Offered| day.classes[o.class].slo_ms as i64 * 1000;
        let came = |o: &Offered| matches!(o.asked.outcome, Outcome::Completed { .. });
        let others = || run.asked.iter().filter(after);
        late = others()
            .filter(|o| came(o) && o.asked.answered - o.asked.sent > slo(o))
            .count();
        refused = others()
            .filter(|o| matches!(o.asked.outcome, Outcome::Error(_)))
            .count();
    }
    Ok(Row {
        fronts,
        bytes,
        cpu_ms,
        promise_ms,
        plain_ms,
        again_ms,
        late,
        refused,
    })
}

/// The slope of the logarithms by least squares.
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

pub fn measure() -> Result<(), String> {
    println!("Simulated, seed {SEED}, {PER_FRONT} statements a second and front for {SECONDS} s, 3 in 7 need a promise:");
    println!();
    println!("| fronts | copies | bytes a second a front | machine's ms a front and second | beyond its work: needs a promise, ms | needs none, ms | all copies again, ms | late by the loss | refused |");
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    let mut rows = Vec::new();
    for fronts in SIZES {
        for copies in [0, 3] {
            let row = row(fronts, copies)?;
            let Row {
                bytes,
                cpu_ms,
                promise_ms,
                plain_ms,
                again_ms,
                late,
                refused,
                ..
            } = row;
            println!("| {fronts} | {copies} | {bytes:.0} | {cpu_ms:.2} | {promise_ms:.1} | {plain_ms:.1} | {again_ms:.0} | {late} | {refused} |");
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
        exponent(&rows, |r| r.promise_ms),
        exponent(&rows, |r| r.again_ms),
    );
    Ok(())
}
