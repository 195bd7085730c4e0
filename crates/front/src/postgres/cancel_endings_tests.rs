//! Tests of what a client of a session receives when its unit is cancelled or times out.

use super::*;

const CLOCK_STEP: Micros = 100_000; // microseconds; a larger step would count as a stall of the front
const LONG_DIAL_TIMEOUT_MS: u32 = 5_000; // milliseconds; a cancel request may take longer than a client waits

impl FrontHarness {
    /// Sends a unit and runs the front until it cancels the unit: the engine is silent and does not
    /// accept the request to cancel either. Returns the index of that engine, its other connections
    /// and the time of the cancel.
    fn run_until_cancelled(
        &mut self,
        engines: &[&TcpListener],
        session: &mut TcpStream,
    ) -> (usize, Vec<TcpStream>, Micros) {
        send_query(session, "select 1");
        let (silent, mut link) = self.accept_dial_from_any(engines);
        accept_login(&mut link);
        self.receive_until(&mut link, "select 1");
        let request = cancel_request(wire::CancelKey {
            process: 1,
            secret: 1,
        });
        let (mut peers, mut received, mut time) = (Vec::new(), Vec::new(), START);
        while received != request {
            time += CLOCK_STEP;
            assert!(
                time < START + STATEMENT_TIMEOUT,
                "the unit is not cancelled"
            );
            self.set_time(time);
            while let Ok((mut peer, _)) = engines[silent].accept() {
                received = self.receive(&mut peer);
                peers.push(peer);
            }
        }
        (silent, peers, time)
    }

    /// Runs the front until it knows that the idle connection to its only engine is closed.
    fn wait_until_connection_closed(&mut self) {
        let started = Instant::now();
        // The front can send one unit, over a connection that it may open.
        while self
            .front
            .gateway
            .as_mut()
            .unwrap()
            .servers()
            .capacity(START, 0)
            > 1
        {
            assert!(started.elapsed() < WAIT_LIMIT);
            self.run_iteration();
        }
    }
}

fn cancel_request(key: wire::CancelKey) -> Vec<u8> {
    let mut out = Vec::new();
    wire::write_cancel(&mut out, key);
    out
}

#[test]
fn unit_waiting_for_connection_is_cancelled_at_once() {
    let (engine, at) = listener();
    let mut harness = FrontHarness::new("cancelled-waiting", at, true);
    let mut session = TcpStream::connect(harness.session_address).unwrap();
    let mut out = Vec::new();
    wire::write_startup(&mut out, &[("user", "portal"), ("database", "x")]);
    session.write_all(&out).unwrap();
    let welcome = harness.receive_messages(&mut session);
    let key = welcome.iter().find(|message| message[0] == b'K').unwrap();
    let number = |at: usize| u32::from_be_bytes(key[at..at + 4].try_into().unwrap());
    send_query(&mut session, "select 1");
    let mut link = harness.accept_dial(&engine);
    let mut canceller = TcpStream::connect(harness.session_address).unwrap();
    let key = wire::CancelKey {
        process: number(5),
        secret: number(9),
    };
    canceller.write_all(&cancel_request(key)).unwrap();
    harness.assert_error(&mut session, "57014");
    accept_login(&mut link);
    // The first unit is not sent once the connection is up; the next one is.
    send_query(&mut session, "select 2");
    let received = harness.receive_until(&mut link, "select 2");
    assert!(!received.contains("select 1"), "{received:?}");
    send_idle_completion(&mut link, "SELECT 0");
    assert_eq!(harness.receive_message_kinds(&mut session), [b'C', b'Z']);
}

#[test]
fn timed_out_unit_is_answered_in_time_and_its_engine_is_asked_to_cancel() {
    let ((one, at_one), (other, at_other)) = (listener(), listener());
    let engines = [&one, &other];
    let mut harness = FrontHarness::with_two("time-up", [at_one, at_other], DIAL_TIMEOUT_MS);
    let mut session = harness.open_session();
    send_query(&mut session, "select 1");
    let (silent, mut link) = harness.accept_dial_from_any(&engines);
    accept_login(&mut link);
    harness.receive_until(&mut link, "select 1");
    harness.set_time(START + STATEMENT_TIMEOUT);
    // No further time passes.
    harness.assert_error(&mut session, "57014");
    assert!(harness.receive_to_end(&mut link).is_empty());
    // The engine was silent, so it is pinged by a login as well.
    let request = cancel_request(wire::CancelKey {
        process: 1,
        secret: 1,
    });
    let mut received = Vec::new();
    while received != request {
        let mut peer = harness
            .run_until("a request to cancel", |_| engines[silent].accept().ok())
            .0;
        received = harness.receive(&mut peer);
    }
    send_query(&mut session, "select 2");
    let (number, mut link) = harness.accept_dial_from_any(&engines);
    assert_ne!(number, silent);
    accept_login(&mut link);
    harness.receive_until(&mut link, "select 2");
    send_idle_completion(&mut link, "SELECT 0");
    assert_eq!(harness.receive_message_kinds(&mut session), [b'C', b'Z']);
    harness.assert_session_usable(&mut session, &mut link);
}

#[test]
fn timed_out_unit_is_answered_in_time_during_its_cancel() {
    let ((one, at_one), (other, at_other)) = (listener(), listener());
    let mut harness =
        FrontHarness::with_two("time-up-given-up", [at_one, at_other], LONG_DIAL_TIMEOUT_MS);
    let mut session = harness.open_session();
    let (_, _peers, time) = harness.run_until_cancelled(&[&one, &other], &mut session);
    assert!(time < START + STATEMENT_TIMEOUT);
    harness.set_time(START + STATEMENT_TIMEOUT);
    harness.assert_error(&mut session, "57014");
}

#[test]
fn unit_with_unaccepted_cancel_request_is_retried_on_another_engine() {
    let ((one, at_one), (other, at_other)) = (listener(), listener());
    let engines = [&one, &other];
    let mut harness =
        FrontHarness::with_two("cancel-not-taken", [at_one, at_other], DIAL_TIMEOUT_MS);
    let mut session = harness.open_session();
    let (silent, peers, time) = harness.run_until_cancelled(&engines, &mut session);
    // The unit may still run there, so no other engine gets it before the cancel request times out.
    let cancel_by = time + 2 * Micros::from(DIAL_TIMEOUT_MS) * 1000;
    harness.set_time(cancel_by - 1);
    assert!(engines[1 - silent].accept().is_err());
    harness.set_time(cancel_by);
    let mut link = harness.accept_dial(engines[1 - silent]);
    accept_login(&mut link);
    harness.receive_until(&mut link, "select 1");
    drop(peers);
    send_idle_completion(&mut link, "SELECT 0");
    assert_eq!(harness.receive_message_kinds(&mut session), [b'C', b'Z']);
    harness.assert_session_usable(&mut session, &mut link);
}

#[test]
fn unsent_commit_is_not_in_doubt_after_timeout() {
    let (engine, at) = listener();
    let mut harness = FrontHarness::new("time-up-waiting", at, true);
    let mut session = harness.open_session();
    // The statement times out before the login would.
    let mut link = harness.start_unit(&engine, &mut session, "SET statement_timeout = 1000");
    send_idle_completion(&mut link, "SET");
    assert_eq!(harness.receive_message_kinds(&mut session), [b'C', b'Z']);
    drop(link);
    harness.wait_until_connection_closed();
    send_query(&mut session, COMMIT);
    let _link = harness.accept_dial(&engine);
    harness.set_time(START + LOGIN_TIMEOUT / 2);
    harness.assert_error(&mut session, "57014");
}

/// A session with a setting, and its engine connection: the session's unit waits until the setting
/// is transferred to the connection.
fn start_settings_transfer(
    harness: &mut FrontHarness,
    engine: &TcpListener,
) -> (TcpStream, TcpStream) {
    let mut session = harness.open_session();
    let mut link = harness.start_unit(engine, &mut session, "SET statement_timeout = 1000");
    send_idle_completion(&mut link, "SET");
    assert_eq!(harness.receive_message_kinds(&mut session), [b'C', b'Z']);
    send_query(&mut session, COMMIT);
    let received = harness.receive_until(&mut link, "statement_timeout");
    assert!(!received.contains("insert"), "{received:?}");
    (session, link)
}

#[test]
fn commit_waiting_for_settings_is_not_in_doubt_after_timeout() {
    let (engine, at) = listener();
    let mut harness = FrontHarness::new("time-up-with-settings", at, true);
    let (mut session, mut link) = start_settings_transfer(&mut harness, &engine);
    harness.set_time(START + 1_000_000);
    harness.assert_error(&mut session, "57014");
    let received = harness.receive_to_end(&mut link);
    assert!(
        !String::from_utf8_lossy(&received).contains("insert"),
        "{received:?}"
    );
}

#[test]
fn unit_waiting_for_settings_is_not_sent_after_session_disconnects() {
    let (engine, at) = listener();
    // Engines are sent no requests to cancel.
    let mut harness = FrontHarness::new("left-with-settings", at, false);
    let (session, mut link) = start_settings_transfer(&mut harness, &engine);
    drop(session);
    harness.run_until("the session to be removed", |front| {
        (front.gateway.as_ref()?.len() == 0).then_some(())
    });
    send_idle_completion(&mut link, "SET");
    // The connection is closed together with the unit.
    let received = harness.receive(&mut link);
    assert!(
        received.is_empty(),
        "{}",
        String::from_utf8_lossy(&received)
    );
}
