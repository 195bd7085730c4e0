//! Tests of what a client of a session receives when a connection, login or unit ends at its
//! engine. Each test forces the order of events in its name.

use super::*;

#[path = "cancel_endings_tests.rs"]
mod cancel_endings;

const LOGIN_TIMEOUT: Micros = 2_000_000; // microseconds
const STATEMENT_TIMEOUT: Micros = 8_000_000; // microseconds until a statement of `FrontHarness` times out
const DIAL_TIMEOUT_MS: u32 = 250; // milliseconds; the timeout of a cancel request is twice that
const LATE_ITERATIONS: usize = 3; // the late one, the one after it, and one that is on time
const UNBUFFERED_BYTES: usize = 200 << 10; // bytes of an answer too large to be buffered: it is forwarded in parts
const COMMIT: &str = "begin; insert into t values (1); commit"; // a unit that must not run twice

impl FrontHarness {
    /// Starts a front with two engines that retries until the client's statement times out.
    fn with_two(name: &str, engines: [SocketAddr; 2], dial_timeout_ms: u32) -> FrontHarness {
        let slo_time_ms = (STATEMENT_TIMEOUT / 1000) as u32;
        let bounds = json!({"cancelling": true, "mostTries": 3, "dialTimeoutMs": dial_timeout_ms});
        FrontHarness::with_engines(name, &engines, bounds, slo_time_ms)
    }

    /// Sets the clock, and runs the late iterations, so that input read afterwards does not count
    /// as unread for that time.
    fn set_time(&mut self, time: Micros) {
        self.front.prepare_sleep();
        write_clock(&self.files[0], time);
        for _ in 0..LATE_ITERATIONS {
            self.run_iteration();
            self.front.prepare_sleep();
        }
    }

    /// Accepts the front's next connection to one of the engines, and receives its startup message.
    /// Returns the engine's index and the connection.
    pub(super) fn accept_dial_from_any(&mut self, engines: &[&TcpListener]) -> (usize, TcpStream) {
        engines
            .iter()
            .for_each(|engine| engine.set_nonblocking(true).unwrap());
        let accept = |engine: &&TcpListener| engine.accept().ok();
        let (number, mut stream) = self.run_until("a dial", |_| {
            engines
                .iter()
                .enumerate()
                .find_map(|(n, engine)| Some((n, accept(engine)?.0)))
        });
        self.receive_until(&mut stream, "user");
        (number, stream)
    }

    /// All bytes that a peer receives up to the end of its connection.
    fn receive_to_end(&mut self, peer: &mut TcpStream) -> Vec<u8> {
        let mut all = Vec::new();
        loop {
            let received = self.receive(peer);
            if received.is_empty() {
                return all;
            }
            all.extend(received);
        }
    }

    /// Sends the session's unit and returns the engine connection on which it is in flight.
    fn start_unit(
        &mut self,
        engine: &TcpListener,
        session: &mut TcpStream,
        text: &str,
    ) -> TcpStream {
        send_query(session, text);
        let mut link = self.accept_dial(engine);
        accept_login(&mut link);
        self.receive_until(&mut link, text);
        link
    }

    /// Sends a query that the engine answers, and checks that the client receives that answer only:
    /// the answer before was final.
    fn assert_session_usable(&mut self, session: &mut TcpStream, link: &mut TcpStream) {
        send_query(session, "select 'further'");
        self.receive_until(link, "further");
        send_idle_completion(link, "FURTHER");
        assert_eq!(
            self.receive_message_kinds(session),
            [b'C', b'Z'],
            "expected exactly one answer"
        );
    }

    /// The kinds of the messages that a client receives up to ReadyForQuery.
    fn receive_message_kinds(&mut self, session: &mut TcpStream) -> Vec<u8> {
        self.receive_messages(session)
            .into_iter()
            .map(|message| message[0])
            .collect()
    }

    /// The messages that a client receives up to ReadyForQuery.
    fn receive_messages(&mut self, session: &mut TcpStream) -> Vec<Vec<u8>> {
        let mut received = Vec::new();
        loop {
            let messages = complete_messages(&received);
            if messages.last().is_some_and(|message| message[0] == b'Z') {
                return messages;
            }
            let more = self.receive(session);
            assert!(
                !more.is_empty(),
                "connection closed after {:?}",
                String::from_utf8_lossy(&received)
            );
            received.extend(more);
        }
    }

    /// Checks that a client receives one error with the code, then ReadyForQuery, and nothing else.
    pub(super) fn assert_error(&mut self, session: &mut TcpStream, code: &str) {
        let messages = self.receive_messages(session);
        let kinds: Vec<u8> = messages.iter().map(|message| message[0]).collect();
        assert_eq!(kinds, [b'E', b'Z'], "{messages:?}");
        let received = wire::field(&messages[0][5..], b'C').unwrap();
        assert_eq!(String::from_utf8_lossy(received), code);
    }
}

/// The complete messages at the start of some bytes.
fn complete_messages(bytes: &[u8]) -> Vec<Vec<u8>> {
    let mut rest = bytes;
    let mut messages = Vec::new();
    while let Some(header) = wire::header(rest)
        .unwrap()
        .filter(|header| header.len <= rest.len())
    {
        messages.push(rest[..header.len].to_vec());
        rest = &rest[header.len..];
    }
    messages
}

fn send_idle_completion(engine: &mut TcpStream, tag: &str) {
    let mut out = Vec::new();
    wire::write_complete(&mut out, tag);
    wire::write_ready(&mut out, b'I');
    engine.write_all(&out).unwrap();
}

/// Sends an engine's error, followed by ReadyForQuery if `ready`.
fn send_error(engine: &mut TcpStream, severity: &str, code: &str, ready: bool) {
    let mut out = Vec::new();
    wire::write(&mut out, b'E', |out| {
        for (kind, value) in [
            (b'S', severity),
            (b'V', severity),
            (b'C', code),
            (b'M', "no"),
        ] {
            out.push(kind);
            wire::write_string(out, value.as_bytes());
        }
        out.push(0);
    });
    if ready {
        wire::write_ready(&mut out, b'I');
    }
    engine.write_all(&out).unwrap();
}

/// A result of one column and one row of `bytes` bytes, without its CommandComplete.
fn rows(bytes: usize) -> Vec<u8> {
    let mut out = Vec::new();
    wire::write(&mut out, b'T', |out| {
        out.extend_from_slice(&1u16.to_be_bytes());
        wire::write_string(out, b"c");
        out.extend_from_slice(&[0; 18]);
    });
    wire::write(&mut out, b'D', |out| {
        out.extend_from_slice(&1u16.to_be_bytes());
        out.extend_from_slice(&(bytes as u32).to_be_bytes());
        out.resize(out.len() + bytes, b'x');
    });
    out
}

#[test]
fn login_timeout_is_retried_on_another_engine() {
    let ((one, at_one), (other, at_other)) = (listener(), listener());
    let mut harness = FrontHarness::with_two("late-login", [at_one, at_other], DIAL_TIMEOUT_MS);
    let mut session = harness.open_session();
    send_query(&mut session, "select 1");
    let (slow, mut link) = harness.accept_dial_from_any(&[&one, &other]);
    harness.set_time(START + LOGIN_TIMEOUT);
    let received = harness.receive_to_end(&mut link);
    assert!(received.is_empty(), "{received:?}");
    let (number, mut link) = harness.accept_dial_from_any(&[&one, &other]);
    assert_ne!(number, slow);
    accept_login(&mut link);
    harness.receive_until(&mut link, "select 1");
    send_idle_completion(&mut link, "SELECT 0");
    assert_eq!(harness.receive_message_kinds(&mut session), [b'C', b'Z']);
    harness.assert_session_usable(&mut session, &mut link);
}

#[test]
fn unit_whose_only_engine_completes_no_login_gets_one_answer() {
    for (name, text) in [("no-login", "select 1"), ("no-login-commit", COMMIT)] {
        let (engine, at) = listener();
        let mut harness = FrontHarness::new(name, at, true);
        let mut session = harness.open_session();
        send_query(&mut session, text);
        let mut link = harness.accept_dial(&engine);
        harness.set_time(START + LOGIN_TIMEOUT);
        assert!(harness.receive_to_end(&mut link).is_empty());
        harness.set_time(START + STATEMENT_TIMEOUT);
        // The unit was never sent.
        harness.assert_error(&mut session, "53000");
        send_query(&mut session, "SET hallmux.workload = 'lookup'");
        assert_eq!(harness.receive_message_kinds(&mut session), [b'C', b'Z']);
    }
}

#[test]
fn login_refused_for_engine_fault_is_retried_on_another_engine() {
    // Too many connections, and an engine that is starting up.
    for code in ["53300", "57P03"] {
        let ((one, at_one), (other, at_other)) = (listener(), listener());
        let mut harness = FrontHarness::with_two(
            &format!("refused-{code}"),
            [at_one, at_other],
            DIAL_TIMEOUT_MS,
        );
        let mut session = harness.open_session();
        send_query(&mut session, "select 1");
        let (refusing, mut link) = harness.accept_dial_from_any(&[&one, &other]);
        send_error(&mut link, "FATAL", code, false);
        let received = harness.receive_to_end(&mut link);
        assert!(received.is_empty(), "{received:?}");
        let (number, mut link) = harness.accept_dial_from_any(&[&one, &other]);
        assert_ne!(number, refusing, "{code}");
        accept_login(&mut link);
        harness.receive_until(&mut link, "select 1");
        send_idle_completion(&mut link, "SELECT 0");
        assert_eq!(harness.receive_message_kinds(&mut session), [b'C', b'Z']);
        harness.assert_session_usable(&mut session, &mut link);
    }
}

#[test]
fn login_refused_for_account_is_reported_once_with_engine_error() {
    let (engine, at) = listener();
    let mut harness = FrontHarness::new("refused-account", at, true);
    let mut session = harness.open_session();
    send_query(&mut session, "select 1");
    let mut link = harness.accept_dial(&engine);
    send_error(&mut link, "FATAL", "28P01", false);
    harness.assert_error(&mut session, "28P01");
    assert!(harness.receive_to_end(&mut link).is_empty());
    let mut link = harness.start_unit(&engine, &mut session, "select 2");
    send_idle_completion(&mut link, "SELECT 0");
    assert_eq!(harness.receive_message_kinds(&mut session), [b'C', b'Z']);
    harness.assert_session_usable(&mut session, &mut link);
}

#[test]
fn refused_settings_are_reported_once_with_engine_error() {
    let (engine, at) = listener();
    let mut harness = FrontHarness::new("refused-settings", at, true);
    let mut session = harness.open_session();
    let mut link = harness.start_unit(&engine, &mut session, "SET search_path = 'own'");
    send_idle_completion(&mut link, "SET");
    assert_eq!(harness.receive_message_kinds(&mut session), [b'C', b'Z']);
    // The session's settings are transferred again before its next unit.
    send_query(&mut session, "select 1");
    harness.receive_until(&mut link, "search_path");
    send_error(&mut link, "ERROR", "42704", true);
    harness.assert_error(&mut session, "42704");
    // The connection is closed, because the settings in force on it are unknown.
    let received = harness.receive_to_end(&mut link);
    assert!(
        !String::from_utf8_lossy(&received).contains("select 1"),
        "{received:?}"
    );
    send_query(&mut session, "select 2");
    let mut link = harness.accept_dial(&engine);
    accept_login(&mut link);
    harness.receive_until(&mut link, "search_path");
    send_idle_completion(&mut link, "SET");
    harness.receive_until(&mut link, "select 2");
    send_idle_completion(&mut link, "SELECT 0");
    assert_eq!(harness.receive_message_kinds(&mut session), [b'C', b'Z']);
    harness.assert_session_usable(&mut session, &mut link);
}

#[test]
fn connection_lost_within_a_message_closes_client_connection() {
    let (engine, at) = listener();
    let mut harness = FrontHarness::new("lost-in-a-row", at, true);
    let mut session = harness.open_session();
    let mut link = harness.start_unit(&engine, &mut session, "select 1");
    let result = rows(2 * UNBUFFERED_BYTES);
    link.write_all(&result[..UNBUFFERED_BYTES]).unwrap();
    let mut received = harness.receive(&mut session);
    drop(link);
    received.extend(harness.receive_to_end(&mut session));
    // The client receives what was forwarded of the message, and nothing that would pass for its
    // rest.
    assert!(
        !received.is_empty() && result.starts_with(&received),
        "{} bytes",
        received.len()
    );
    harness.run_until("its session to end", |front| {
        (front.gateway.as_ref()?.len() == 0).then_some(())
    });
}

#[test]
fn connection_lost_between_messages_of_a_result_is_reported_once() {
    let (engine, at) = listener();
    let mut harness = FrontHarness::new("lost-between", at, true);
    let mut session = harness.open_session();
    let mut link = harness.start_unit(&engine, &mut session, "select 1");
    link.write_all(&rows(UNBUFFERED_BYTES)).unwrap();
    let mut received = harness.receive(&mut session);
    while complete_messages(&received).len() < 2 {
        received.extend(harness.receive(&mut session));
    }
    drop(link);
    harness.assert_error(&mut session, "08006");
    let mut link = harness.start_unit(&engine, &mut session, "select 2");
    send_idle_completion(&mut link, "SELECT 0");
    assert_eq!(harness.receive_message_kinds(&mut session), [b'C', b'Z']);
    harness.assert_session_usable(&mut session, &mut link);
}

#[test]
fn connection_lost_before_result_is_forwarded_is_invisible_to_client() {
    let ((one, at_one), (other, at_other)) = (listener(), listener());
    let mut harness = FrontHarness::with_two("lost-unseen", [at_one, at_other], DIAL_TIMEOUT_MS);
    let mut session = harness.open_session();
    send_query(&mut session, "select 1");
    let (_, mut link) = harness.accept_dial_from_any(&[&one, &other]);
    accept_login(&mut link);
    harness.receive_until(&mut link, "select 1");
    // The answer is buffered: a small one is forwarded in one piece.
    link.write_all(&rows(10)).unwrap();
    drop(link);
    let (_, mut link) = harness.accept_dial_from_any(&[&one, &other]);
    accept_login(&mut link);
    harness.receive_until(&mut link, "select 1");
    send_idle_completion(&mut link, "SELECT 0");
    assert_eq!(harness.receive_message_kinds(&mut session), [b'C', b'Z']);
    harness.assert_session_usable(&mut session, &mut link);
}

#[test]
fn connection_lost_during_commit_leaves_it_in_doubt() {
    let (engine, at) = listener();
    let mut harness = FrontHarness::new("lost-commit", at, true);
    let mut session = harness.open_session();
    let link = harness.start_unit(&engine, &mut session, COMMIT);
    drop(link);
    harness.assert_error(&mut session, "08007");
    let mut link = harness.start_unit(&engine, &mut session, "select 2");
    send_idle_completion(&mut link, "SELECT 0");
    assert_eq!(harness.receive_message_kinds(&mut session), [b'C', b'Z']);
}

#[test]
fn connection_lost_within_a_result_ends_its_transaction() {
    let (engine, at) = listener();
    let mut harness = FrontHarness::new("lost-in-transaction", at, true);
    let mut session = harness.open_session();
    let mut link = harness.start_unit(&engine, &mut session, "begin");
    let mut out = Vec::new();
    wire::write_complete(&mut out, "BEGIN");
    wire::write_ready(&mut out, b'T');
    link.write_all(&out).unwrap();
    assert_eq!(harness.receive_message_kinds(&mut session), [b'C', b'Z']);
    send_query(&mut session, "select 1");
    harness.receive_until(&mut link, "select 1");
    link.write_all(&rows(UNBUFFERED_BYTES)).unwrap();
    let mut received = harness.receive(&mut session);
    while complete_messages(&received).len() < 2 {
        received.extend(harness.receive(&mut session));
    }
    drop(link);
    harness.assert_error(&mut session, "40001");
    send_query(&mut session, "select 2");
    harness.assert_error(&mut session, "25P02");
    send_query(&mut session, "rollback");
    assert_eq!(harness.receive_message_kinds(&mut session), [b'C', b'Z']);
    let mut link = harness.start_unit(&engine, &mut session, "select 3");
    send_idle_completion(&mut link, "SELECT 0");
    assert_eq!(harness.receive_message_kinds(&mut session), [b'C', b'Z']);
}

#[test]
fn commit_waiting_for_settings_is_not_in_doubt_after_connection_loss() {
    let (engine, at) = listener();
    let mut harness = FrontHarness::new("lost-with-settings", at, true);
    let mut session = harness.open_session();
    let mut link = harness.start_unit(&engine, &mut session, "SET search_path = 'own'");
    send_idle_completion(&mut link, "SET");
    assert_eq!(harness.receive_message_kinds(&mut session), [b'C', b'Z']);
    send_query(&mut session, COMMIT);
    let received = harness.receive_until(&mut link, "search_path");
    assert!(!received.contains("insert"), "{received:?}");
    drop(link);
    // The unit was never sent.
    harness.assert_error(&mut session, "53000");
}
