//! Unit tests of the `engine_starts` module.

use super::{EngineStarts, ListMoment};

const SECOND: i64 = 1_000_000;
const HOUR: i64 = 3_600 * SECOND;
const NOW: i64 = 1_800_000_000 * SECOND;

fn moment(wall_lead: i64) -> ListMoment {
    ListMoment {
        now: NOW,
        wall_lead,
    }
}

/// The age of an engine whose start is told as that of so long ago by the front's clock.
fn age(told: i64, moment: ListMoment) -> i64 {
    let told_ms = ((NOW - told) / 1000) as f64;
    NOW - EngineStarts::default()
        .listed("a", told_ms, moment)
        .unwrap()
}

#[test]
fn a_start_keeps_its_age_though_the_wall_clock_is_stepped_afterwards() {
    for step in [HOUR, -HOUR, 20 * SECOND, -20 * SECOND] {
        assert_eq!(age(3 * SECOND, moment(step)), 3 * SECOND, "{step}");
    }
}

#[test]
fn a_start_has_its_age_once_a_wall_clock_that_was_wrong_at_the_fronts_start_is_set_right() {
    // The front's time stays as far off as the wall clock was; the step back to what is right tells how far.
    for wrong in [HOUR, -HOUR, 20 * SECOND, -20 * SECOND] {
        assert_eq!(
            age(3 * SECOND + wrong, moment(-wrong)),
            3 * SECOND,
            "{wrong}"
        );
    }
}

#[test]
fn no_start_is_to_come() {
    assert_eq!(age(-HOUR, moment(0)), 0);
    assert_eq!(age(-HOUR, moment(-2 * HOUR)), 0);
}

#[test]
fn a_start_keeps_its_time_while_its_engine_is_listed_and_another_one_has_its_own() {
    let mut starts = EngineStarts::default();
    let told_ms = ((NOW - SECOND) / 1000) as f64;
    let first = starts.listed("a", told_ms, moment(0));
    assert_eq!(starts.listed("a", told_ms, moment(-SECOND / 2)), first);
    assert_ne!(starts.listed("a", told_ms + 500.0, moment(0)), first);
    assert_eq!(starts.listed("a", 0.0, moment(0)), None);
}

#[test]
fn starts_of_engines_that_are_gone_are_forgotten() {
    let mut starts = EngineStarts::default();
    ["a", "b", "c"]
        .iter()
        .for_each(|id| _ = starts.listed(id, 1.0, moment(0)));
    starts.whole_list(|id| id != "a");
    starts.gone("b");
    assert_eq!(starts.starts.keys().collect::<Vec<_>>(), ["c"]);
}
