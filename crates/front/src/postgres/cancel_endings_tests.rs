//! What a client of a session hears when its unit is cancelled, given up or out of time.

use super::*;

const STEP: Micros = 100_000; // microseconds: more at once would pass for a front that stood still
const LONG_DIAL_TIMEOUT_MS: u32 = 5_000; // milliseconds: a request to cancel has longer than a client waits

impl FrontHarness {
    /// Asks for a unit, and goes on until it is given up: its engine is silent, and does not take the request
    /// to cancel either. Says which engine that is, with its other connections, and when it was.
    fn gives_up(
        &mut self,
        engines: &[&TcpListener],
        session: &mut TcpStream,
    ) -> (usize, Vec<TcpStream>, Micros) {
        send_query(session, "select 1");
        let (silent, mut link) = self.dials_one(engines);
        accept_login(&mut link);
        self.receive_until(&mut link, "select 1");
        let request = cancel_request(wire::CancelKey {
            process: 1,
            secret: 1,
        });
        let (mut peers, mut heard, mut time) = (Vec::new(), Vec::new(), START);
        while heard != request {
            time += STEP;
            assert!(time < START + STATEMENT_TIME, "it is not given up");
            self.set_time(time);
            while let Ok((mut peer, _)) = engines[silent].accept() {
                heard = self.receive(&mut peer);
                peers.push(peer);
            }
        }
        (silent, peers, time)
    }

    /// Goes on until the front knows that its connection to its one engine, which rested, is gone.
    fn has_no_connection(&mut self) {
        let begun = Instant::now();
        // It may make one.
        while self
            .front
            .gateway
            .as_mut()
            .unwrap()
            .servers()
            .capacity(START, 0)
            > 1
        {
            assert!(begun.elapsed() < WAIT_LIMIT);
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
fn a_unit_that_waits_for_its_connection_is_cancelled_at_once() {
    let (engine, at) = listener();
    let mut harness = FrontHarness::new("cancelled-waiting", at, true);
    let mut session = TcpStream::connect(harness.session_address).unwrap();
    let mut out = Vec::new();
    wire::write_startup(&mut out, &[("user", "portal"), ("database", "x")]);
    session.write_all(&out).unwrap();
    let welcome = harness.hears_messages(&mut session);
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
    harness.hears_error(&mut session, "57014");
    accept_login(&mut link);
    // It is not sent once the connection is there: the next one is.
    send_query(&mut session, "select 2");
    let heard = harness.receive_until(&mut link, "select 2");
    assert!(!heard.contains("select 1"), "{heard:?}");
    answers(&mut link, "SELECT 0");
    assert_eq!(harness.hears_unit(&mut session), [b'C', b'Z']);
}

#[test]
fn a_unit_whose_time_is_up_is_answered_by_then_and_its_engine_is_asked_to_cancel() {
    let ((one, at_one), (other, at_other)) = (listener(), listener());
    let engines = [&one, &other];
    let mut harness = FrontHarness::with_two("time-up", [at_one, at_other], DIAL_TIMEOUT_MS);
    let mut session = harness.open_session();
    send_query(&mut session, "select 1");
    let (silent, mut link) = harness.dials_one(&engines);
    accept_login(&mut link);
    harness.receive_until(&mut link, "select 1");
    harness.set_time(START + STATEMENT_TIME);
    // No time passes any more.
    harness.hears_error(&mut session, "57014");
    assert!(harness.hears_to_the_end(&mut link).is_empty());
    // It is pinged by a login as well: it had been silent.
    let request = cancel_request(wire::CancelKey {
        process: 1,
        secret: 1,
    });
    let mut heard = Vec::new();
    while heard != request {
        let mut peer = harness
            .run_until("a request to cancel", |_| engines[silent].accept().ok())
            .0;
        heard = harness.receive(&mut peer);
    }
    send_query(&mut session, "select 2");
    let (number, mut link) = harness.dials_one(&engines);
    assert_ne!(number, silent);
    accept_login(&mut link);
    harness.receive_until(&mut link, "select 2");
    answers(&mut link, "SELECT 0");
    assert_eq!(harness.hears_unit(&mut session), [b'C', b'Z']);
    harness.goes_on_usably(&mut session, &mut link);
}

#[test]
fn a_unit_whose_time_is_up_while_it_is_given_up_is_answered_by_then() {
    let ((one, at_one), (other, at_other)) = (listener(), listener());
    let mut harness =
        FrontHarness::with_two("time-up-given-up", [at_one, at_other], LONG_DIAL_TIMEOUT_MS);
    let mut session = harness.open_session();
    let (_, _peers, time) = harness.gives_up(&[&one, &other], &mut session);
    assert!(time < START + STATEMENT_TIME);
    harness.set_time(START + STATEMENT_TIME);
    harness.hears_error(&mut session, "57014");
}

#[test]
fn a_unit_whose_request_to_cancel_is_not_taken_in_time_runs_elsewhere() {
    let ((one, at_one), (other, at_other)) = (listener(), listener());
    let engines = [&one, &other];
    let mut harness =
        FrontHarness::with_two("cancel-not-taken", [at_one, at_other], DIAL_TIMEOUT_MS);
    let mut session = harness.open_session();
    let (silent, peers, time) = harness.gives_up(&engines, &mut session);
    // It may still run there: nobody else has it until the request has had its time.
    let cancel_by = time + 2 * Micros::from(DIAL_TIMEOUT_MS) * 1000;
    harness.set_time(cancel_by - 1);
    assert!(engines[1 - silent].accept().is_err());
    harness.set_time(cancel_by);
    let mut link = harness.accept_dial(engines[1 - silent]);
    accept_login(&mut link);
    harness.receive_until(&mut link, "select 1");
    drop(peers);
    answers(&mut link, "SELECT 0");
    assert_eq!(harness.hears_unit(&mut session), [b'C', b'Z']);
    harness.goes_on_usably(&mut session, &mut link);
}

#[test]
fn a_commit_that_never_left_is_not_in_doubt_once_its_time_is_up() {
    let (engine, at) = listener();
    let mut harness = FrontHarness::new("time-up-waiting", at, true);
    let mut session = harness.open_session();
    // It is up before a login would be late.
    let mut link = harness.has_out(&engine, &mut session, "SET statement_timeout = 1000");
    answers(&mut link, "SET");
    assert_eq!(harness.hears_unit(&mut session), [b'C', b'Z']);
    drop(link);
    harness.has_no_connection();
    send_query(&mut session, COMMIT);
    let _link = harness.accept_dial(&engine);
    harness.set_time(START + LOGIN_TIME / 2);
    harness.hears_error(&mut session, "57014");
}

/// A session with a setting, whose unit waits for that to be brought over to the connection that it has.
fn waits_for_settings(harness: &mut FrontHarness, engine: &TcpListener) -> (TcpStream, TcpStream) {
    let mut session = harness.open_session();
    let mut link = harness.has_out(engine, &mut session, "SET statement_timeout = 1000");
    answers(&mut link, "SET");
    assert_eq!(harness.hears_unit(&mut session), [b'C', b'Z']);
    send_query(&mut session, COMMIT);
    let heard = harness.receive_until(&mut link, "statement_timeout");
    assert!(!heard.contains("insert"), "{heard:?}");
    (session, link)
}

#[test]
fn a_commit_whose_settings_are_still_brought_over_is_not_in_doubt_once_its_time_is_up() {
    let (engine, at) = listener();
    let mut harness = FrontHarness::new("time-up-with-settings", at, true);
    let (mut session, mut link) = waits_for_settings(&mut harness, &engine);
    harness.set_time(START + 1_000_000);
    harness.hears_error(&mut session, "57014");
    let heard = harness.hears_to_the_end(&mut link);
    assert!(
        !String::from_utf8_lossy(&heard).contains("insert"),
        "{heard:?}"
    );
}

#[test]
fn a_unit_whose_settings_are_still_brought_over_is_not_sent_once_its_session_has_left() {
    let (engine, at) = listener();
    // Engines are not told to give anything up.
    let mut harness = FrontHarness::new("left-with-settings", at, false);
    let (session, mut link) = waits_for_settings(&mut harness, &engine);
    drop(session);
    harness.run_until("its end is known", |front| {
        (front.gateway.as_ref()?.len() == 0).then_some(())
    });
    answers(&mut link, "SET");
    // Its connection goes with it.
    let heard = harness.receive(&mut link);
    assert!(heard.is_empty(), "{}", String::from_utf8_lossy(&heard));
}
