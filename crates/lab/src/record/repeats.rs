//! A non-idempotent statement runs once; a deduplicated one runs again only inside its
//! deduplication group and window.

use std::collections::HashMap;

use super::account::Offered;
use super::executions::Execution;
use crate::check::{Repeat, Violations};

/// The agreement on repeats of one workload.
#[derive(Clone, Copy, Debug)]
pub struct Repeats {
    /// Microseconds for which engines drop a repeat; counted here from the start of the first run,
    /// which is after its dispatch.
    pub window: i64,
    /// All engines drop a repeat; otherwise only those of the same zone.
    pub all: bool,
}

/// Checks all executions; `lost` lists fronts whose process ended without warning, and when; `zone`
/// returns the zone of an engine.
pub fn check(
    wrong: &mut Violations,
    ran: &[Execution],
    asked: &[Offered],
    (agreed, zone): (&[Repeats], &dyn Fn(usize) -> usize),
    lost: &[(usize, i64)],
) {
    let known: HashMap<&str, &Offered> = asked.iter().map(|o| (o.asked.id.as_str(), o)).collect();
    let mut firsts: HashMap<&str, &Execution> = HashMap::new();
    for x in ran {
        let Some(first) = firsts.get(x.id.as_str()) else {
            firsts.insert(&x.id, x);
            continue;
        };
        let Some(offered) = known.get(x.id.as_str()) else {
            continue;
        };
        let after = x.from - first.from;
        let why = match offered.asked.repeat {
            Repeat::Idempotent => continue,
            Repeat::NonIdempotent => format!("non-idempotent, ran again after {} ms", after / 1000),
            Repeat::Deduplicated => {
                let Some(agreed) = agreed.get(offered.class) else {
                    continue;
                };
                if after >= agreed.window {
                    format!(
                        "deduplicated, ran again after {} ms of {}",
                        after / 1000,
                        agreed.window / 1000
                    )
                } else if !agreed.all && zone(first.engine) != zone(x.engine) {
                    format!(
                        "deduplicated, ran in zones {} and {}",
                        zone(first.engine),
                        zone(x.engine)
                    )
                } else {
                    continue;
                }
            }
        };
        let forgot = lost
            .iter()
            .any(|(front, at)| *front == first.front && (first.from..=x.from).contains(at));
        let rule = if forgot { "promise_lost" } else { "second_run" };
        let finding = format!("{}: {why}, at front {} then {}", x.id, first.front, x.front);
        wrong.entry(rule).or_default().push(finding);
    }
}

#[cfg(test)]
#[path = "repeats_tests.rs"]
mod tests;
