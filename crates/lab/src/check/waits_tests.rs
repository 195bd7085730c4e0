//! Unit tests of the `waits` module.

use super::*;

#[test]
fn waits_count_only_within_the_span_and_up_to_a_second() {
    let waited = ProcessorWaits {
        samples: vec![(0, 0), (10, 0), (20, 300), (30, 300), (40, 2_000_300)],
    };
    assert_eq!((waited.between(0, 10), waited.between(5, 15)), (0, 300));
    assert_eq!(
        (waited.between(20, 30), waited.between(21, 99)),
        (0, MAX_WAIT_US)
    );
    assert_eq!(ProcessorWaits::default().between(0, 99), 0);
}
