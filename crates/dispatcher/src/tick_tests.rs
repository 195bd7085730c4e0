//! Unit tests of the `tick` module.

use hallmux::interface::RejectReason;

use crate::test_support::{ask, dispatcher, listing, sent};
use crate::{Command, Ending, ListScope, Mode, RejectCause};

#[test]
fn what_is_out_when_the_time_is_up_is_stopped_then_ended() {
    let mut d = dispatcher();
    d.update_engines(ListScope::Full, &[listing("a", Mode::Ready, None)]);
    let ticket = d.submit(0, &ask("pay", None)).unwrap();
    d.tick(0);
    let stop = Command::Cancel {
        ticket,
        execution: 0,
        ending: Ending::TimeUp,
    };
    assert!(d.tick(4_000_000).contains(&stop));
    d.execution_ended(4_000_000, ticket, 0, Ending::TimeUp, None);
    let cause = RejectCause::Scheduler(RejectReason::NoSafeEngine);
    assert_eq!(d.tick(4_000_000), [Command::Abort { ticket, cause }]);
    assert_eq!(d.statements_held(), 0);
}

#[test]
fn a_statement_has_what_is_left_when_it_is_decided_on() {
    let mut d = dispatcher();
    d.update_engines(ListScope::Full, &[listing("a", Mode::Ready, None)]);
    d.tick(0);
    // Of a class whose late answers are worth nothing: out of SLO time by the time it is decided
    // on.
    let ticket = d.submit(10_000, &ask("lookup", None)).unwrap();
    let late = d.tick(3_990_000);
    assert!(matches!(late[..], [Command::Reject { .. }]), "{late:?}");
    assert_eq!((sent(&late), d.statements_held()), (vec![], 0), "{ticket}");
}
