//! Unit tests of the `clock` module.

use super::{Clock, FRESH_FOR, ON_TIME};
use std::time::Duration;

fn waited(decided: i64, sleeps: i64, until: i64, wakes: i64) -> i64 {
    let mut clock = Clock::default();
    clock.set(decided);
    clock.sleep(decided);
    clock.wake();
    clock.decide();
    clock.set(sleeps);
    clock.sleep(until);
    clock.set(wakes);
    clock.wake();
    clock.waited()
}

#[test]
fn what_is_found_on_time_has_not_waited() {
    assert_eq!(waited(1_000_000, 1_001_000, 1_026_000, 1_010_000), 0);
    assert_eq!(waited(1_000_000, 1_001_000, 1_026_000, 1_060_000), 0);
}

#[test]
fn what_is_found_late_may_have_waited_since_the_last_decision() {
    assert_eq!(
        waited(1_000_000, 1_001_000, 1_026_000, 4_000_000),
        3_000_000
    );
    assert_eq!(
        waited(1_000_000, 3_000_000, 3_025_000, 3_000_500),
        2_000_500
    );
}

#[test]
fn what_a_late_iteration_has_not_seen_is_as_old_and_found_at_once() {
    let mut clock = Clock::default();
    clock.set(1_000_000);
    clock.sleep(1_000_000);
    clock.wake();
    clock.decide();
    clock.sleep(1_025_000);
    // Stopped between its look at the connections and its work: the next look finds what came meanwhile.
    clock.set(2_600_000);
    clock.wake();
    assert_eq!(clock.waited(), 1_600_000);
    clock.decide();
    assert_eq!(clock.sleep(2_625_000), Duration::ZERO);
    clock.set(2_600_200);
    clock.wake();
    assert_eq!(clock.waited(), 1_600_200);
    clock.decide();
    clock.sleep(2_625_000);
    clock.set(2_600_400);
    clock.wake();
    assert_eq!(clock.waited(), 0);
    clock.decide();
    assert_eq!(clock.sleep(2_625_400), Duration::from_millis(25));
}

#[test]
fn what_came_while_an_iteration_was_at_work_is_as_old_as_the_iteration() {
    let mut clock = Clock::default();
    clock.set(1_000_000);
    clock.sleep(1_025_000);
    clock.set(1_010_000);
    clock.wake();
    clock.set(2_600_000); // stopped at work
    clock.decide();
    clock.sleep(2_625_000);
    clock.set(2_600_200);
    clock.wake();
    assert_eq!(clock.waited(), 1_590_200);
}

#[test]
fn a_read_of_the_connections_is_too_old_to_send_by_once_its_iteration_took_long_or_began_late() {
    let mut clock = Clock::default();
    clock.set(1_000_000);
    clock.sleep(1_025_000);
    clock.set(1_010_000);
    clock.wake();
    clock.set(1_010_000 + FRESH_FOR);
    assert!(!clock.is_stale());
    clock.set(1_010_001 + FRESH_FOR);
    assert!(clock.is_stale());
    clock.decide();
    clock.sleep(1_100_000);
    // The next read is fresh.
    clock.wake();
    assert!(!clock.is_stale());
    clock.decide();
    clock.sleep(1_100_000);
    // A late one is not, however quick: what came meanwhile may not be found yet.
    clock.set(1_100_001 + ON_TIME);
    clock.wake();
    assert!(clock.is_stale());
}
