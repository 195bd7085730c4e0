//! Simulated runs with a rule that ledger entries depend on removed: the checks must detect it.

use super::{run_with, Mutation};
use crate::prove::deaths;
use crate::prove::promises::{draw, RunOptions};

const SEEDS: [u64; 3] = [1, 2, 3];
/// Seeds of death scenarios, and whether the scenario is small. In the first, a death meets entries
/// that are not durable yet; in the second, an emptied disk that counts as its former self forms a
/// quorum that lacks entries.
const SLOW_DISKS: (u64, bool) = (2, true);
const SECOND_LOSS: (u64, bool) = (5, false);

/// How many of the drawn runs violate a rule.
fn broken(copies: usize, spoil: Mutation) -> usize {
    let day = |seed: &u64| {
        let way = RunOptions {
            small: true,
            simulated: true,
            fronts: Some(5),
            copies,
            spoil,
        };
        let mut scenario = draw(*seed, way);
        // A higher rate, so that the first front to lose its disk holds many entries by then.
        scenario.load.per_second = 40;
        let run = run_with(&scenario, *seed, spoil).unwrap();
        let promises = ["order", "promise_lost", "second_run", "without_promise"];
        promises
            .iter()
            .any(|rule| run.violations.contains_key(rule))
    };
    SEEDS.iter().filter(|seed| day(seed)).count()
}

#[test]
fn drawn_days_break_a_rule_only_where_one_is_taken_out() {
    let whole = Mutation::default();
    assert_eq!(broken(3, whole), 0);
    assert_eq!(broken(0, whole), SEEDS.len(), "no ledger at all");
    let acts_first = Mutation {
        skips_barrier: true,
        ..whole
    };
    assert_eq!(
        broken(3, acts_first),
        SEEDS.len(),
        "the act before its promise"
    );
}

/// The rules that the drawn deaths of a seed violate.
fn broken_by_deaths((seed, small): (u64, bool), spoil: Mutation) -> Vec<&'static str> {
    let way = RunOptions {
        simulated: true,
        small,
        copies: 3,
        spoil,
        ..RunOptions::default()
    };
    let run = run_with(&deaths::draw(seed, way), seed, spoil).unwrap();
    run.violations.into_keys().collect()
}

#[test]
fn drawn_deaths_lose_a_promise_only_where_a_rule_is_taken_out() {
    let whole = Mutation::default();
    for (day, spoil) in [
        (
            SLOW_DISKS,
            Mutation {
                sends_before_sync: true,
                ..whole
            },
        ),
        (
            SECOND_LOSS,
            Mutation {
                reuses_disk_identity: true,
                ..whole
            },
        ),
    ] {
        assert_eq!(broken_by_deaths(day, whole), Vec::<&str>::new());
        let found = broken_by_deaths(day, spoil);
        assert!(
            found.contains(&"order") || found.contains(&"promise_lost"),
            "{spoil:?}: {found:?}"
        );
    }
}
