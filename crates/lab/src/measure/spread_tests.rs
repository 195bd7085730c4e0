//! Unit tests of the `spread` module.

use super::*;

#[test]
fn a_spread_has_the_median_and_the_range_and_is_nan_without_values() {
    assert_eq!(spread(&mut [3.0, 1.0, 9.0]).to_string(), "3 (1 to 9)");
    assert!(spread(&mut []).median.is_nan());
}
