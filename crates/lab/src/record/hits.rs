//! The fleet's count of each rule against the clients' record: a statement with a final answer counts once, one whose
//! front died before its answer once or not at all.

use std::collections::BTreeMap;

use super::account::Offered;
use crate::check::{Outcome, Violations};

/// `told`: the fleet's count of each rule, as asked of a front; `rule` says which rule decides a statement, if any.
pub fn check(
    wrong: &mut Violations,
    asked: &[Offered],
    told: &BTreeMap<String, i64>,
    rule: &dyn Fn(&Offered) -> Option<String>,
) {
    let mut counts: BTreeMap<String, (i64, i64)> = BTreeMap::new();
    for offered in asked {
        let Some(rule) = rule(offered) else { continue };
        let count = counts.entry(rule).or_default();
        let answered = matches!(offered.asked.outcome, Outcome::Completed { .. } | Outcome::Error(_));
        count.0 += i64::from(answered);
        count.1 += 1;
    }
    for rule in told.keys().filter(|rule| !counts.contains_key(*rule)).cloned().collect::<Vec<_>>() {
        counts.insert(rule, (0, 0));
    }
    for (rule, (least, most)) in counts {
        let told = told.get(&rule).copied().unwrap_or(0);
        if told < least {
            wrong.entry("hit_lost").or_default().push(format!("{rule}: {told} told, {least} answered"));
        }
        if told > most {
            wrong.entry("hit_doubled").or_default().push(format!("{rule}: {told} told, {most} asked"));
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::record::account::offered;

    #[test]
    fn a_hit_lost_and_a_hit_doubled_are_found() {
        let mut all = [offered("a", 0, 0), offered("b", 0, 0), offered("c", 0, 0)];
        all[2].asked.outcome = Outcome::Lost;
        let found = |told: i64| {
            let mut wrong = Violations::new();
            check(&mut wrong, &all, &BTreeMap::from([("r".to_string(), told)]), &|_| Some("r".into()));
            wrong.into_keys().collect::<Vec<_>>()
        };
        assert!(found(2).is_empty() && found(3).is_empty());
        assert_eq!((found(1), found(4)), (vec!["hit_lost"], vec!["hit_doubled"]));
        let mut wrong = Violations::new();
        check(&mut wrong, &all, &BTreeMap::from([("never".to_string(), 1)]), &|_| None);
        assert!(wrong.contains_key("hit_doubled"));
    }
}
