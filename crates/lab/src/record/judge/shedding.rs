//! What a fleet shed under overload, and how far its fronts agreed on the order of shedding.

use crate::check::Outcome;
use crate::record::account::{Offered, Tallies, SECOND};
use crate::rig::scenario::Scenario;

/// Counts statements answered in time and rejected classes. Each front's ranking of classes by the
/// share rejected is compared with the fleet's by Spearman's rank correlation; the tally is the
/// mean over fronts that rejected anything.
pub(super) fn count_shed(
    scenario: &Scenario,
    began: i64,
    asked: &[Offered],
    tallies: &mut Tallies,
) {
    let in_time = |o: &Offered| {
        let slo = scenario.classes[o.class].slo_ms as i64 * 1000;
        matches!(o.asked.outcome, Outcome::Completed { .. })
            && o.asked.answered - o.asked.sent <= slo
    };
    // Only answers during the load count: statements queued at its end are served by otherwise idle
    // engines.
    let over = began + scenario.seconds as i64 * SECOND;
    let served = || {
        asked
            .iter()
            .filter(|o| o.asked.answered < over && in_time(o))
    };
    let worth: f64 = served().map(|o| scenario.classes[o.class].importance).sum();
    tallies.insert(
        "in_time_per_s",
        served().count() as i64 / scenario.seconds as i64,
    );
    tallies.insert("worth_per_s", (worth / scenario.seconds as f64) as i64);
    let classes = scenario.classes.len();
    if classes < 2 {
        return;
    }
    let refused = |of: &mut dyn Iterator<Item = &Offered>| {
        let mut counts = vec![(0.0, 0.0); classes];
        for o in of {
            counts[o.class].1 += 1.0;
            counts[o.class].0 += f64::from(u8::from(!in_time(o)));
        }
        counts
            .iter()
            .map(|(refused, all)| refused / f64::max(*all, 1.0))
            .collect::<Vec<f64>>()
    };
    let fleet = ranks(&refused(&mut asked.iter()));
    let mut agreed = Vec::new();
    for front in 0..scenario.fleet.fronts {
        let own = refused(&mut asked.iter().filter(|o| o.front == front));
        if own.iter().any(|share| *share > 0.0) {
            agreed.push(correlation(&ranks(&own), &fleet));
        }
    }
    let mean = agreed.iter().sum::<f64>() / agreed.len().max(1) as f64;
    tallies.insert("shed_order_agreed_pct", (mean * 100.0).round() as i64);
}

/// Returns the rank of each value; equal values share the mean of their ranks.
fn ranks(values: &[f64]) -> Vec<f64> {
    let rank = |value: &f64| {
        let below = values.iter().filter(|other| *other < value).count();
        let alike = values.iter().filter(|other| *other == value).count();
        below as f64 + (alike as f64 - 1.0) / 2.0
    };
    values.iter().map(rank).collect()
}

fn correlation(a: &[f64], b: &[f64]) -> f64 {
    let mean = (a.len() as f64 - 1.0) / 2.0;
    let product = |x: &[f64], y: &[f64]| -> f64 {
        x.iter().zip(y).map(|(x, y)| (x - mean) * (y - mean)).sum()
    };
    product(a, b) / (product(a, a) * product(b, b)).sqrt().max(1e-9)
}

#[cfg(test)]
#[path = "shedding_tests.rs"]
mod tests;
