//! Tests of the work that a warming engine is sent.

use crate::interface::Agreement;

use super::{EarlierWork, SlowStart, SlowStartOutcome, SlowStartRequest};

const SECOND: i64 = 1_000_000;

/// A state with one engine that starts at time 0 with half of its capacity and is warm after 10 s.
/// With one front and 8 cores its burst is 0.1 s of its capacity.
fn warming(fronts: f64) -> SlowStart {
    let mut slow_start = SlowStart::new(
        &Agreement {
            initial_capacity_share: 0.5,
            warm_up_time: 10 * SECOND,
            overload_factor: 1.5,
            overload_window: SECOND,
            ..Agreement::default()
        },
        0.0,
    );
    slow_start.resize(1);
    slow_start.start(0, 0, &request(0.0, fronts, 0), EarlierWork::Known);
    slow_start
}

fn request(work: f64, fronts: f64, now: i64) -> SlowStartRequest {
    SlowStartRequest {
        engine: 0,
        cores: 8.0,
        work,
        fronts,
        now,
    }
}

#[test]
fn capacity_grows_linearly_until_the_engine_is_warm() {
    let slow_start = warming(1.0);
    assert_eq!(slow_start.capacity_share(0, 0), 0.5);
    assert_eq!(slow_start.capacity_share(0, 5 * SECOND), 0.75);
    assert_eq!(slow_start.capacity_share(0, 20 * SECOND), 1.0);
}

#[test]
fn a_warm_engine_may_be_sent_anything() {
    let slow_start = warming(1.0);
    let outcome = slow_start.check(&request(1e12, 1.0, 10 * SECOND));
    assert_eq!(outcome, SlowStartOutcome::Warm);
}

#[test]
fn sent_work_counts_as_outstanding_until_the_engine_completes_it() {
    let mut slow_start = warming(1.0);
    // The burst is 0.1 s of the work of four cores: 400,000 us.
    let first = slow_start.check(&request(300_000.0, 1.0, 0));
    let outstanding_work = 300_000.0;
    assert_eq!(first, SlowStartOutcome::Allowed { outstanding_work });
    slow_start.record_sent(0, first, 0);
    let second = request(300_000.0, 1.0, 0);
    assert_eq!(slow_start.check(&second), SlowStartOutcome::Denied);
    let later = slow_start.check(&request(300_000.0, 1.0, SECOND / 10));
    assert_ne!(later, SlowStartOutcome::Denied);
}

#[test]
fn a_front_that_just_started_assumes_its_budget_is_used_up() {
    let mut slow_start = warming(1.0);
    slow_start.start(0, 0, &request(0.0, 1.0, 0), EarlierWork::Unknown);
    let outcome = slow_start.check(&request(300_000.0, 1.0, 0));
    assert_eq!(outcome, SlowStartOutcome::Denied);
}

#[test]
fn among_many_fronts_a_long_statement_waits_for_its_slot() {
    let slow_start = warming(100.0);
    // This front's part of four cores is 0.04 threads, so slots for a statement of 100,000 us are
    // up to 2.5 s apart.
    let at_start = slow_start.check(&request(100_000.0, 100.0, 0));
    assert_ne!(at_start, SlowStartOutcome::Denied);
    let between = slow_start.check(&request(100_000.0, 100.0, SECOND));
    assert_eq!(between, SlowStartOutcome::Denied);
}
