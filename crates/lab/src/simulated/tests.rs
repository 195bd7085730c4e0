//! Simulated days with a rule that promises rest on taken out: the checks must find it missing.

use super::{run_with, Spoil};
use crate::prove::promises::{draw, Way};

const SEEDS: [u64; 3] = [1, 2, 3];

/// How many of some drawn days break a rule.
fn broken(copies: usize, spoil: Spoil) -> usize {
    let day = |seed: &u64| {
        let way = Way { small: true, simulated: true, fronts: Some(5), copies, spoil };
        let mut scenario = draw(*seed, way);
        // The first loss is of the front that has most to lose by now.
        scenario.load.per_second = 40;
        let run = run_with(&scenario, *seed, spoil).unwrap();
        let promises = ["order", "promise_lost", "second_run", "without_promise"];
        promises.iter().any(|rule| run.violations.contains_key(rule))
    };
    SEEDS.iter().filter(|seed| day(seed)).count()
}

#[test]
fn drawn_days_break_a_rule_only_where_one_is_taken_out() {
    let whole = Spoil::default();
    assert_eq!(broken(3, whole), 0);
    assert_eq!(broken(0, whole), SEEDS.len(), "no ledger at all");
    let acts_first = Spoil { acts_first: true, ..whole };
    assert_eq!(broken(3, acts_first), SEEDS.len(), "the act before its promise");
}
