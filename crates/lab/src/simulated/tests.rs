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
fn count_violating_runs(copies: usize, spoil: Mutation) -> usize {
    let day = |seed: &u64| {
        let way = RunOptions {
            small: true,
            simulated: true,
            fronts: Some(5),
            copies,
            mutation: spoil,
        };
        let mut scenario = draw(*seed, way);
        // A higher rate, so that the first front to lose its disk holds many entries by then.
        scenario.load.per_second = 40;
        let run = run_with(&scenario, *seed, spoil).unwrap();
        let ledger_rules = ["order", "promise_lost", "second_run", "without_promise"];
        ledger_rules
            .iter()
            .any(|rule| run.violations.contains_key(rule))
    };
    SEEDS.iter().filter(|seed| day(seed)).count()
}

#[test]
fn drawn_runs_violate_a_rule_only_with_a_mutation() {
    let no_mutation = Mutation::default();
    assert_eq!(count_violating_runs(3, no_mutation), 0);
    assert_eq!(
        count_violating_runs(0, no_mutation),
        SEEDS.len(),
        "fronts without a ledger"
    );
    let skips_barrier = Mutation {
        skips_barrier: true,
        ..no_mutation
    };
    assert_eq!(
        count_violating_runs(3, skips_barrier),
        SEEDS.len(),
        "executions sent before their ledger entry is replicated"
    );
}

/// The rules that the drawn deaths of a seed violate.
fn violations_of_deaths((seed, small): (u64, bool), spoil: Mutation) -> Vec<&'static str> {
    let way = RunOptions {
        simulated: true,
        small,
        copies: 3,
        mutation: spoil,
        ..RunOptions::default()
    };
    let run = run_with(&deaths::draw(seed, way), seed, spoil).unwrap();
    run.violations.into_keys().collect()
}

#[test]
fn drawn_deaths_lose_an_entry_only_with_a_mutation() {
    let no_mutation = Mutation::default();
    for (day, spoil) in [
        (
            SLOW_DISKS,
            Mutation {
                sends_before_sync: true,
                ..no_mutation
            },
        ),
        (
            SECOND_LOSS,
            Mutation {
                reuses_disk_identity: true,
                ..no_mutation
            },
        ),
    ] {
        assert_eq!(violations_of_deaths(day, no_mutation), Vec::<&str>::new());
        let found = violations_of_deaths(day, spoil);
        assert!(
            found.contains(&"order") || found.contains(&"promise_lost"),
            "{spoil:?}: {found:?}"
        );
    }
}
