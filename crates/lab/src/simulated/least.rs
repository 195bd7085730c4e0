//! Minimizes the fault schedule of a failing run: faults that the failure does not need are
//! removed, many at once first, then one by one.

use std::time::{Duration, Instant};

use crate::rig::scenario::Scenario;

const TAIL_LOAD_MS: u64 = 6_000; // load after the last fault

/// Returns the scenario with as few faults as still make it fail, and the number of runs that this
/// took. `fails` runs one scenario. When the time limit is reached, the best result so far is
/// returned, which may not be minimal.
pub fn minimize(
    scenario: &Scenario,
    within: Duration,
    mut fails: impl FnMut(&Scenario) -> bool,
) -> (Scenario, usize) {
    let began = Instant::now();
    let (mut smallest, mut plays) = (scenario.clone(), 0);
    let mut run_fails = |candidate: &Scenario| {
        plays += 1;
        fails(candidate)
    };
    let mut chunk = smallest.faults.len();
    while chunk > 0 && !smallest.faults.is_empty() {
        chunk = chunk.min(smallest.faults.len());
        let mut at = 0;
        while at < smallest.faults.len() && began.elapsed() < within {
            let end = (at + chunk).min(smallest.faults.len());
            let mut candidate = smallest.clone();
            candidate.faults.drain(at..end);
            if run_fails(&candidate) {
                smallest = candidate;
            } else {
                at = end;
            }
        }
        if chunk == 1 || began.elapsed() >= within {
            break;
        }
        chunk = chunk.div_ceil(2);
    }
    // Shortens the load to end soon after the last fault.
    let last = smallest
        .faults
        .iter()
        .map(|f| f.at_ms + f.for_ms)
        .max()
        .unwrap_or(0);
    let shortened = Scenario {
        seconds: (last + TAIL_LOAD_MS).div_ceil(1000),
        ..smallest.clone()
    };
    if shortened.seconds < smallest.seconds && began.elapsed() < within && run_fails(&shortened) {
        smallest = shortened;
    }
    (smallest, plays)
}

#[cfg(test)]
#[path = "least_tests.rs"]
mod tests;
