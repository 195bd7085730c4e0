//! Unit tests of the `observations` module.

use crate::engine_stats::{MIN_SILENCE, RECOVERY_REPORTED_FOR, SILENCE_REPORTED_FOR};
use crate::test_support::{ask, dispatcher, listing};
use crate::{Ending, ListScope, Mode};

#[test]
fn silence_is_told_beyond_the_statement_given_up_for_it_and_what_answers_again_is_told_too() {
    let mut d = dispatcher();
    d.update_engines(ListScope::Full, &[listing("a", Mode::Ready, None)]);
    let ticket = d.submit(0, &ask("lookup", None)).unwrap();
    d.tick(0);
    assert!(d.observations(900_000).is_empty());
    d.execution_ended(1_400_000, ticket, 0, Ending::GivenUp, None);
    let told: Vec<_> = d
        .observations(1_500_000)
        .iter()
        .map(|s| (s.id.to_string(), s.silent))
        .collect();
    assert_eq!(told, [("a".to_string(), 1_400_000)]);
    assert!(d.observations(1_400_000 + SILENCE_REPORTED_FOR).is_empty());
    // It answers a probe: for a while that is told, then nothing.
    d.probe_ended(5_000_000, 0, true, None);
    let well: Vec<_> = d
        .observations(5_100_000)
        .iter()
        .map(|s| (s.silent, s.answered >= 1.0))
        .collect();
    assert_eq!(well, [(0, true)]);
    assert!(d.observations(5_000_000 + RECOVERY_REPORTED_FOR).is_empty());
}

#[test]
fn an_execution_given_up_before_its_engine_is_silent_for_long_says_nothing_of_it() {
    let mut d = dispatcher();
    d.update_engines(ListScope::Full, &[listing("a", Mode::Ready, None)]);
    let ticket = d.submit(0, &ask("lookup", None)).unwrap();
    d.tick(0);
    d.execution_ended(MIN_SILENCE - 1, ticket, 0, Ending::GivenUp, None);
    assert!(d.observations(MIN_SILENCE + 500_000).is_empty());
}
