//! Unit tests of the `completion` module.

use hallmux::interface::RejectReason;

use crate::test_support::{dispatcher, listing, request, sent_executions};
use crate::{Command, Ending, ListScope, Mode, RejectCause};

#[test]
fn a_non_idempotent_statement_is_retried_only_after_endings_that_prove_it_did_not_run() {
    for (ending, retried) in [
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
        let mut dispatcher = dispatcher();
        dispatcher.update_engines(
            ListScope::Full,
            &[
                listing("a", Mode::Ready, None),
                listing("b", Mode::Ready, None),
            ],
        );
        let ticket = dispatcher.submit(1_000_000, &request("pay", None)).unwrap();
        assert_eq!(sent_executions(&dispatcher.tick(1_000_000)), [(ticket, 0)]);
        assert!(!dispatcher.execution_ended(1_010_000, ticket, 0, ending, None));
        let mut next = dispatcher.tick(1_010_000);
        // An unreachable engine gets no statement for a while.
        next.extend(dispatcher.tick(2_200_000));
        assert_eq!(
            sent_executions(&next) == [(ticket, 1)],
            retried,
            "{ending:?}: {next:?}"
        );
        let cause = RejectCause::Scheduler(RejectReason::NoSafeEngine);
        assert_eq!(
            next.contains(&Command::Abort { ticket, cause }),
            !retried,
            "{ending:?}: {next:?}"
        );
    }
}

#[test]
fn missing_descriptors_and_resets_while_connecting_do_not_count_against_the_engine() {
    for (ending, is_retried) in [
        (Ending::NoDescriptor, true),
        (Ending::ResetWhileConnecting, true),
        (Ending::ConnectionRefused, false),
    ] {
        let mut dispatcher = dispatcher();
        dispatcher.update_engines(ListScope::Full, &[listing("a", Mode::Ready, None)]);
        let ticket = dispatcher.submit(0, &request("lookup", None)).unwrap();
        dispatcher.tick(0);
        assert!(!dispatcher.execution_ended(1_000, ticket, 0, ending, None));
        assert_eq!(
            sent_executions(&dispatcher.tick(1_000)),
            if is_retried {
                vec![(ticket, 1)]
            } else {
                vec![]
            },
            "{ending:?}"
        );
    }
}

#[test]
fn only_the_first_answer_counts_and_no_command_follows_it() {
    let mut dispatcher = dispatcher();
    dispatcher.update_engines(ListScope::Full, &[listing("a", Mode::Ready, None)]);
    let ticket = dispatcher.submit(0, &request("lookup", None)).unwrap();
    dispatcher.tick(0);
    assert!(dispatcher.execution_ended(5_000, ticket, 0, Ending::Answered, None));
    assert!(!dispatcher.execution_ended(5_000, ticket, 0, Ending::Answered, None));
    assert_eq!(
        (dispatcher.tick(5_000), dispatcher.statements_held()),
        (vec![], 0)
    );
    let second = dispatcher.submit(6_000, &request("lookup", None)).unwrap();
    dispatcher.tick(6_000);
    dispatcher.client_left(7_000, second);
    let cancel = Command::Cancel {
        ticket: second,
        execution: 0,
        ending: Ending::GivenUp,
    };
    assert_eq!(dispatcher.tick(7_000), [cancel]);
    assert!(!dispatcher.execution_ended(7_000, second, 0, Ending::Answered, None));
    assert_eq!(
        (dispatcher.tick(7_000), dispatcher.statements_held()),
        (vec![], 0)
    );
}

#[test]
fn finished_statements_released_keys_and_removed_engines_are_not_retained() {
    let mut dispatcher = dispatcher();
    let mut now = 0;
    for n in 0..3_000 {
        now += 100_000;
        let (id, key) = (format!("e{n}"), format!("k{n}"));
        dispatcher.update_engines(
            ListScope::Changes,
            &[listing(&id, Mode::Ready, Some(now - 60_000_000))],
        );
        let ticket = dispatcher
            .submit(now, &request("load", Some(&key)))
            .unwrap();
        assert_eq!(sent_executions(&dispatcher.tick(now)), [(ticket, 0)]);
        dispatcher.execution_ended(now + 10_000, ticket, 0, Ending::Answered, None);
        dispatcher.update_engines(
            ListScope::Changes,
            &[listing(&id, Mode::Gone, Some(now - 60_000_000))],
        );
        dispatcher.tick(now + 10_000);
    }
    let [keys, free_ids, pauses] = dispatcher.order_keys.retained_counts();
    let retained = (
        dispatcher.statements_held(),
        dispatcher.deadlines.len(),
        keys,
        free_ids,
        pauses,
    );
    assert!(
        retained.0 == 0 && retained.1 == 0 && keys <= 2 && free_ids <= 2 && pauses <= 2,
        "{retained:?}"
    );
    assert_eq!(dispatcher.engines.len(), 1);
}

#[test]
fn an_order_key_still_pauses_after_its_last_statement_is_removed() {
    let mut dispatcher = dispatcher();
    dispatcher.update_engines(ListScope::Full, &[listing("a", Mode::Ready, None)]);
    let first = dispatcher.submit(0, &request("load", Some("k"))).unwrap();
    dispatcher.tick(0);
    dispatcher.client_left(1_000, first);
    dispatcher.tick(1_000);
    dispatcher.execution_ended(1_000, first, 0, Ending::GivenUp, None);
    dispatcher.tick(1_000);
    let second = dispatcher
        .submit(2_000, &request("load", Some("k")))
        .unwrap();
    assert_eq!(sent_executions(&dispatcher.tick(2_000)), []);
    assert_eq!(sent_executions(&dispatcher.tick(50_000)), []);
    let at = dispatcher.next_tick();
    assert_eq!(sent_executions(&dispatcher.tick(at)), [(second, 0)]);
}
