//! Unit tests of the `completion` module.

use hallmux::interface::RejectReason;

use crate::test_support::{ask, dispatcher, listing, sent};
use crate::{Command, Ending, ListScope, Mode, RejectCause};

#[test]
fn only_endings_that_prove_it_let_a_non_idempotent_statement_go_again() {
    for (ending, again) in [
        (Ending::Rejected, true),
        (Ending::Stale, true),
        (Ending::ConnectionRefused, true),
        (Ending::ConnectTimeout, true),
        (Ending::NoDescriptor, true),
        (Ending::Withdrawn, true),
        (Ending::HalfWritten, true),
        (Ending::ResetWhileConnecting, true),
        (Ending::EngineFailed, false),
        (Ending::PageLost, false),
        (Ending::Reset, false),
        (Ending::Closed, false),
        (Ending::Unreadable, false),
        (Ending::GivenUp, false),
    ] {
        let mut d = dispatcher();
        d.update_engines(
            ListScope::Full,
            &[
                listing("a", Mode::Ready, None),
                listing("b", Mode::Ready, None),
            ],
        );
        let ticket = d.submit(1_000_000, &ask("pay", None)).unwrap();
        assert_eq!(sent(&d.tick(1_000_000)), [(ticket, 0)]);
        assert!(!d.execution_ended(1_010_000, ticket, 0, ending, None));
        let mut next = d.tick(1_010_000);
        // An engine that could not be reached rests for a while.
        next.extend(d.tick(2_200_000));
        assert_eq!(sent(&next) == [(ticket, 1)], again, "{ending:?}: {next:?}");
        let cause = RejectCause::Scheduler(RejectReason::NoSafeEngine);
        assert_eq!(
            next.contains(&Command::Abort { ticket, cause }),
            !again,
            "{ending:?}: {next:?}"
        );
    }
}

#[test]
fn what_ends_for_want_of_descriptors_or_by_a_new_connection_is_not_held_against_the_engine() {
    for (ending, goes_on) in [
        (Ending::NoDescriptor, true),
        (Ending::ResetWhileConnecting, true),
        (Ending::ConnectionRefused, false),
    ] {
        let mut d = dispatcher();
        d.update_engines(ListScope::Full, &[listing("a", Mode::Ready, None)]);
        let ticket = d.submit(0, &ask("lookup", None)).unwrap();
        d.tick(0);
        assert!(!d.execution_ended(1_000, ticket, 0, ending, None));
        assert_eq!(
            sent(&d.tick(1_000)),
            if goes_on { vec![(ticket, 1)] } else { vec![] },
            "{ending:?}"
        );
    }
}

#[test]
fn the_first_answer_counts_and_nothing_follows_it() {
    let mut d = dispatcher();
    d.update_engines(ListScope::Full, &[listing("a", Mode::Ready, None)]);
    let ticket = d.submit(0, &ask("lookup", None)).unwrap();
    d.tick(0);
    assert!(d.execution_ended(5_000, ticket, 0, Ending::Answered, None));
    assert!(!d.execution_ended(5_000, ticket, 0, Ending::Answered, None));
    assert_eq!((d.tick(5_000), d.statements_held()), (vec![], 0));
    let other = d.submit(6_000, &ask("lookup", None)).unwrap();
    d.tick(6_000);
    d.client_left(7_000, other);
    let stop = Command::Cancel {
        ticket: other,
        execution: 0,
        ending: Ending::GivenUp,
    };
    assert_eq!(d.tick(7_000), [stop]);
    assert!(!d.execution_ended(7_000, other, 0, Ending::Answered, None));
    assert_eq!((d.tick(7_000), d.statements_held()), (vec![], 0));
}

#[test]
fn nothing_is_kept_of_statements_keys_and_engines_that_are_over() {
    let mut d = dispatcher();
    let mut now = 0;
    for i in 0..3_000 {
        now += 100_000;
        let (id, key) = (format!("e{i}"), format!("k{i}"));
        d.update_engines(
            ListScope::Changes,
            &[listing(&id, Mode::Ready, Some(now - 60_000_000))],
        );
        let ticket = d.submit(now, &ask("load", Some(&key))).unwrap();
        assert_eq!(sent(&d.tick(now)), [(ticket, 0)]);
        d.execution_ended(now + 10_000, ticket, 0, Ending::Answered, None);
        d.update_engines(
            ListScope::Changes,
            &[listing(&id, Mode::Gone, Some(now - 60_000_000))],
        );
        d.tick(now + 10_000);
    }
    let [keys, free_ids, pauses] = d.order_keys.retained_counts();
    let kept = (
        d.statements_held(),
        d.deadlines.len(),
        keys,
        free_ids,
        pauses,
    );
    assert!(
        kept.0 == 0 && kept.1 == 0 && keys <= 2 && free_ids <= 2 && pauses <= 2,
        "{kept:?}"
    );
    assert_eq!(d.engines.len(), 1);
}

#[test]
fn a_key_keeps_its_rest_when_its_statements_are_over() {
    let mut d = dispatcher();
    d.update_engines(ListScope::Full, &[listing("a", Mode::Ready, None)]);
    let first = d.submit(0, &ask("load", Some("k"))).unwrap();
    d.tick(0);
    d.client_left(1_000, first);
    d.tick(1_000);
    d.execution_ended(1_000, first, 0, Ending::GivenUp, None);
    d.tick(1_000);
    let second = d.submit(2_000, &ask("load", Some("k"))).unwrap();
    assert_eq!(sent(&d.tick(2_000)), []);
    assert_eq!(sent(&d.tick(50_000)), []);
    let at = d.next_tick();
    assert_eq!(sent(&d.tick(at)), [(second, 0)]);
}
