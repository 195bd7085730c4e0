//! Unit tests of the `engine_starts` module.

use super::{ClockReading, EngineStarts};

const SECOND: i64 = 1_000_000;
const HOUR: i64 = 3_600 * SECOND;
const NOW: i64 = 1_800_000_000 * SECOND;

fn clocks(wall_lead: i64) -> ClockReading {
    ClockReading {
        now: NOW,
        wall_lead,
    }
}

/// The resulting age of an engine whose reported start is `reported_age` ago on the front's clock.
fn age(reported_age: i64, clocks: ClockReading) -> i64 {
    let reported_ms = ((NOW - reported_age) / 1000) as f64;
    NOW - EngineStarts::default()
        .start_time("a", reported_ms, clocks)
        .unwrap()
}

#[test]
fn start_keeps_age_when_wall_clock_is_stepped_later() {
    for step in [HOUR, -HOUR, 20 * SECOND, -20 * SECOND] {
        assert_eq!(age(3 * SECOND, clocks(step)), 3 * SECOND, "{step}");
    }
}

#[test]
fn start_age_is_correct_once_initially_wrong_wall_clock_is_corrected() {
    // The front's time keeps the initial error of the wall clock; the size of the correcting step reveals that error.
    for wrong in [HOUR, -HOUR, 20 * SECOND, -20 * SECOND] {
        assert_eq!(
            age(3 * SECOND + wrong, clocks(-wrong)),
            3 * SECOND,
            "{wrong}"
        );
    }
}

#[test]
fn start_is_never_in_the_future() {
    assert_eq!(age(-HOUR, clocks(0)), 0);
    assert_eq!(age(-HOUR, clocks(-2 * HOUR)), 0);
}

#[test]
fn start_time_is_kept_while_listed_and_replaced_for_new_start() {
    let mut starts = EngineStarts::default();
    let reported_ms = ((NOW - SECOND) / 1000) as f64;
    let first = starts.start_time("a", reported_ms, clocks(0));
    assert_eq!(
        starts.start_time("a", reported_ms, clocks(-SECOND / 2)),
        first
    );
    assert_ne!(
        starts.start_time("a", reported_ms + 500.0, clocks(0)),
        first
    );
    assert_eq!(starts.start_time("a", 0.0, clocks(0)), None);
}

#[test]
fn starts_of_unlisted_engines_are_forgotten() {
    let mut starts = EngineStarts::default();
    ["a", "b", "c"]
        .iter()
        .for_each(|id| _ = starts.start_time(id, 1.0, clocks(0)));
    starts.retain_listed(|id| id != "a");
    starts.remove("b");
    assert_eq!(starts.starts.keys().collect::<Vec<_>>(), ["c"]);
}
