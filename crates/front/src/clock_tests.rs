//! Unit tests of the `clock` module.

use super::{Clock, LATENESS_TOLERANCE, MAX_READ_AGE};
use std::time::Duration;

/// The unread time that a clock reports after a decision, a sleep and a wake-up at these times.
fn unread_time(decided_at: i64, slept_at: i64, sleep_until: i64, woke_at: i64) -> i64 {
    let mut clock = Clock::default();
    clock.set(decided_at);
    clock.prepare_sleep(decided_at);
    clock.start_iteration();
    clock.mark_decided();
    clock.set(slept_at);
    clock.prepare_sleep(sleep_until);
    clock.set(woke_at);
    clock.start_iteration();
    clock.unread_time()
}

#[test]
fn on_time_iteration_reports_no_unread_time() {
    assert_eq!(unread_time(1_000_000, 1_001_000, 1_026_000, 1_010_000), 0);
    assert_eq!(unread_time(1_000_000, 1_001_000, 1_026_000, 1_060_000), 0);
}

#[test]
fn late_iteration_counts_unread_time_from_last_decision() {
    assert_eq!(
        unread_time(1_000_000, 1_001_000, 1_026_000, 4_000_000),
        3_000_000
    );
    assert_eq!(
        unread_time(1_000_000, 3_000_000, 3_025_000, 3_000_500),
        2_000_500
    );
}

#[test]
fn iteration_after_late_one_runs_at_once_and_keeps_unread_time() {
    let mut clock = Clock::default();
    clock.set(1_000_000);
    clock.prepare_sleep(1_000_000);
    clock.start_iteration();
    clock.mark_decided();
    clock.prepare_sleep(1_025_000);
    // The front is stopped between reading its connections and its work: the next read finds the input since then.
    clock.set(2_600_000);
    clock.start_iteration();
    assert_eq!(clock.unread_time(), 1_600_000);
    clock.mark_decided();
    assert_eq!(clock.prepare_sleep(2_625_000), Duration::ZERO);
    clock.set(2_600_200);
    clock.start_iteration();
    assert_eq!(clock.unread_time(), 1_600_200);
    clock.mark_decided();
    clock.prepare_sleep(2_625_000);
    clock.set(2_600_400);
    clock.start_iteration();
    assert_eq!(clock.unread_time(), 0);
    clock.mark_decided();
    assert_eq!(clock.prepare_sleep(2_625_400), Duration::from_millis(25));
}

#[test]
fn input_arriving_during_stalled_iteration_counts_from_iteration_start() {
    let mut clock = Clock::default();
    clock.set(1_000_000);
    clock.prepare_sleep(1_025_000);
    clock.set(1_010_000);
    clock.start_iteration();
    clock.set(2_600_000); // stopped during the iteration
    clock.mark_decided();
    clock.prepare_sleep(2_625_000);
    clock.set(2_600_200);
    clock.start_iteration();
    assert_eq!(clock.unread_time(), 1_590_200);
}

#[test]
fn read_is_stale_after_long_or_late_iteration() {
    let mut clock = Clock::default();
    clock.set(1_000_000);
    clock.prepare_sleep(1_025_000);
    clock.set(1_010_000);
    clock.start_iteration();
    clock.set(1_010_000 + MAX_READ_AGE);
    assert!(!clock.is_stale());
    clock.set(1_010_001 + MAX_READ_AGE);
    assert!(clock.is_stale());
    clock.mark_decided();
    clock.prepare_sleep(1_100_000);
    // The read of the next iteration is fresh.
    clock.start_iteration();
    assert!(!clock.is_stale());
    clock.mark_decided();
    clock.prepare_sleep(1_100_000);
    // The read of a late iteration is stale even if it is quick, as input that arrived meanwhile may not be read yet.
    clock.set(1_100_001 + LATENESS_TOLERANCE);
    clock.start_iteration();
    assert!(clock.is_stale());
}
