//! A statement that needs a ledger entry never starts at a front that has long reached too few
//! others to replicate one.

use std::collections::HashMap;

use super::account::Offered;
use super::cuts::Connectivity;
use super::executions::Execution;
use super::starved::Starved;
use crate::check::{Repeat, Violations};

/// Microseconds from a partition until everything sent before has arrived at its engine.
const MAX_TRANSIT_US: i64 = 300_000;

/// Returns whether a statement of this record depends on a ledger entry.
pub fn needs_ledger_entry(offered: &Offered) -> bool {
    !offered.asked.key.is_empty() || offered.asked.repeat != Repeat::Idempotent
}

/// Checks all executions; `quorum` is the number of fronts on which an entry must be replicated.
pub fn check(
    wrong: &mut Violations,
    ran: &[Execution],
    (asked, starved): (&[Offered], &Starved),
    (connectivity, quorum): (&Connectivity, usize),
) {
    let known: HashMap<(&str, usize), &Offered> = asked
        .iter()
        .filter(|o| needs_ledger_entry(o))
        .map(|o| ((o.asked.id.as_str(), o.front), o))
        .collect();
    for x in ran {
        let Some(offered) = known.get(&(x.id.as_str(), x.front)) else {
            continue;
        };
        // From its acceptance, or from well before its start, the front reached too few others all
        // the time.
        let busy = (x.from - MAX_TRANSIT_US, x.from);
        let transit = MAX_TRANSIT_US + starved.front(x.front, busy) + starved.rig(busy);
        let since = offered.asked.sent.max(x.from - transit);
        let reached = connectivity.max_reachable(x.front, (since, x.from));
        if reached < quorum && offered.asked.sent <= x.from {
            let finding = format!(
                "{}: began at front {}, which reached {reached} of {quorum} fronts",
                x.id, x.front
            );
            wrong.entry("without_promise").or_default().push(finding);
        }
    }
}

#[cfg(test)]
#[path = "unpromised_tests.rs"]
mod tests;
