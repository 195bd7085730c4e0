//! Unit tests of the `observations` module.

use crate::engine_stats::{MIN_SILENCE, RECOVERY_REPORTED_FOR, SILENCE_REPORTED_FOR};
use crate::test_support::{dispatcher, listing, request};
use crate::{Ending, ListScope, Mode};

#[test]
fn silence_is_reported_after_its_statement_is_cancelled_and_so_is_the_recovery() {
    let mut dispatcher = dispatcher();
    dispatcher.update_engines(ListScope::Full, &[listing("a", Mode::Ready, None)]);
    let ticket = dispatcher.submit(0, &request("lookup", None)).unwrap();
    dispatcher.tick(0);
    assert!(dispatcher.observations(900_000).is_empty());
    dispatcher.execution_ended(1_400_000, ticket, 0, Ending::GivenUp, None);
    let silences: Vec<_> = dispatcher
        .observations(1_500_000)
        .iter()
        .map(|report| (report.id.to_string(), report.silent))
        .collect();
    assert_eq!(silences, [("a".to_string(), 1_400_000)]);
    assert!(dispatcher
        .observations(1_400_000 + SILENCE_REPORTED_FOR)
        .is_empty());
    // The engine answers a probe: the recovery is reported for a while, then nothing is.
    dispatcher.probe_ended(5_000_000, 0, true, None);
    let recovered: Vec<_> = dispatcher
        .observations(5_100_000)
        .iter()
        .map(|report| (report.silent, report.answered >= 1.0))
        .collect();
    assert_eq!(recovered, [(0, true)]);
    assert!(dispatcher
        .observations(5_000_000 + RECOVERY_REPORTED_FOR)
        .is_empty());
}

#[test]
fn a_cancellation_before_min_silence_is_not_reported() {
    let mut dispatcher = dispatcher();
    dispatcher.update_engines(ListScope::Full, &[listing("a", Mode::Ready, None)]);
    let ticket = dispatcher.submit(0, &request("lookup", None)).unwrap();
    dispatcher.tick(0);
    dispatcher.execution_ended(MIN_SILENCE - 1, ticket, 0, Ending::GivenUp, None);
    assert!(dispatcher.observations(MIN_SILENCE + 500_000).is_empty());
}
