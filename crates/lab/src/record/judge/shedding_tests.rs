//! Unit tests of the `shedding` module.

use super::{correlation, ranks};

#[test]
fn the_shedding_order_of_a_front_is_correlated_with_the_fleets() {
    assert_eq!(ranks(&[0.5, 0.1, 0.5, 0.9]), [1.5, 0.0, 1.5, 3.0]);
    let (one, same, turned) = (
        ranks(&[0.1, 0.2, 0.3]),
        ranks(&[1.0, 5.0, 9.0]),
        ranks(&[3.0, 2.0, 1.0]),
    );
    assert!((correlation(&one, &same) - 1.0).abs() < 1e-9);
    assert!((correlation(&one, &turned) + 1.0).abs() < 1e-9);
}
