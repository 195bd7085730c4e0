//! The fleet's hit count of each rule against the clients' record: a statement with a final answer
//! counts once, one whose front died before its answer once or not at all.

use std::collections::BTreeMap;

use super::account::Offered;
use crate::check::{Outcome, Violations};

/// Checks the hit counts. `counted` is the fleet's count of each rule, as read from a front; `rule`
/// returns the rule that decides a statement, if any.
pub fn check(
    wrong: &mut Violations,
    asked: &[Offered],
    counted: &BTreeMap<String, i64>,
    rule: &dyn Fn(&Offered) -> Option<String>,
) {
    let mut counts: BTreeMap<String, (i64, i64)> = BTreeMap::new();
    for offered in asked {
        let Some(rule) = rule(offered) else { continue };
        let count = counts.entry(rule).or_default();
        let answered = matches!(
            offered.asked.outcome,
            Outcome::Completed { .. } | Outcome::Error(_)
        );
        count.0 += i64::from(answered);
        count.1 += 1;
    }
    for rule in counted
        .keys()
        .filter(|rule| !counts.contains_key(*rule))
        .cloned()
        .collect::<Vec<_>>()
    {
        counts.insert(rule, (0, 0));
    }
    for (rule, (least, most)) in counts {
        let counted = counted.get(&rule).copied().unwrap_or(0);
        if counted < least {
            wrong
                .entry("hit_lost")
                .or_default()
                .push(format!("{rule}: {counted} counted, {least} answered"));
        }
        if counted > most {
            wrong
                .entry("hit_doubled")
                .or_default()
                .push(format!("{rule}: {counted} counted, {most} sent"));
        }
    }
}

#[cfg(test)]
#[path = "hits_tests.rs"]
mod tests;
