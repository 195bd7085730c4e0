//! Unit tests of the `unpromised` module.

use super::*;
use crate::record::account::offered;
use crate::record::cuts::Partition;
use crate::record::executions::ran;

#[test]
fn a_keyed_start_on_a_minority_side_is_reported_and_a_plain_one_is_not() {
    let cut = Partition {
        from: 1_000_000,
        to: 9_000_000,
        groups: vec![1, 0, 0],
    };
    let connectivity = Connectivity {
        fronts: 3,
        cuts: vec![cut],
        ..Connectivity::default()
    };
    let found = |key: &str, front: usize, sent: i64| {
        let mut own = offered("a", front, sent);
        own.asked.key = key.into();
        let mut wrong = Violations::new();
        let began = sent + 10_000;
        check(
            &mut wrong,
            &[ran("a", key, (0, front), (began, began + 5))],
            (&[own], &Starved::default()),
            (&connectivity, 2),
        );
        !wrong.is_empty()
    };
    assert!(found("k", 0, 2_000_000) && !found("", 0, 2_000_000));
    assert!(!found("k", 1, 2_000_000) && !found("k", 0, 500_000));
    // Accepted just before the partition: its ledger entry may have been replicated by then.
    assert!(!found("k", 0, 995_000));
}
