//! Unit tests of the `machine_clock` module.

use super::{MachineClock, MIN_STEP};

const HOUR: i64 = 3_600_000_000;

#[test]
fn step_is_reported_once_in_either_direction_and_small_drift_is_not() {
    let mut clock = MachineClock::default();
    assert_eq!(clock.update_wall_lead(MIN_STEP - 1), None);
    assert_eq!(clock.wall_lead(), 0);
    assert_eq!(clock.update_wall_lead(HOUR), Some(HOUR));
    assert_eq!(clock.update_wall_lead(HOUR + 1), None);
    assert_eq!(clock.wall_lead(), HOUR);
    assert_eq!(clock.update_wall_lead(-HOUR), Some(-2 * HOUR));
    assert_eq!(clock.wall_lead(), -HOUR);
}
