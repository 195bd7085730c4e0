//! Unit tests of the `shedding` module.

use super::{correlation, ranks};

#[test]
fn the_order_that_fronts_shed_in_is_held_against_the_fleets() {
    assert_eq!(ranks(&[0.5, 0.1, 0.5, 0.9]), [1.5, 0.0, 1.5, 3.0]);
    let (one, same, turned) = (
        ranks(&[0.1, 0.2, 0.3]),
        ranks(&[1.0, 5.0, 9.0]),
        ranks(&[3.0, 2.0, 1.0]),
    );
    assert!((correlation(&one, &same) - 1.0).abs() < 1e-9);
    assert!((correlation(&one, &turned) + 1.0).abs() < 1e-9);
}
