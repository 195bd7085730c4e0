//! Tests of the estimated time that a statement has waited.

use super::{ArrivalTime, ClientRetries};

const MS: i64 = 1_000;

fn with_left(time_left: i64) -> ArrivalTime {
    ArrivalTime {
        time_left,
        statement_timeout: 5_000 * MS,
        stall_duration: None,
    }
}

#[test]
fn a_client_retry_counts_from_its_first_attempt_if_one_was_shed() {
    let mut retries = ClientRetries::new(1);
    assert_eq!(retries.time_waited(0, &with_left(5_000 * MS)), 0);
    assert_eq!(
        retries.time_waited(0, &with_left(3_000 * MS)),
        0,
        "no statement was shed"
    );
    retries.record_shed_first_attempt(0);
    let waited = retries.time_waited(0, &with_left(3_000 * MS));
    assert_eq!(waited, 2_000 * MS);
    let waited = retries.time_waited(0, &with_left(3_000 * MS));
    assert_eq!(waited, 0, "only as many retries as shed statements");
}

#[test]
fn a_statement_within_the_tolerance_is_a_first_attempt() {
    let mut retries = ClientRetries::new(1);
    retries.time_waited(0, &with_left(5_000 * MS));
    for _ in 0..9 {
        retries.record_shed_first_attempt(0);
    }
    assert_eq!(retries.time_waited(0, &with_left(4_980 * MS)), 0);
    assert_eq!(retries.time_waited(0, &with_left(4_979 * MS)), 21 * MS);
}

#[test]
fn after_a_stall_the_missing_time_counts_as_time_waited() {
    let mut retries = ClientRetries::new(1);
    retries.time_waited(0, &with_left(5_000 * MS));
    let stalled = |time_left, stall| ArrivalTime {
        stall_duration: Some(stall),
        ..with_left(time_left)
    };
    let waited = retries.time_waited(0, &stalled(4_600 * MS, 500 * MS));
    assert_eq!(waited, 400 * MS);
    let waited = retries.time_waited(0, &stalled(4_400 * MS, 500 * MS));
    assert_eq!(waited, 0, "more time is missing than the stall lasted");
}
