//! Unit tests of the `wall_clock` module.

use std::time::Instant;

use super::{StepDetector, LEAST_STEP};

const HOUR: i64 = 3_600_000_000;

#[test]
fn a_step_is_found_once_in_either_direction_and_slewing_is_none() {
    let mut detector = StepDetector { started: Instant::now(), lead: 1_000 };
    assert_eq!(detector.step_between(500, 1_500), None);
    assert_eq!(detector.step_between(1_000_000, 1_001_000 + HOUR), Some(HOUR));
    assert_eq!(detector.step_between(2_000_000, 2_001_000 + HOUR), None);
    assert_eq!(detector.step_between(3_000_000, 3_001_000), Some(-HOUR));
    assert_eq!(detector.step_between(4_000_000, 4_000_999 + LEAST_STEP), None);
}
