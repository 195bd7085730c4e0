//! Retries of one front stay within the agreed budget, counted from each of its starts.

use std::collections::{BTreeMap, HashSet};

use super::account::Offered;
use super::executions::Execution;
use crate::check::Violations;

/// The agreed retry budget.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    pub spare: f64,
    /// Share of the statements accepted in a window.
    pub share: f64,
    /// Length of the window in microseconds.
    pub window: i64,
}

impl Budget {
    /// Returns how many retries are allowed. The limit is relaxed by 15 % and one execution, as the
    /// times of acceptance and of dispatch are known only from outside.
    fn allows(&self, taken: usize) -> f64 {
        (self.spare + self.share * taken as f64) * 1.15 + 1.0
    }
}

/// Checks all executions; `starts` lists restarted fronts and the time of each restart.
pub fn check(
    wrong: &mut Violations,
    ran: &[Execution],
    asked: &[Offered],
    budget: Budget,
    starts: &[(usize, i64)],
) {
    let mut further: BTreeMap<usize, Vec<i64>> = BTreeMap::new();
    let mut known = HashSet::new();
    for x in ran
        .iter()
        .filter(|x| !known.insert((x.front, x.id.as_str())))
    {
        further.entry(x.front).or_default().push(x.from);
    }
    for (front, further) in further {
        for (n, at) in further.iter().enumerate() {
            let own = starts
                .iter()
                .filter(|(started, when)| *started == front && when <= at);
            let since = own
                .map(|(_, when)| *when)
                .max()
                .unwrap_or(i64::MIN)
                .max(at - budget.window);
            let within = further[..=n].iter().filter(|from| **from > since).count();
            let is_in_window =
                |o: &&Offered| o.front == front && o.asked.sent > since && o.asked.sent <= *at;
            let taken = asked.iter().filter(is_in_window).count();
            if within as f64 > budget.allows(taken) {
                let finding = format!(
                    "front {front}: {within} further executions of {taken} statements at {at}"
                );
                wrong.entry("budget").or_default().push(finding);
            }
        }
    }
}

#[cfg(test)]
#[path = "budget_tests.rs"]
mod tests;
