//! Unit tests of the `starved` module.

use super::*;

fn span(front: Option<usize>, from: i64, to: i64, waited: i64) -> StarvedSpan {
    StarvedSpan {
        front,
        from,
        to,
        waited,
    }
}

#[test]
fn waits_count_in_their_span_and_long_ones_mark_the_adjacent_seconds() {
    let seen = Starved(vec![
        span(Some(0), 2_000_000, 2_020_000, 15_000),
        span(Some(0), 5_100_000, 5_300_000, 190_000),
        span(Some(0), 5_300_000, 5_320_000, 15_000),
        span(None, 8_000_000, 8_100_000, 90_000),
    ]);
    assert_eq!(seen.front(0, (0, 3_000_000)), 15_000);
    assert_eq!(
        (
            seen.front(0, (5_310_000, 6_000_000)),
            seen.front(1, (0, 9_000_000))
        ),
        (15_000, 0)
    );
    assert_eq!(seen.rig((8_050_000, 8_060_000)), 90_000);
    assert_eq!(seen.spans(), [(4_000_000, 6_000_000)]);
}
