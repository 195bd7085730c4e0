//! From the time at which a change of the access rules is reported to be in force, nothing that it
//! bars starts anywhere.

use std::collections::HashMap;

use super::account::Offered;
use super::executions::Execution;
use crate::check::Violations;

/// A zone barred for a workload (for all if none is named), from the report of a front until the
/// rule was withdrawn.
#[derive(Clone, Debug, PartialEq)]
pub struct BarredZone {
    pub class: Option<usize>,
    pub zone: usize,
    pub in_force: i64,
    /// When a rule file without this rule was first written; executions from then on are not
    /// violations.
    pub until: i64,
}

/// Checks all executions; `zone` returns the zone of an engine.
pub fn check(
    wrong: &mut Violations,
    ran: &[Execution],
    asked: &[Offered],
    (bars, zone): (&[BarredZone], &dyn Fn(usize) -> usize),
) {
    let known: HashMap<&str, &Offered> = asked.iter().map(|o| (o.asked.id.as_str(), o)).collect();
    for x in ran {
        let Some(offered) = known.get(x.id.as_str()) else {
            continue;
        };
        let holds = |bar: &&BarredZone| {
            let for_it = bar.class.is_none_or(|class| class == offered.class);
            for_it && bar.zone == zone(x.engine) && bar.in_force < x.from && x.from < bar.until
        };
        if let Some(bar) = bars.iter().find(holds) {
            let ms = (x.from - bar.in_force) / 1000;
            let finding = format!(
                "{}: read in zone {} {ms} ms after in force, front {}",
                x.id, bar.zone, x.front
            );
            wrong.entry("barred_read").or_default().push(finding);
        }
    }
}

#[cfg(test)]
#[path = "barred_tests.rs"]
mod tests;
