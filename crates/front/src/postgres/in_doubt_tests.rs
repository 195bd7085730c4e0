//! Tests of units that may have taken effect although their clients get no result: they are not told
//! that nothing has happened.

use hallmux_dispatcher::{Command, RejectCause, Ticket};

use super::unit_parts::Messages;
use super::*;

const UNRESOLVED: &str = "08007";
const ROLLED_BACK: &str = "40001";
/// Further than the ticket of any statement of these tests.
const MAX_TICKET: Ticket = 100;

impl FrontHarness {
    /// Sends a query in a transaction, whose engine is lost once it has received the query. Checks
    /// the error that the client gets.
    fn assert_error_after_engine_loss(&mut self, engine: &TcpListener, text: &str, code: &str) {
        let mut session = self.open_session();
        let mut link = self.open_transaction(&mut session, engine);
        send_query(&mut session, text);
        self.receive_until(&mut link, text);
        drop(link);
        self.assert_error(&mut session, code);
    }
}

/// Guards against a second effect of a unit that goes on behind its ROLLBACK: it was told as rolled
/// back, which asks its client to run it again.
#[test]
fn unit_that_goes_on_behind_its_rollback_is_in_doubt_when_its_engine_is_lost() {
    let (engine, at) = listener();
    let mut harness = FrontHarness::with_payouts("behind-rollback", &[at]);
    for (text, code) in [
        ("ROLLBACK; insert into failures values (1)", UNRESOLVED),
        (
            "abort; begin; insert into failures values (1); end",
            UNRESOLVED,
        ),
        ("insert into failures values (1); COMMIT", UNRESOLVED),
        ("insert into failures values (1)", ROLLED_BACK),
        ("insert into failures values (1); ROLLBACK", ROLLED_BACK),
        (
            "ROLLBACK TO s; insert into failures values (1)",
            ROLLED_BACK,
        ),
    ] {
        harness.assert_error_after_engine_loss(&engine, text, code);
    }
}

/// The same as above, for a unit of the extended protocol.
#[test]
fn statement_executed_behind_rollback_is_in_doubt_when_its_engine_is_lost() {
    let (engine, at) = listener();
    let mut harness = FrontHarness::with_payouts("behind-rollback-parts", &[at]);
    let mut session = harness.open_session();
    let mut link = harness.open_transaction(&mut session, &engine);
    Messages::default()
        .prepare("a", "ROLLBACK")
        .execute("a")
        .prepare("b", "insert into failures values (1)")
        .execute("b")
        .sync()
        .send(&mut session);
    harness.receive_until(&mut link, "S\0\0\0\x04");
    drop(link);
    harness.assert_error(&mut session, UNRESOLVED);
}

/// Guards against a second effect of a COMMIT whose portal was bound by an earlier unit: it was
/// counted where it was bound, and told as rolled back where it was executed.
#[test]
fn commit_executed_after_the_unit_that_bound_it_is_in_doubt_when_its_engine_is_lost() {
    let (engine, at) = listener();
    let mut harness = FrontHarness::with_payouts("bound-commit", &[at]);
    let mut session = harness.open_session();
    let mut link = harness.open_transaction(&mut session, &engine);
    Messages::default()
        .prepare("a", "COMMIT")
        .bind("p", "a")
        .sync()
        .send(&mut session);
    harness.receive_until(&mut link, "S\0\0\0\x04");
    let mut out = [
        wire::PARSE_COMPLETE,
        wire::NO_PARAMETERS,
        wire::NO_DATA,
        wire::BIND_COMPLETE,
    ]
    .concat();
    wire::write_ready(&mut out, b'T');
    link.write_all(&out).unwrap();
    harness.receive_until(&mut session, "Z\0\0\0\x05T");
    Messages::default()
        .execute_portal("p")
        .sync()
        .send(&mut session);
    harness.receive_until(&mut link, "S\0\0\0\x04");
    drop(link);
    harness.assert_error(&mut session, UNRESOLVED);
}

/// Guards against a unit at its engine that is ended by the front, as when access rules change: it was
/// told that nothing has happened.
#[test]
fn unit_aborted_at_its_engine_is_in_doubt() {
    let (engine, at) = listener();
    let mut harness = FrontHarness::with_payouts("aborted", &[at]);
    for (text, code) in [
        ("insert into entries values (1)", UNRESOLVED),
        ("begin; insert into entries values (1); commit", UNRESOLVED),
    ] {
        let mut session = harness.open_session();
        let _link = harness.start_unit_on(&mut session, &engine, text);
        harness.abort_session_statement();
        harness.assert_error(&mut session, code);
    }
    let mut session = harness.open_session();
    let mut link = harness.open_transaction(&mut session, &engine);
    send_query(&mut session, "COMMIT");
    harness.receive_until(&mut link, "COMMIT");
    harness.abort_session_statement();
    harness.assert_error(&mut session, UNRESOLVED);
}

impl FrontHarness {
    /// Ends the one statement of a session that is in flight.
    fn abort_session_statement(&mut self) {
        let is_open = |ticket: &Ticket| self.front.is_session_statement(*ticket);
        let ticket = (0..MAX_TICKET).find(is_open).unwrap();
        self.front.execute_command(Command::Abort {
            ticket,
            cause: RejectCause::AccessRules,
        });
    }
}
