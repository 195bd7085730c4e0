//! What needs a promise never begins at a front that has long heard too few others for one to stand.

use std::collections::HashMap;

use super::account::Offered;
use super::cuts::Connectivity;
use super::executions::Execution;
use super::starved::Starved;
use crate::check::{Repeat, Violations};

/// Microseconds from a cut until what left before it has come to its engine.
const ON_ITS_WAY: i64 = 300_000;

/// Whether a statement of this record depends on a promise.
pub fn needs(offered: &Offered) -> bool {
    !offered.asked.key.is_empty() || offered.asked.repeat != Repeat::Idempotent
}

/// `stands_on`: the fronts that a promise has to stand on.
pub fn check(
    wrong: &mut Violations,
    ran: &[Execution],
    (asked, starved): (&[Offered], &Starved),
    (ways, stands_on): (&Connectivity, usize),
) {
    let known: HashMap<(&str, usize), &Offered> = asked
        .iter()
        .filter(|o| needs(o))
        .map(|o| ((o.asked.id.as_str(), o.front), o))
        .collect();
    for x in ran {
        let Some(offered) = known.get(&(x.id.as_str(), x.front)) else {
            continue;
        };
        // All the time from its being taken, or from well before it began, it heard too few.
        let busy = (x.from - ON_ITS_WAY, x.from);
        let way = ON_ITS_WAY + starved.front(x.front, busy) + starved.rig(busy);
        let since = offered.asked.sent.max(x.from - way);
        let heard = ways.most_heard(x.front, (since, x.from));
        if heard < stands_on && offered.asked.sent <= x.from {
            let said = format!(
                "{}: began at front {}, which heard {heard} of {stands_on}",
                x.id, x.front
            );
            wrong.entry("without_promise").or_default().push(said);
        }
    }
}

#[cfg(test)]
#[path = "unpromised_tests.rs"]
mod tests;
