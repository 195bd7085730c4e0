//! Statements of one order key run one at a time over all fronts, and those of one front in the order in which it
//! took them. Where the earlier one's front was lost meanwhile, what is broken is a promise that outlives it.

use std::collections::{BTreeMap, HashMap};

use super::account::Offered;
use super::executions::Execution;
use crate::check::Violations;

/// What must lie between two sends to one front for their order to be plain on a busy machine, in microseconds.
const APART: i64 = 100_000;

/// `lost`: fronts whose process ended without warning, and when.
pub fn check(wrong: &mut Violations, ran: &[Execution], asked: &[Offered], lost: &[(usize, i64)]) {
    let mut by_key: BTreeMap<&str, Vec<&Execution>> = BTreeMap::new();
    ran.iter().filter(|x| !x.key.is_empty()).for_each(|x| by_key.entry(&x.key).or_default().push(x));
    let sent: HashMap<(&str, usize), (i64, i64)> =
        asked.iter().map(|o| ((o.asked.id.as_str(), o.front), (o.asked.sent, o.starved))).collect();
    for (key, ran) in by_key {
        for (n, later) in ran.iter().enumerate() {
            for earlier in ran[..n].iter().filter(|x| x.overlaps(later)) {
                let forgot = lost
                    .iter()
                    .any(|(front, at)| *front == earlier.front && (earlier.from..=later.from).contains(at));
                let rule = if forgot { "promise_lost" } else { "order" };
                let said = format!(
                    "{key}: {} began at front {} while {} of front {} ran, by {} ms",
                    later.id,
                    later.front,
                    earlier.id,
                    earlier.front,
                    (earlier.to.min(later.to) - later.from) / 1000
                );
                wrong.entry(rule).or_default().push(said);
            }
            // Of one front, with nothing between: a lost one's order went with its clients.
            let earlier = ran[..n].iter().rev().find(|x| x.front == later.front && x.id != later.id);
            let Some(earlier) = earlier else { continue };
            let at = |x: &Execution| sent.get(&(x.id.as_str(), x.front)).copied();
            if let (Some((first, _)), Some((second, starved))) = (at(earlier), at(later)) {
                let first_run = !ran[..n].iter().any(|x| x.id == later.id);
                // A client that had no CPU sent it so much later than it meant to.
                if second + APART + starved < first && first_run {
                    let said =
                        format!("{key}: {} was sent before {}, but ran after it", later.id, earlier.id);
                    wrong.entry("order").or_default().push(said);
                }
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::record::account::offered;
    use crate::record::executions::ran;

    fn found(all: &[Execution], asked: &[Offered], lost: &[(usize, i64)]) -> Vec<&'static str> {
        let mut wrong = Violations::new();
        check(&mut wrong, all, asked, lost);
        wrong.into_keys().collect()
    }

    #[test]
    fn two_fronts_with_one_key_at_once_are_found_and_one_after_the_other_are_not() {
        let first = ran("a", "k", (0, 0), (0, 100));
        let clean = [first.clone(), ran("b", "k", (1, 1), (100, 200)), ran("c", "l", (1, 1), (50, 80))];
        assert!(found(&clean, &[], &[]).is_empty());
        let both = [first.clone(), ran("b", "k", (1, 1), (99, 200))];
        assert_eq!(found(&both, &[], &[]), ["order"]);
        assert_eq!(found(&both, &[], &[(0, 50)]), ["promise_lost"]);
        // Lost before it began anything, or after: no excuse.
        assert_eq!(found(&both, &[], &[(0, 150)]), ["order"]);
        // A third that runs into the first, past one that has ended.
        let far = [ran("a", "k", (0, 0), (0, 900)), ran("b", "k", (1, 1), (950, 960))];
        assert!(found(&far, &[], &[]).is_empty());
        let long = [
            ran("a", "k", (0, 0), (0, 900)),
            ran("b", "l", (1, 1), (1, 2)),
            ran("c", "k", (1, 1), (800, 810)),
        ];
        assert_eq!(found(&long, &[], &[]), ["order"]);
    }

    #[test]
    fn what_one_front_took_in_order_runs_in_order() {
        let all = [ran("b", "k", (0, 0), (300_000, 400_000)), ran("a", "k", (0, 0), (500_000, 600_000))];
        let asked = [offered("a", 0, 0), offered("b", 0, 200_000)];
        assert_eq!(found(&all, &asked, &[]), ["order"]);
        let elsewhere = [offered("a", 1, 0), offered("b", 0, 200_000)];
        assert!(found(&all, &elsewhere, &[]).is_empty());
    }
}
