//! Unit tests of the `order` module.

use super::*;
use crate::record::account::offered;
use crate::record::executions::ran;

fn found(all: &[Execution], asked: &[Offered], lost: &[(usize, i64)]) -> Vec<&'static str> {
    let mut wrong = Violations::new();
    check(&mut wrong, all, asked, lost);
    wrong.into_keys().collect()
}

#[test]
fn overlapping_executions_of_one_key_on_two_fronts_are_reported() {
    let first = ran("a", "k", (0, 0), (0, 100));
    let clean = [
        first.clone(),
        ran("b", "k", (1, 1), (100, 200)),
        ran("c", "l", (1, 1), (50, 80)),
    ];
    assert!(found(&clean, &[], &[]).is_empty());
    let both = [first.clone(), ran("b", "k", (1, 1), (99, 200))];
    assert_eq!(found(&both, &[], &[]), ["order"]);
    assert_eq!(found(&both, &[], &[(0, 50)]), ["promise_lost"]);
    // Lost before it started anything, or afterwards: no excuse.
    assert_eq!(found(&both, &[], &[(0, 150)]), ["order"]);
    // A third statement that overlaps the first, past one that has ended.
    let far = [
        ran("a", "k", (0, 0), (0, 900)),
        ran("b", "k", (1, 1), (950, 960)),
    ];
    assert!(found(&far, &[], &[]).is_empty());
    let long = [
        ran("a", "k", (0, 0), (0, 900)),
        ran("b", "l", (1, 1), (1, 2)),
        ran("c", "k", (1, 1), (800, 810)),
    ];
    assert_eq!(found(&long, &[], &[]), ["order"]);
}

#[test]
fn statements_of_one_key_and_front_must_run_in_order_of_acceptance() {
    let all = [
        ran("b", "k", (0, 0), (300_000, 400_000)),
        ran("a", "k", (0, 0), (500_000, 600_000)),
    ];
    let asked = [offered("a", 0, 0), offered("b", 0, 200_000)];
    assert_eq!(found(&all, &asked, &[]), ["order"]);
    let elsewhere = [offered("a", 1, 0), offered("b", 0, 200_000)];
    assert!(found(&all, &elsewhere, &[]).is_empty());
}
