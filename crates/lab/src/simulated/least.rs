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
    let (mut least, mut plays) = (scenario.clone(), 0);
    let mut tries = |tried: &Scenario| {
        plays += 1;
        fails(tried)
    };
    let mut many = least.faults.len();
    while many > 0 && !least.faults.is_empty() {
        many = many.min(least.faults.len());
        let mut at = 0;
        while at < least.faults.len() && began.elapsed() < within {
            let end = (at + many).min(least.faults.len());
            let mut tried = least.clone();
            tried.faults.drain(at..end);
            if tries(&tried) {
                least = tried;
            } else {
                at = end;
            }
        }
        if many == 1 || began.elapsed() >= within {
            break;
        }
        many = many.div_ceil(2);
    }
    // Shortens the load to end soon after the last fault.
    let last = least
        .faults
        .iter()
        .map(|f| f.at_ms + f.for_ms)
        .max()
        .unwrap_or(0);
    let short = Scenario {
        seconds: (last + TAIL_LOAD_MS).div_ceil(1000),
        ..least.clone()
    };
    if short.seconds < least.seconds && began.elapsed() < within && tries(&short) {
        least = short;
    }
    (least, plays)
}

#[cfg(test)]
#[path = "least_tests.rs"]
mod tests;
