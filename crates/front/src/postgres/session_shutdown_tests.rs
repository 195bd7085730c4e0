//! Tests of sessions that go on sending after SIGTERM: what comes once the front takes no more
//! statements is answered at once, as the process may be killed before it would have run.

use super::unit_parts::Messages;
use super::*;

/// Microseconds after the close of the listener at which the late messages of these tests come.
const LATE: Micros = 300_000;
/// Microseconds after the close of the listener by which all that came late has an answer: the
/// process is killed 3.7 s after SIGTERM at the earliest, as the units here may take longer.
const LAST_ANSWER: Micros = 2_200_000;
/// Microseconds by which the clock is advanced in one step; a larger step would count as a stall.
const CLOCK_STEP: Micros = 100_000;

impl FrontHarness {
    /// Advances the clock in steps to a time after the close of the listener.
    fn advance_past_close(&mut self, after_close: Micros) {
        for step in 0..=after_close / CLOCK_STEP {
            write_clock(&self.files[0], CLOSE_TIME + step * CLOCK_STEP);
            self.run_iteration();
        }
        write_clock(&self.files[0], CLOSE_TIME + after_close);
        self.run_iteration();
        assert!(!self.front.listener.is_open());
    }

    /// Opens a transaction and returns the engine connection that holds it.
    pub(super) fn open_transaction(
        &mut self,
        session: &mut TcpStream,
        engine: &TcpListener,
    ) -> TcpStream {
        send_query(session, "BEGIN");
        let mut link = self.accept_dial(engine);
        accept_login(&mut link);
        self.receive_until(&mut link, "BEGIN");
        send_completion(&mut link, "BEGIN", b'T');
        self.receive_until(session, "Z\0\0\0\x05T");
        link
    }

    /// Checks that a session ends with the error of a front that shuts down.
    fn assert_ended_by_shutdown(&mut self, session: &mut TcpStream) {
        let received = self.receive_text_to_end(session);
        assert!(
            received.starts_with('E') && received.contains("57P01"),
            "{received:?}"
        );
    }
}

/// Guards against a statement in a transaction that is taken after the grace period and unanswered
/// at SIGKILL.
#[test]
fn late_unit_in_transaction_is_refused_and_its_transaction_rolled_back() {
    let (engine, at) = listener();
    let mut harness = FrontHarness::new("late-in-transaction", at, true);
    let mut session = harness.open_session();
    let mut link = harness.open_transaction(&mut session, &engine);
    harness.advance_to_listener_close();
    harness.advance_past_close(LATE);
    send_query(&mut session, "insert into entries values (1)");
    harness.assert_ended_by_shutdown(&mut session);
    // The engine learns of the end of the connection alone.
    let received = harness.receive_text_to_end(&mut link);
    assert!(!received.contains("insert"), "{received:?}");
}

/// Guards against a statement whose first half came before the grace period was over.
#[test]
fn unit_completed_late_is_refused() {
    let (engine, at) = listener();
    let mut harness = FrontHarness::new("completed-late", at, true);
    let mut session = harness.open_session();
    session.write_all(b"Q\0\0\0\x0dsele").unwrap();
    harness.run_until("the partial message is read", |front| {
        (front.gateway.as_ref()?.held_bytes() > 0).then_some(())
    });
    harness.advance_to_listener_close();
    harness.advance_past_close(LATE);
    session.write_all(b"ct 1\0").unwrap();
    harness.assert_ended_by_shutdown(&mut session);
    engine.set_nonblocking(true).unwrap();
    assert_eq!(engine.accept().unwrap_err().kind(), ErrorKind::WouldBlock);
}

/// Guards against the execution of a part that comes late: its unit was admitted in time.
#[test]
fn late_part_of_a_unit_fails_it_before_the_part_runs() {
    let (engine, at) = listener();
    let mut harness = FrontHarness::new("late-part", at, true);
    let mut session = harness.open_session();
    Messages::default()
        .prepare("s", "insert into entries values (1)")
        .flush()
        .send(&mut session);
    let mut link = harness.accept_dial(&engine);
    accept_login(&mut link);
    harness.receive_until(&mut link, "insert");
    harness.advance_to_listener_close();
    harness.advance_past_close(LATE);
    Messages::default().execute("s").sync().send(&mut session);
    harness.answer_prepared_and_failed(&mut link);
    let received = harness.receive_until(&mut session, "57P01");
    assert!(received.starts_with('1'), "{received:?}");
}

/// Guards against a late unit that waits behind one in flight until SIGKILL: answers are given in
/// order, so the one in flight is ended first.
#[test]
fn late_unit_behind_one_in_flight_is_answered() {
    let (engine, at) = listener();
    let mut harness = FrontHarness::new("late-behind", at, true);
    let mut session = harness.open_session();
    let _link = harness.start_unit_on(&mut session, &engine, "select 1");
    harness.advance_to_listener_close();
    harness.advance_past_close(LATE);
    send_query(&mut session, "select 2");
    harness.run_iteration();
    harness.advance_past_close(LAST_ANSWER);
    let received = harness.receive_text_to_end(&mut session);
    let (first, second) = received.split_once("Z\0\0\0\x05I").unwrap();
    assert!(
        first.contains("C08007") && second.contains("57P01"),
        "{received:?}"
    );
}

/// A unit that came in time is not refused because it had to wait for the one before it, nor is one
/// in flight behind which nothing has come late.
#[test]
fn unit_that_came_in_time_runs_behind_one_in_flight() {
    let (engine, at) = listener();
    let mut harness = FrontHarness::new("in-time-behind", at, true);
    let mut session = harness.open_session();
    harness.front.shut_down();
    write_clock(&harness.files[0], CLOSE_TIME - CLOCK_STEP);
    let mut link = harness.start_unit_on(&mut session, &engine, "select 1");
    let held_bytes = |front: &EventLoopState| front.gateway.as_ref().map(Gateway::held_bytes);
    let before = held_bytes(&harness.front);
    send_query(&mut session, "select 2");
    harness.run_until("the second unit is read", |front| {
        (held_bytes(front) > before).then_some(())
    });
    harness.advance_to_listener_close();
    harness.advance_past_close(CLOCK_STEP);
    send_completion(&mut link, "SELECT 1", b'I');
    harness.receive_until(&mut link, "select 2");
    harness.advance_past_close(LAST_ANSWER);
    send_completion(&mut link, "SELECT 2", b'I');
    let received = harness.receive_text_to_end(&mut session);
    assert!(
        received.contains("SELECT 1") && received.contains("SELECT 2"),
        "{received:?}"
    );
}
