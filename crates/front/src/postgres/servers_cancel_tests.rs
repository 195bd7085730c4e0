//! Unit tests of the `servers` module: requests to cancel, and what waits for them.

use super::*;

const CANCEL_TIMEOUT: Micros = 2 * DIAL_TIMEOUT; // microseconds for a request to cancel
const SECOND: ExecutionId = ExecutionId {
    ticket: 2,
    number: 0,
};
const THIRD: ExecutionId = ExecutionId {
    ticket: 3,
    number: 0,
};

fn answers(engine: &mut TcpStream, tag: &str, status: u8) {
    let mut out = Vec::new();
    wire::write_complete(&mut out, tag);
    wire::write_ready(&mut out, status);
    engine.write_all(&out).unwrap();
}

/// What a request to cancel is on the wire.
fn cancel_request() -> Vec<u8> {
    let mut out = Vec::new();
    wire::write_cancel(&mut out, KEY);
    out
}

#[test]
fn a_unit_given_up_ends_once_where_its_request_to_cancel_is_not_taken_in_time() {
    let (engine, at) = listener();
    let mut driven = Driven::new(at);
    let _link = driven.has_out(&engine, FIRST);
    driven.servers.cancel_execution(0, FIRST, Ending::GivenUp);
    let mut cancel = engine.accept().unwrap().0;
    driven.hears(0, &mut cancel, &cancel_request());
    // It has left, and the engine has not closed its connection, as it does when it has taken it.
    driven.servers.expire(CANCEL_TIMEOUT - 1);
    assert_eq!(driven.ended(), []);
    driven.servers.expire(CANCEL_TIMEOUT);
    assert_eq!(driven.ended(), [(FIRST, Ending::GivenUp)]);
    drop(cancel);
    driven.takes_what_is_reported(CANCEL_TIMEOUT);
    driven.servers.expire(2 * CANCEL_TIMEOUT);
    assert_eq!(driven.ended(), []);
    assert!(driven.servers.cancels.is_empty());
}

#[test]
fn a_unit_given_up_ends_once_where_its_request_to_cancel_does_not_get_through() {
    let (engine, _first, at) = full_listener();
    let mut driven = Driven::new(at);
    let dialled = TcpListener::from(engine);
    drop(dialled.accept().unwrap());
    let _link = driven.has_out(&dialled, FIRST);
    let _in_queue = TcpStream::connect(at).unwrap();
    driven.servers.cancel_execution(0, FIRST, Ending::GivenUp);
    driven.takes_what_is_reported(0);
    driven.servers.expire(CANCEL_TIMEOUT - 1);
    assert_eq!(driven.ended(), []);
    driven.servers.expire(CANCEL_TIMEOUT);
    assert_eq!(driven.ended(), [(FIRST, Ending::GivenUp)]);
    driven.servers.expire(2 * CANCEL_TIMEOUT);
    assert_eq!(driven.ended(), []);
}

#[test]
fn a_request_to_cancel_that_came_up_while_the_front_stood_still_leaves_all_the_same() {
    let (engine, at) = listener();
    let mut driven = Driven::new(at);
    let _link = driven.has_out(&engine, FIRST);
    driven.reported();
    driven.servers.cancel_execution(0, FIRST, Ending::GivenUp);
    let mut cancel = engine.accept().unwrap().0;
    driven.stands_still_until_reported();
    driven.servers.expire(CANCEL_TIMEOUT);
    // The engine has yet to take it.
    assert_eq!(driven.ended(), []);
    driven.hears(CANCEL_TIMEOUT, &mut cancel, &cancel_request());
    // It gets no third time.
    driven.servers.expire(2 * CANCEL_TIMEOUT);
    assert_eq!(driven.ended(), [(FIRST, Ending::GivenUp)]);
    driven.servers.expire(4 * CANCEL_TIMEOUT);
    assert_eq!(driven.ended(), []);
}

#[test]
fn a_unit_whose_time_is_up_ends_at_once_though_its_request_to_cancel_is_on_its_way() {
    let (engine, at) = listener();
    let mut driven = Driven::new(at);
    let _link = driven.has_out(&engine, FIRST);
    driven.servers.cancel_execution(0, FIRST, Ending::GivenUp);
    let mut cancel = engine.accept().unwrap().0;
    driven.hears(0, &mut cancel, &cancel_request());
    assert!(driven.servers.has_execution(FIRST));
    driven.servers.cancel_execution(1, FIRST, Ending::TimeUp);
    assert_eq!(driven.ended(), [(FIRST, Ending::TimeUp)]);
    assert!(!driven.servers.has_execution(FIRST));
    driven.servers.cancel_execution(2, FIRST, Ending::TimeUp);
    driven.servers.expire(CANCEL_TIMEOUT);
    assert_eq!(driven.ended(), []);
}

#[test]
fn a_unit_whose_time_is_up_ends_at_once_and_its_engine_is_asked_to_cancel() {
    for paused in [false, true] {
        let (engine, at) = listener();
        let mut driven = Driven::new(at);
        let mut link = driven.has_out(&engine, FIRST);
        if paused {
            driven.servers.pause(FIRST);
        } else {
            driven.servers.resume(FIRST);
        }
        driven.servers.cancel_execution(0, FIRST, Ending::TimeUp);
        // What a client did not take is not charged to the engine.
        let ending = if paused {
            Ending::GivenUp
        } else {
            Ending::TimeUp
        };
        assert_eq!(driven.ended(), [(FIRST, ending)], "paused: {paused}");
        let mut cancel = engine.accept().unwrap().0;
        driven.hears(0, &mut cancel, &cancel_request());
        assert!(driven.hears(0, &mut link, b"").is_empty());
        drop(cancel);
        driven.until(0, "the request is taken", |servers| {
            servers.cancels.is_empty().then_some(())
        });
        driven.servers.expire(CANCEL_TIMEOUT);
        assert_eq!(driven.ended(), []);
    }
}

#[test]
fn a_unit_that_waits_for_a_request_to_cancel_in_its_transaction_goes_on_once() {
    let (engine, at) = listener();
    let mut driven = Driven::new(at);
    let mut link = driven.has_out(&engine, FIRST);
    answers(&mut link, "BEGIN", b'T');
    let held = |servers: &mut Servers| {
        servers.events.iter().find_map(|event| match event {
            Event::Answered { held, .. } => *held,
            _ => None,
        })
    };
    let pin = driven.until(0, "an open transaction", held);
    driven.sends(0, SECOND, "select 2", Some(pin));
    driven.hears(0, &mut link, b"select 2");
    assert!(driven.servers.cancel(0, SECOND));
    let mut cancel = engine.accept().unwrap().0;
    driven.hears(0, &mut cancel, &cancel_request());
    answers(&mut link, "SELECT 0", b'T');
    driven.servers.events.clear();
    driven.until(0, "the second answer", held);
    driven.sends(0, THIRD, "select 3", Some(pin));
    driven.takes_what_is_reported(0);
    driven.servers.expire(CANCEL_TIMEOUT - 1);
    driven.servers.flush(0);
    assert!(driven.servers.executions[&THIRD].stage == Stage::Waiting);
    driven.servers.expire(CANCEL_TIMEOUT);
    let heard = driven.hears(CANCEL_TIMEOUT, &mut link, b"select 3");
    assert_eq!(heard.iter().filter(|byte| **byte == b'Q').count(), 1);
    answers(&mut link, "SELECT 0", b'T');
    driven.servers.events.clear();
    driven.until(CANCEL_TIMEOUT, "the third answer", held);
    assert_eq!(driven.ended(), []);
}
