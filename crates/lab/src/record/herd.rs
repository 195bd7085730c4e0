//! The load that a release of many fronts puts on engines: connections and probes in the seconds
//! after the fronts have restarted, and how many statements of that time were answered in time.

use super::account::{Account, Tallies};
use crate::check::Outcome;
use crate::rig::relay::Relayed;
use crate::rig::scenario::{Fault, Scenario};

const SECOND: i64 = 1_000_000; // in microseconds
/// Microseconds after a start that count; budgets are reassigned within some seconds.
const RELEASE_SPAN_US: i64 = 6 * SECOND;

/// Adds the tallies of a release; `from` is when the fronts were killed.
pub fn released(
    scenario: &Scenario,
    account: &Account,
    (fault, from): (&Fault, i64),
    tallies: &mut Tallies,
) {
    let back = from + fault.for_ms as i64 * 1000;
    let engines = scenario.fleet.zones * scenario.fleet.engines_per_zone;
    let after = |at: i64| (back..back + RELEASE_SPAN_US).contains(&at);
    let most = |count: fn(&Relayed) -> usize| {
        let each = (0..engines).map(|e| {
            let own = account
                .relayed
                .iter()
                .filter(|r| r.engine == e && after(r.at));
            max_in_a_second(own.flat_map(|r| vec![r.at; count(r)]).collect())
        });
        each.max().unwrap_or(0) as i64
    };
    tallies.insert("released_connections_most_s", most(|r| r.opened));
    tallies.insert("released_probes_most_s", most(|r| r.probes));
    let made = account
        .relayed
        .iter()
        .filter(|r| after(r.at))
        .map(|r| r.opened as i64)
        .sum();
    tallies.insert("released_connections", made);
    let asked: Vec<_> = account
        .asked
        .iter()
        .filter(|o| after(o.asked.sent))
        .collect();
    let in_time = asked.iter().filter(|o| {
        let slo = scenario.classes[o.class].slo_ms as i64 * 1000;
        matches!(o.asked.outcome, Outcome::Completed { .. })
            && o.asked.answered - o.asked.sent <= slo
    });
    let share = in_time.count() * 100 / asked.len().max(1);
    tallies.insert("released_in_time_pct", share as i64);
}

/// Returns the largest number of these times within any one second.
fn max_in_a_second(mut times: Vec<i64>) -> usize {
    times.sort_unstable();
    let within = |(n, at): (usize, &i64)| times.partition_point(|later| *later < at + SECOND) - n;
    times.iter().enumerate().map(within).max().unwrap_or(0)
}

#[cfg(test)]
#[path = "herd_tests.rs"]
mod tests;
