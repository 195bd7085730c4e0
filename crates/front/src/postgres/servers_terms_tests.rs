//! Tests of units that wait in the front beyond the time until which they may be sent.

use super::*;

const SECOND_EXECUTION: ExecutionId = ExecutionId {
    ticket: 2,
    number: 0,
};
/// Microseconds after which the engines may have forgotten a first execution.
const SEND_BY: Micros = 1_000_000;
/// The terms of a repeat that may be sent within the window of its first execution.
const REPEAT: Terms = Terms {
    send_by: SEND_BY,
    ..UNLIMITED
};

impl ServersHarness {
    /// Sends a unit of one statement under the terms given.
    fn send_unit_with_terms(
        &mut self,
        execution_id: ExecutionId,
        text: &str,
        terms: Terms,
        settings: Rc<SessionSettings>,
    ) {
        let account = self.servers.account(Account::default()).unwrap();
        let unit = Unit {
            session: 1,
            parts: vec![query(text)],
            settings,
            account,
            pin: None,
            terms,
        };
        self.servers.send(0, execution_id, ENGINE_INDEX, unit);
    }

    /// Completes the login of an engine connection at a time, and waits for the ending of the first
    /// execution, which was not sent.
    fn assert_withdrawn_at_login(&mut self, now: Micros, link: &mut TcpStream) {
        self.receive_until(now, link, b"user");
        accept_login(link);
        self.assert_withdrawn(now);
    }

    fn assert_withdrawn(&mut self, now: Micros) {
        self.run_until(now, "the end of the execution", |servers| {
            let is_end = |event: &Event| matches!(event, Event::Ended { .. });
            servers.events.iter().any(is_end).then_some(())
        });
        let endings = self.take_endings();
        assert_eq!(endings, [(FIRST_EXECUTION, Ending::Withdrawn)]);
    }
}

/// Guards against a second effect of a deduplicated unit that waits for a connection: it left after
/// the engines had forgotten its first execution.
#[test]
fn repeat_is_not_sent_over_a_connection_that_comes_up_after_its_window() {
    let (engine, at) = listener();
    let mut harness = ServersHarness::new(at);
    harness.send_unit_with_terms(FIRST_EXECUTION, "select 1", REPEAT, Rc::default());
    let mut link = engine.accept().unwrap().0;
    harness.assert_withdrawn_at_login(SEND_BY, &mut link);
    // The connection serves the next unit.
    harness.send_unit(SEND_BY, SECOND_EXECUTION, "select 2", None);
    let received = harness.receive_until(SEND_BY, &mut link, b"select 2");
    let received = String::from_utf8_lossy(&received);
    assert!(!received.contains("select 1"), "{received:?}");
}

/// The same as above, for a unit that may still be sent: the check is not on at all times.
#[test]
fn repeat_is_sent_within_its_window() {
    let (engine, at) = listener();
    let mut harness = ServersHarness::new(at);
    harness.send_unit_with_terms(FIRST_EXECUTION, "select 1", REPEAT, Rc::default());
    let mut link = engine.accept().unwrap().0;
    harness.receive_until(0, &mut link, b"user");
    accept_login(&mut link);
    harness.receive_until(SEND_BY - 1, &mut link, b"select 1");
}

/// Guards against a unit behind an expired one that is not served: it got no connection until
/// another one was released.
#[test]
fn unit_behind_an_expired_one_gets_its_connection() {
    let (engine, at) = listener();
    let mut harness = ServersHarness::new(at);
    harness.send_unit_with_terms(FIRST_EXECUTION, "select 1", REPEAT, Rc::default());
    harness.send_unit_with_terms(SECOND_EXECUTION, "select 2", UNLIMITED, Rc::default());
    let mut link = engine.accept().unwrap().0;
    harness.assert_withdrawn_at_login(SEND_BY, &mut link);
    harness.receive_until(SEND_BY, &mut link, b"select 2");
}

/// Guards against a second effect of a deduplicated unit that waits for the settings of its session
/// on a connection.
#[test]
fn repeat_is_not_sent_when_its_settings_are_applied_after_its_window() {
    let (engine, at) = listener();
    let mut harness = ServersHarness::new(at);
    let set = "SET search_path = 'own'".to_string();
    let settings = BTreeMap::from([("search_path".to_string(), set)]);
    let settings = Rc::new(SessionSettings(settings));
    harness.send_unit_with_terms(FIRST_EXECUTION, "select 1", REPEAT, settings);
    let mut link = engine.accept().unwrap().0;
    harness.receive_until(0, &mut link, b"user");
    accept_login(&mut link);
    harness.receive_until(0, &mut link, b"search_path");
    let mut out = Vec::new();
    wire::write_complete(&mut out, "SET");
    wire::write_ready(&mut out, b'I');
    link.write_all(&out).unwrap();
    harness.assert_withdrawn(SEND_BY);
    let received = harness.receive_until(SEND_BY, &mut link, b"");
    let received = String::from_utf8_lossy(&received);
    assert!(!received.contains("select 1"), "{received:?}");
}

/// Guards against a unit that can't be sent any more and holds its place until a connection is
/// free: its client is answered once its window is over.
#[test]
fn repeat_that_waits_for_a_connection_ends_with_its_window() {
    let (engine, at) = listener();
    let mut harness = ServersHarness::new(at);
    harness.send_unit_with_terms(FIRST_EXECUTION, "select 1", REPEAT, Rc::default());
    let mut link = engine.accept().unwrap().0;
    harness.receive_until(0, &mut link, b"user");
    harness.servers.expire(SEND_BY - 1);
    assert_eq!(harness.take_endings(), []);
    harness.servers.expire(SEND_BY + CHECK_INTERVAL);
    let endings = harness.take_endings();
    assert_eq!(endings, [(FIRST_EXECUTION, Ending::Withdrawn)]);
}

/// Guards against a statement of a transaction that is sent after its client's time is over, as it
/// waited for the end of a request to cancel.
#[test]
fn unit_of_a_transaction_is_not_sent_after_its_deadline() {
    let (engine, at) = listener();
    let mut harness = ServersHarness::new(at);
    let mut link = harness.start_unit(&engine, FIRST_EXECUTION);
    assert!(harness.servers.cancel(0, FIRST_EXECUTION));
    let mut out = Vec::new();
    wire::write_complete(&mut out, "BEGIN");
    wire::write_ready(&mut out, b'T');
    link.write_all(&out).unwrap();
    let pin = harness.run_until(0, "the answer", |servers| {
        servers.events.iter().find_map(|event| match event {
            Event::Answered { held, .. } => *held,
            _ => None,
        })
    });
    harness.servers.events.clear();
    let account = harness.servers.account(Account::default()).unwrap();
    let unit = Unit {
        session: 1,
        parts: vec![query("insert")],
        settings: Rc::default(),
        account,
        pin: Some(pin),
        terms: Terms {
            deadline: SEND_BY,
            ..UNLIMITED
        },
    };
    harness
        .servers
        .send(0, SECOND_EXECUTION, ENGINE_INDEX, unit);
    // The engine accepts the request to cancel by closing its connection.
    let request = harness
        .run_until(0, "the request", |_| engine.accept().ok())
        .0;
    drop(request);
    let received = harness.receive_until(SEND_BY, &mut link, b"");
    let received = String::from_utf8_lossy(&received);
    assert!(!received.contains("insert"), "{received:?}");
    let endings = harness.take_endings();
    assert_eq!(endings, [(SECOND_EXECUTION, Ending::Withdrawn)]);
}
