//! Unit tests of the `stood` module.

use super::*;

#[test]
fn only_what_was_waited_meanwhile_counts_and_no_more_than_a_second() {
    let stood = Stood { looks: vec![(0, 0), (10, 0), (20, 300), (30, 300), (40, 2_000_300)] };
    assert_eq!((stood.between(0, 10), stood.between(5, 15)), (0, 300));
    assert_eq!((stood.between(20, 30), stood.between(21, 99)), (0, MOST));
    assert_eq!(Stood::default().between(0, 99), 0);
}
