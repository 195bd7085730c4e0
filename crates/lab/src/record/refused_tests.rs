//! Unit tests of the `refused` module.

use super::*;
use crate::record::account::offered;
use crate::record::cuts::Partition;

#[test]
fn a_rejection_without_an_excuse_is_reported() {
    let cut = Partition {
        from: 5_000_000,
        to: 9_000_000,
        groups: vec![1, 0, 0],
    };
    let connectivity = Connectivity {
        fronts: 3,
        cuts: vec![cut],
        ..Connectivity::default()
    };
    let terms = Terms {
        majority: 2,
        settle_time: 3_000_000,
        key_retention: 1_000_000,
        tolerated: 0,
    };
    let found = |key: &str, front: usize, sent: i64| {
        let mut own = offered("a", front, sent);
        (own.asked.key, own.asked.outcome) = (key.into(), Outcome::Error("53000".into()));
        let mut wrong = Violations::new();
        check(&mut wrong, &[own], (&connectivity, terms));
        !wrong.is_empty()
    };
    // A statement that needs no ledger entry is rejected at a stopped front, which is excused, and
    // elsewhere without an excuse.
    let stopped = Connectivity {
        fronts: 3,
        unavailable: vec![(0, 5_000_000, 6_000_000)],
        ..Connectivity::default()
    };
    for (front, sent, unexcused) in [
        (0, 5_500_000, false),
        (1, 5_500_000, true),
        (0, 8_000_000, true),
    ] {
        let mut own = offered("a", front, sent);
        own.asked.outcome = Outcome::Error("53000".into());
        let mut wrong = Violations::new();
        check(&mut wrong, &[own], (&stopped, terms));
        assert_eq!(!wrong.is_empty(), unexcused, "{front} {sent}");
    }
    // Two statements of one key at once: either may have had to wait for the other.
    let both: Vec<Offered> = ["a", "b"]
        .map(|id| offered(id, 1, 6_000_000))
        .into_iter()
        .collect();
    let both = both.into_iter().map(|mut own| {
        (own.asked.key, own.asked.outcome) = ("k".into(), Outcome::Error("53000".into()));
        own
    });
    let mut wrong = Violations::new();
    check(
        &mut wrong,
        &both.collect::<Vec<_>>(),
        (&connectivity, terms),
    );
    assert!(wrong.is_empty());
    assert!(found("k", 1, 6_000_000) && found("", 0, 6_000_000) && found("k", 0, 1_000_000));
    assert!(!found("k", 0, 6_000_000) && !found("k", 0, 11_000_000) && found("k", 0, 13_000_000));
}

#[test]
fn a_key_is_retained_only_after_a_statement_that_did_not_complete() {
    let connectivity = Connectivity {
        fronts: 3,
        ..Connectivity::default()
    };
    let terms = Terms {
        majority: 2,
        settle_time: 3_000_000,
        key_retention: 1_000_000,
        tolerated: 0,
    };
    let found = |key: &str, outcome: Outcome, sent: i64| {
        let mut before = offered("before", 0, 6_000_000);
        (
            before.asked.key,
            before.asked.outcome,
            before.asked.answered,
        ) = (key.into(), outcome, 8_000_000);
        let mut own = offered("own", 1, sent);
        (own.asked.key, own.asked.outcome) = ("k".into(), Outcome::Error("53000".into()));
        own.asked.answered = sent + 500_000;
        let mut wrong = Violations::new();
        check(&mut wrong, &[before, own], (&connectivity, terms));
        wrong
            .get("groundless_refusal")
            .is_some_and(|all| all.iter().any(|finding| finding.starts_with("own")))
    };
    let failed = || Outcome::Error("53000".into());
    assert!(!found("k", failed(), 8_500_000) && !found("k", Outcome::Lost, 8_999_999));
    assert!(found("k", failed(), 9_000_000) && found("other", failed(), 8_500_000));
    assert!(found("k", Outcome::Completed { rows: 1 }, 8_500_000));
    assert!(!found("k", Outcome::Completed { rows: 1 }, 7_900_000));
}
