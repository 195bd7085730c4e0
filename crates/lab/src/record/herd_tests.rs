//! Unit tests of the `herd` module.

use super::*;

#[test]
fn the_maximum_per_second_does_not_depend_on_second_boundaries() {
    assert_eq!(max_in_a_second(vec![]), 0);
    assert_eq!(
        max_in_a_second(vec![0, 900_000, 1_100_000, 1_800_000, 2_500_000]),
        3
    );
    assert_eq!(max_in_a_second(vec![0, SECOND]), 1);
}
