//! Unit tests of the `servers` module: requests to cancel, and the executions that wait for them.

use super::*;

const CANCEL_TIMEOUT: Micros = 2 * DIAL_TIMEOUT; // microseconds
const SECOND_EXECUTION: ExecutionId = ExecutionId {
    ticket: 2,
    number: 0,
};
const THIRD_EXECUTION: ExecutionId = ExecutionId {
    ticket: 3,
    number: 0,
};

fn send_completion(engine: &mut TcpStream, tag: &str, status: u8) {
    let mut out = Vec::new();
    wire::write_complete(&mut out, tag);
    wire::write_ready(&mut out, status);
    engine.write_all(&out).unwrap();
}

/// A request to cancel, as it is written to the wire.
fn cancel_request() -> Vec<u8> {
    let mut out = Vec::new();
    wire::write_cancel(&mut out, KEY);
    out
}

#[test]
fn cancelled_unit_ends_once_if_cancel_request_is_not_accepted_in_time() {
    let (engine, at) = listener();
    let mut harness = ServersHarness::new(at);
    let _link = harness.start_unit(&engine, FIRST_EXECUTION);
    harness
        .servers
        .cancel_execution(0, FIRST_EXECUTION, Ending::GivenUp);
    let mut cancel = engine.accept().unwrap().0;
    harness.receive_until(0, &mut cancel, &cancel_request());
    // The request was sent, but the engine has not closed its connection, which it does once it has
    // accepted the request.
    harness.servers.expire(CANCEL_TIMEOUT - 1);
    assert_eq!(harness.take_endings(), []);
    harness.servers.expire(CANCEL_TIMEOUT);
    assert_eq!(harness.take_endings(), [(FIRST_EXECUTION, Ending::GivenUp)]);
    drop(cancel);
    harness.handle_ready_sockets(CANCEL_TIMEOUT);
    harness.servers.expire(2 * CANCEL_TIMEOUT);
    assert_eq!(harness.take_endings(), []);
    assert!(harness.servers.cancels.is_empty());
}

#[test]
fn cancelled_unit_ends_once_if_cancel_request_is_not_delivered() {
    let (engine, _first, at) = full_listener();
    let mut harness = ServersHarness::new(at);
    let dialled = TcpListener::from(engine);
    drop(dialled.accept().unwrap());
    let _link = harness.start_unit(&dialled, FIRST_EXECUTION);
    let _in_queue = TcpStream::connect(at).unwrap();
    harness
        .servers
        .cancel_execution(0, FIRST_EXECUTION, Ending::GivenUp);
    harness.handle_ready_sockets(0);
    harness.servers.expire(CANCEL_TIMEOUT - 1);
    assert_eq!(harness.take_endings(), []);
    harness.servers.expire(CANCEL_TIMEOUT);
    assert_eq!(harness.take_endings(), [(FIRST_EXECUTION, Ending::GivenUp)]);
    harness.servers.expire(2 * CANCEL_TIMEOUT);
    assert_eq!(harness.take_endings(), []);
}

#[test]
fn cancel_request_connected_during_a_stall_is_still_sent() {
    let (engine, at) = listener();
    let mut harness = ServersHarness::new(at);
    let _link = harness.start_unit(&engine, FIRST_EXECUTION);
    harness.ready_sockets();
    harness
        .servers
        .cancel_execution(0, FIRST_EXECUTION, Ending::GivenUp);
    let mut cancel = engine.accept().unwrap().0;
    harness.wait_for_unhandled_socket();
    harness.servers.expire(CANCEL_TIMEOUT);
    // The engine has not accepted the request yet.
    assert_eq!(harness.take_endings(), []);
    harness.receive_until(CANCEL_TIMEOUT, &mut cancel, &cancel_request());
    // The request gets no further extension of its time limit.
    harness.servers.expire(2 * CANCEL_TIMEOUT);
    assert_eq!(harness.take_endings(), [(FIRST_EXECUTION, Ending::GivenUp)]);
    harness.servers.expire(4 * CANCEL_TIMEOUT);
    assert_eq!(harness.take_endings(), []);
}

#[test]
fn timed_out_unit_ends_at_once_while_cancel_request_is_in_flight() {
    let (engine, at) = listener();
    let mut harness = ServersHarness::new(at);
    let _link = harness.start_unit(&engine, FIRST_EXECUTION);
    harness
        .servers
        .cancel_execution(0, FIRST_EXECUTION, Ending::GivenUp);
    let mut cancel = engine.accept().unwrap().0;
    harness.receive_until(0, &mut cancel, &cancel_request());
    assert!(harness.servers.has_execution(FIRST_EXECUTION));
    harness
        .servers
        .cancel_execution(1, FIRST_EXECUTION, Ending::TimeUp);
    assert_eq!(harness.take_endings(), [(FIRST_EXECUTION, Ending::TimeUp)]);
    assert!(!harness.servers.has_execution(FIRST_EXECUTION));
    harness
        .servers
        .cancel_execution(2, FIRST_EXECUTION, Ending::TimeUp);
    harness.servers.expire(CANCEL_TIMEOUT);
    assert_eq!(harness.take_endings(), []);
}

#[test]
fn timed_out_unit_ends_at_once_and_its_engine_is_asked_to_cancel() {
    for paused in [false, true] {
        let (engine, at) = listener();
        let mut harness = ServersHarness::new(at);
        let mut link = harness.start_unit(&engine, FIRST_EXECUTION);
        if paused {
            harness.servers.pause(FIRST_EXECUTION);
        } else {
            harness.servers.resume(FIRST_EXECUTION);
        }
        harness
            .servers
            .cancel_execution(0, FIRST_EXECUTION, Ending::TimeUp);
        // Time that the client spent reading its answer is not charged to the engine.
        let ending = if paused {
            Ending::GivenUp
        } else {
            Ending::TimeUp
        };
        assert_eq!(
            harness.take_endings(),
            [(FIRST_EXECUTION, ending)],
            "paused: {paused}"
        );
        let mut cancel = engine.accept().unwrap().0;
        harness.receive_until(0, &mut cancel, &cancel_request());
        assert!(harness.receive_until(0, &mut link, b"").is_empty());
        drop(cancel);
        harness.run_until(0, "the request is taken", |servers| {
            servers.cancels.is_empty().then_some(())
        });
        harness.servers.expire(CANCEL_TIMEOUT);
        assert_eq!(harness.take_endings(), []);
    }
}

#[test]
fn unit_waiting_for_cancel_request_in_transaction_is_sent_once() {
    let (engine, at) = listener();
    let mut harness = ServersHarness::new(at);
    let mut link = harness.start_unit(&engine, FIRST_EXECUTION);
    send_completion(&mut link, "BEGIN", b'T');
    let held = |servers: &mut Servers| {
        servers.events.iter().find_map(|event| match event {
            Event::Answered { held, .. } => *held,
            _ => None,
        })
    };
    let pin = harness.run_until(0, "an open transaction", held);
    harness.send_unit(0, SECOND_EXECUTION, "select 2", Some(pin));
    harness.receive_until(0, &mut link, b"select 2");
    assert!(harness.servers.cancel(0, SECOND_EXECUTION));
    let mut cancel = engine.accept().unwrap().0;
    harness.receive_until(0, &mut cancel, &cancel_request());
    send_completion(&mut link, "SELECT 0", b'T');
    harness.servers.events.clear();
    harness.run_until(0, "the second answer", held);
    harness.send_unit(0, THIRD_EXECUTION, "select 3", Some(pin));
    harness.handle_ready_sockets(0);
    harness.servers.expire(CANCEL_TIMEOUT - 1);
    harness.servers.flush(0);
    assert!(harness.servers.executions[&THIRD_EXECUTION].stage == Stage::Waiting);
    harness.servers.expire(CANCEL_TIMEOUT);
    let received = harness.receive_until(CANCEL_TIMEOUT, &mut link, b"select 3");
    assert_eq!(received.iter().filter(|byte| **byte == b'Q').count(), 1);
    send_completion(&mut link, "SELECT 0", b'T');
    harness.servers.events.clear();
    harness.run_until(CANCEL_TIMEOUT, "the third answer", held);
    assert_eq!(harness.take_endings(), []);
}
