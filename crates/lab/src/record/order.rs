//! Statements of one order key run one at a time over all fronts, and those of one front in the
//! order in which it accepted them. If the front of the earlier statement was lost in between, the
//! violation is counted as a lost ledger entry, which should outlive the front.

use std::collections::{BTreeMap, HashMap};

use super::account::Offered;
use super::executions::Execution;
use crate::check::Violations;

/// Microseconds between two sends to one front that make their order certain on a busy machine.
const MIN_SEND_GAP_US: i64 = 100_000;

/// Checks all executions; `lost` lists fronts whose process ended without warning, and when.
pub fn check(wrong: &mut Violations, ran: &[Execution], asked: &[Offered], lost: &[(usize, i64)]) {
    let mut by_key: BTreeMap<&str, Vec<&Execution>> = BTreeMap::new();
    ran.iter()
        .filter(|x| !x.key.is_empty())
        .for_each(|x| by_key.entry(&x.key).or_default().push(x));
    let sent: HashMap<(&str, usize), (i64, i64)> = asked
        .iter()
        .map(|o| ((o.asked.id.as_str(), o.front), (o.asked.sent, o.starved)))
        .collect();
    for (key, ran) in by_key {
        for (n, later) in ran.iter().enumerate() {
            for earlier in ran[..n].iter().filter(|x| x.overlaps(later)) {
                let forgot = lost.iter().any(|(front, at)| {
                    *front == earlier.front && (earlier.from..=later.from).contains(at)
                });
                let rule = if forgot { "promise_lost" } else { "order" };
                let finding = format!(
                    "{key}: {} began at front {} while {} of front {} ran, by {} ms",
                    later.id,
                    later.front,
                    earlier.id,
                    earlier.front,
                    (earlier.to.min(later.to) - later.from) / 1000
                );
                wrong.entry(rule).or_default().push(finding);
            }
            // Only consecutive executions of one front: the order of a lost front's statements is
            // lost with its clients.
            let earlier = ran[..n]
                .iter()
                .rev()
                .find(|x| x.front == later.front && x.id != later.id);
            let Some(earlier) = earlier else { continue };
            let at = |x: &Execution| sent.get(&(x.id.as_str(), x.front)).copied();
            if let (Some((first, _)), Some((second, starved))) = (at(earlier), at(later)) {
                let first_run = !ran[..n].iter().any(|x| x.id == later.id);
                // A client that had no CPU sent the statement later than it intended by this time.
                if second + MIN_SEND_GAP_US + starved < first && first_run {
                    let finding = format!(
                        "{key}: {} was sent before {}, but ran after it",
                        later.id, earlier.id
                    );
                    wrong.entry("order").or_default().push(finding);
                }
            }
        }
    }
}

#[cfg(test)]
#[path = "order_tests.rs"]
mod tests;
