//! Unit tests of the `budget` module.

use super::*;
use crate::record::account::offered;
use crate::record::executions::ran;

const BUDGET: Budget = Budget {
    spare: 1.0,
    share: 0.1,
    window: 10_000_000,
};

/// Returns whether `count` retries of as many statements, one every 100 ms, are reported as a
/// violation.
fn is_found(count: i64, starts: &[(usize, i64)]) -> bool {
    let ids: Vec<String> = (0..count).map(|n| format!("s{n}")).collect();
    let asked: Vec<Offered> = ids
        .iter()
        .zip(0..)
        .map(|(id, n): (_, i64)| offered(id, 0, n * 100_000))
        .collect();
    let mut all = Vec::new();
    for (id, n) in ids.iter().zip(0..) {
        let from = n * 100_000 + 1_000;
        all.push(ran(id, "", (0, 0), (from, from + 10_000)));
        all.push(ran(id, "", (1, 0), (from + 20_000, from + 30_000)));
    }
    let mut wrong = Violations::new();
    check(&mut wrong, &all, &asked, BUDGET, starts);
    wrong.contains_key("budget")
}

#[test]
fn retries_beyond_the_budget_of_a_window_are_reported() {
    // Two of two statements are within 1.15 * (1 + 0.2) + 1, three of three are not.
    assert!(!is_found(2, &[]));
    assert!(is_found(3, &[]));
}

#[test]
fn a_restart_renews_the_retry_budget_of_that_front_only() {
    assert!(!is_found(4, &[(0, 180_000)]));
    assert!(is_found(4, &[(1, 180_000)]));
}
