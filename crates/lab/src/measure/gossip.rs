//! `measure gossip`, in simulated time: how fast a suspicion spreads, and what it costs each front.

use std::time::Instant;

use hallmux_gossip::message::EngineStatus;
use hallmux_gossip::Micros;

#[path = "../../../gossip/tests/fleet/sim.rs"]
#[allow(dead_code)] // the tests of the gossip crate use the rest
mod sim;

use sim::{Fleet, SECOND};

/// Time until all fronts that start at once have found each other.
const SETTLE_TIME: Micros = 15 * SECOND;
/// Microseconds between checks of which fronts have the report.
const CHECK_INTERVAL: Micros = 50_000;
const ROUNDS: usize = 3; // suspicions, each reported by another front

/// Prints a row for each size.
pub fn spread(sizes: &[usize]) -> Result<(), String> {
    println!("| fronts | loss | nine in ten have heard, ms | all have, ms | bytes a second a front, most | wall s |");
    println!("| --- | --- | --- | --- | --- | --- |");
    for (&size, loss) in sizes.iter().flat_map(|size| [(size, 0.0), (size, 0.05)]) {
        let began = Instant::now();
        let mut fleet = Fleet::with_seeds(size, 42, 3);
        fleet.loss_rate = loss;
        fleet.run(SETTLE_TIME);
        let before = fleet.bytes_sent();
        let since = fleet.now;
        let (mut nine, mut all) = (Vec::new(), Vec::new());
        for round in 0..ROUNDS {
            let reporter = size / (round + 2);
            let engine = 1000 + round as u64;
            let at = fleet.now;
            fleet.report_engine_statuses(
                reporter,
                vec![EngineStatus {
                    engine,
                    failed: 9,
                    silent_ms: 3000,
                    ..EngineStatus::default()
                }],
            );
            let mut heard = 0;
            while heard < size - 1 && fleet.now < at + 8 * SECOND {
                fleet.run(fleet.now + CHECK_INTERVAL);
                heard = fleet.fronts_with_report_on(engine).len();
                if heard * 10 >= (size - 1) * 9 && nine.len() == round {
                    nine.push((fleet.now - at) / 1000);
                }
            }
            if heard == size - 1 {
                all.push((fleet.now - at) / 1000);
            }
            fleet.report_engine_statuses(reporter, Vec::new());
            fleet.run(at + 8 * SECOND);
        }
        let seconds = (fleet.now - since) as f64 / 1e6;
        let sent = fleet.bytes_sent();
        let most = sent
            .iter()
            .zip(&before)
            .map(|(after, before)| (after - before) as f64 / seconds);
        let most = most.fold(0.0, f64::max);
        let wall = began.elapsed().as_secs_f64();
        println!("| {size} | {loss} | {nine:?} | {all:?} | {most:.0} | {wall:.0} |");
    }
    Ok(())
}
