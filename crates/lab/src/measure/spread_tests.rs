//! Unit tests of the `spread` module.

use super::*;

#[test]
fn the_middle_of_the_rounds_counts() {
    assert_eq!(spread(&mut [3.0, 1.0, 9.0]).to_string(), "3 (1 to 9)");
    assert!(spread(&mut []).median.is_nan());
}
