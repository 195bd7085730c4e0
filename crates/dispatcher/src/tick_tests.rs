//! Unit tests of the `tick` module.

use hallmux::interface::RejectReason;

use crate::test_support::{dispatcher, listing, request, sent_executions};
use crate::{Command, Ending, ListScope, Mode, RejectCause};

#[test]
fn an_execution_in_flight_at_the_deadline_is_cancelled_then_its_statement_aborted() {
    let mut dispatcher = dispatcher();
    dispatcher.update_engines(ListScope::Full, &[listing("a", Mode::Ready, None)]);
    let ticket = dispatcher.submit(0, &request("pay", None)).unwrap();
    dispatcher.tick(0);
    let cancel = Command::Cancel {
        ticket,
        execution: 0,
        ending: Ending::TimeUp,
    };
    assert!(dispatcher.tick(4_000_000).contains(&cancel));
    dispatcher.execution_ended(4_000_000, ticket, 0, Ending::TimeUp, None);
    let cause = RejectCause::Scheduler(RejectReason::NoSafeEngine);
    assert_eq!(
        dispatcher.tick(4_000_000),
        [Command::Abort { ticket, cause }]
    );
    assert_eq!(dispatcher.statements_held(), 0);
}

#[test]
fn the_remaining_time_is_computed_when_the_statement_is_decided_on() {
    let mut dispatcher = dispatcher();
    dispatcher.update_engines(ListScope::Full, &[listing("a", Mode::Ready, None)]);
    dispatcher.tick(0);
    // Late answers of this service class have no value, and the SLO time has passed when the
    // statement is decided on.
    let ticket = dispatcher.submit(10_000, &request("lookup", None)).unwrap();
    let commands = dispatcher.tick(3_990_000);
    assert!(
        matches!(commands[..], [Command::Reject { .. }]),
        "{commands:?}"
    );
    assert_eq!(
        (sent_executions(&commands), dispatcher.statements_held()),
        (vec![], 0),
        "{ticket}"
    );
}
