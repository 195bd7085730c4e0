//! Unit tests of the `ledger_events` module.

use crate::test_support::{dispatcher, listing, request, sent_executions};
use crate::{Command, Ending, LedgerEvent, ListScope, Mode, StatementFinished};

#[test]
fn a_held_execution_does_not_count_as_silence_of_its_engine() {
    let mut dispatcher = dispatcher();
    dispatcher.update_engines(ListScope::Full, &[listing("a", Mode::Ready, None)]);
    let ticket = dispatcher.submit(0, &request("load", Some("k"))).unwrap();
    assert_eq!(sent_executions(&dispatcher.tick(0)), [(ticket, 0)]);
    let mut now = 0;
    while now < 3_000_000 {
        dispatcher.execution_held(now, ticket, 0);
        now += 100_000;
        assert_eq!(
            (dispatcher.tick(now), dispatcher.observations(now).len()),
            (vec![], 0),
            "{now}"
        );
    }
    dispatcher.execution_sent(now, ticket, 0);
    dispatcher.tick(now);
    assert!(dispatcher.observations(now + 900_000).is_empty());
    let silent: Vec<_> = dispatcher
        .observations(now + 999_000 + 1_000)
        .iter()
        .map(|report| report.silent)
        .collect();
    assert_eq!(silent, [1_000_000]);
    assert!(dispatcher.execution_ended(now + 1_000_000, ticket, 0, Ending::Answered, None));
    assert_eq!(dispatcher.engines[0].held, 0);
}

#[test]
fn a_rejected_statement_ends_at_once_and_its_retry_times_are_spread() {
    let mut dispatcher = dispatcher();
    dispatcher.update_engines(ListScope::Full, &[listing("a", Mode::Ready, None)]);
    dispatcher.enable_ledger_events();
    let mut retry_times = Vec::new();
    for n in 0..4 {
        let ticket = dispatcher.submit(n, &request("load", None)).unwrap();
        assert!(
            matches!(&dispatcher.ledger_events()[..], [LedgerEvent::Arrived(t)] if t.ticket == ticket && t.key.is_none())
        );
        assert_eq!(sent_executions(&dispatcher.tick(n)), [(ticket, 0)]);
        dispatcher.execution_held(n, ticket, 0);
        retry_times.extend(dispatcher.reject(n, ticket));
        assert_eq!(dispatcher.reject(n, ticket), None);
        assert_eq!(
            dispatcher.ledger_events(),
            [LedgerEvent::Finished(StatementFinished {
                ticket,
                may_have_run: false,
                may_still_run: false
            })]
        );
        assert_eq!(
            (
                dispatcher.tick(n),
                dispatcher.statements_held(),
                dispatcher.engines[0].held
            ),
            (vec![], 0, 0)
        );
    }
    retry_times.sort();
    retry_times.dedup();
    assert!(
        retry_times.len() == 4 && retry_times.iter().all(|t| (500_000..1_000_000).contains(t)),
        "{retry_times:?}"
    );
}

#[test]
fn the_finished_event_says_whether_the_statement_may_have_run_and_may_still_run() {
    for (ending, may_have_run, may_still_run) in [
        (Ending::Answered, true, false),
        (Ending::Withdrawn, false, false),
        (Ending::EngineFailed, true, false),
        (Ending::GivenUp, true, true),
    ] {
        let mut dispatcher = dispatcher();
        dispatcher.update_engines(ListScope::Full, &[listing("a", Mode::Ready, None)]);
        dispatcher.enable_ledger_events();
        let ticket = dispatcher.submit(0, &request("load", Some("k"))).unwrap();
        dispatcher.submit(0, &request("lookup", Some("k"))).unwrap();
        assert_eq!(dispatcher.ledger_events().len(), 1);
        dispatcher.tick(0);
        dispatcher.client_left(1, ticket);
        let cancel = Command::Cancel {
            ticket,
            execution: 0,
            ending: Ending::GivenUp,
        };
        assert_eq!(
            (dispatcher.ledger_events(), dispatcher.tick(1)),
            (vec![], vec![cancel])
        );
        dispatcher.execution_ended(2, ticket, 0, ending, None);
        assert_eq!(
            dispatcher.ledger_events(),
            [LedgerEvent::Finished(StatementFinished {
                ticket,
                may_have_run,
                may_still_run
            })],
            "{ending:?}"
        );
    }
}
