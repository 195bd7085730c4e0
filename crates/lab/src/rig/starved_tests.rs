//! Unit tests of the `starved` module.

use super::*;

#[test]
fn what_was_waited_counts_in_its_span_and_much_of_it_marks_the_seconds_around() {
    let seen = Starved(vec![
        (Some(0), (2_000_000, 2_020_000), 15_000),
        (Some(0), (5_100_000, 5_300_000), 190_000),
        (Some(0), (5_300_000, 5_320_000), 15_000),
        (None, (8_000_000, 8_100_000), 90_000),
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

#[test]
fn a_thread_that_has_to_wait_for_others_is_seen_where_the_kernel_keeps_account() {
    let Some(before) = waited("thread-self") else {
        return;
    };
    assert!(own_wait() >= before && waited("no such thread").is_none());
}
