//! Unit tests of the `repeats` module.

use super::*;
use crate::record::account::offered;
use crate::record::executions::ran;

fn found(repeat: Repeat, all: bool, second: Execution, lost: &[(usize, i64)]) -> Vec<&'static str> {
    let mut own = offered("a", 0, 0);
    own.asked.repeat = repeat;
    let mut wrong = Violations::new();
    let ran = [ran("a", "", (0, 0), (0, 10)), second];
    check(
        &mut wrong,
        &ran,
        &[own],
        (&[Repeats { window: 1_000, all }], &|engine| engine / 2),
        lost,
    );
    wrong.into_keys().collect()
}

#[test]
fn a_second_run_is_reported_where_it_is_not_allowed() {
    let again = |engine, from| ran("a", "", (engine, 1), (from, from + 5));
    assert!(found(Repeat::Idempotent, true, again(3, 5_000), &[]).is_empty());
    assert_eq!(
        found(Repeat::NonIdempotent, true, again(0, 20), &[]),
        ["second_run"]
    );
    assert_eq!(
        found(Repeat::NonIdempotent, true, again(0, 20), &[(0, 15)]),
        ["promise_lost"]
    );
    assert!(found(Repeat::Deduplicated, true, again(3, 999), &[]).is_empty());
    assert_eq!(
        found(Repeat::Deduplicated, true, again(0, 1_000), &[]),
        ["second_run"]
    );
    assert_eq!(
        found(Repeat::Deduplicated, false, again(2, 20), &[]),
        ["second_run"]
    );
    assert!(found(Repeat::Deduplicated, false, again(1, 20), &[]).is_empty());
}
