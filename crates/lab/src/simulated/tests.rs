//! Simulated days with a rule that promises rest on taken out: the checks must find it missing.

use super::{run_with, Spoil};
use crate::prove::deaths;
use crate::prove::promises::{draw, Way};

const SEEDS: [u64; 3] = [1, 2, 3];
const DEATHS_SEED: u64 = 2; // one whose deaths meet promises that are not lasting yet

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

#[test]
fn deaths_with_slow_disks_break_a_rule_only_where_words_leave_before_they_are_lasting() {
    let broken = |spoil: Spoil| {
        let way = Way { simulated: true, small: true, copies: 3, spoil, ..Way::default() };
        let run = run_with(&deaths::draw(DEATHS_SEED, way), DEATHS_SEED, spoil).unwrap();
        run.violations.into_keys().collect::<Vec<_>>()
    };
    assert_eq!(broken(Spoil::default()), Vec::<&str>::new());
    let found = broken(Spoil { sends_first: true, ..Spoil::default() });
    assert!(found.contains(&"order") || found.contains(&"promise_lost"), "{found:?}");
}
