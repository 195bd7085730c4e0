//! Unit tests of the `machine_clock` module.

use super::{MachineClock, LEAST_STEP};

const HOUR: i64 = 3_600_000_000;

#[test]
fn a_step_is_found_once_in_either_direction_and_less_is_none() {
    let mut clock = MachineClock::default();
    assert_eq!(clock.step_to(LEAST_STEP - 1), None);
    assert_eq!(clock.wall_lead(), 0);
    assert_eq!(clock.step_to(HOUR), Some(HOUR));
    assert_eq!(clock.step_to(HOUR + 1), None);
    assert_eq!(clock.wall_lead(), HOUR);
    assert_eq!(clock.step_to(-HOUR), Some(-2 * HOUR));
    assert_eq!(clock.wall_lead(), -HOUR);
}
