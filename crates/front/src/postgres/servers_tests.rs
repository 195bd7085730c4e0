//! Unit tests of the `servers` module.

use std::io::{ErrorKind, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::{Duration, Instant};

use calloop::EventLoop;
use hallmux_postgres::session::Operation;
use hallmux_postgres::wire;
use socket2::{Domain, Socket, Type};

use super::replies::LOGIN_TIMEOUT;
use super::*;
use crate::events::{SocketId, SocketKind};

const PATIENCE: Duration = Duration::from_secs(20);
const DIAL_TIMEOUT: Micros = 250_000; // microseconds
const CANCEL_TIMEOUT: Micros = 2 * DIAL_TIMEOUT; // microseconds for a request to cancel
const PLACE: Place = 0;
const KEY: wire::CancelKey = wire::CancelKey { process: 7, secret: 8 };

/// Connections to one engine that no front drives, with a time that the test gives.
struct Driven {
    events: EventLoop<'static, LoopEvents>,
    servers: Servers,
}

impl Driven {
    fn new(engine: SocketAddr) -> Driven {
        let events = EventLoop::try_new().unwrap();
        let allowance =
            NetworkSettings { dial_timeout: DIAL_TIMEOUT, cancel: true, ..NetworkSettings::default() };
        let limits = SessionLimits {
            sessions: 10,
            start_up: 5_000_000,
            statements: 10,
            portals: 10,
            settings: 10,
            message_bytes: 1 << 20,
            buffer_bytes: 1 << 16,
            engine_connections: 4,
            prepared: 10,
            transaction_idle: 60_000_000,
            connection_idle: 60_000_000,
            connection_age: 60_000_000,
        };
        let mut servers = Servers::new(events.handle(), allowance, limits);
        servers.list(PLACE, "a", engine, 0.0, true);
        Driven { events, servers }
    }

    /// A unit of one statement goes out, in the transaction that a connection holds if one is named.
    fn sends(&mut self, now: Micros, sent: ExecutionId, text: &str, pin: Option<ServerId>) {
        let account = self.servers.account(Account::default()).unwrap();
        let settings = Rc::default();
        let parts = vec![query(text)];
        let unit = Unit { session: 1, parts, settings, account, pin, once: false };
        self.servers.send(now, sent, PLACE, unit);
    }

    /// Takes what the loop reports, and sends what is to leave, until there is what is waited for.
    fn until<T>(&mut self, now: Micros, what: &str, mut there: impl FnMut(&mut Servers) -> Option<T>) -> T {
        let begun = Instant::now();
        loop {
            self.takes_what_is_reported(now);
            if let Some(found) = there(&mut self.servers) {
                return found;
            }
            assert!(begun.elapsed() < PATIENCE, "{what}");
        }
    }

    fn takes_what_is_reported(&mut self, now: Micros) {
        for socket in self.reported() {
            match socket.kind {
                SocketKind::Cancel => self.servers.read_cancel(socket.number),
                _ => _ = self.servers.read(now, socket.number),
            }
        }
        self.servers.flush(now);
    }

    fn reported(&mut self) -> Vec<SocketId> {
        let mut changes = LoopEvents::default();
        self.events.dispatch(Duration::ZERO, &mut changes).unwrap();
        changes.ready
    }

    /// Waits until a connection has changed; the front is not told of it, as if it stood still.
    fn stands_still_until_reported(&mut self) {
        let begun = Instant::now();
        while self.reported().is_empty() {
            assert!(begun.elapsed() < PATIENCE, "no connection has changed");
        }
    }

    /// Goes on until an engine has heard a text, or its connection's end where the text is empty.
    fn hears(&mut self, now: Micros, engine: &mut TcpStream, text: &[u8]) -> Vec<u8> {
        engine.set_nonblocking(true).unwrap();
        let mut all = Vec::new();
        self.until(now, "what the engine is to hear", |_| {
            let mut heard = [0; 4096];
            match engine.read(&mut heard) {
                Ok(0) => {
                    assert!(text.is_empty(), "the end behind {:?}", String::from_utf8_lossy(&all));
                    return Some(());
                }
                Ok(len) => all.extend_from_slice(&heard[..len]),
                Err(e) => assert_eq!(e.kind(), ErrorKind::WouldBlock, "{e}"),
            }
            let there = !text.is_empty() && all.windows(text.len()).any(|part| part == text);
            there.then_some(())
        });
        all
    }

    /// An engine's connection on which the first unit is out.
    fn has_out(&mut self, engine: &TcpListener, sent: ExecutionId) -> TcpStream {
        self.sends(0, sent, "select 1", None);
        let mut link = engine.accept().unwrap().0;
        self.hears(0, &mut link, b"user");
        lets_in(&mut link);
        self.hears(0, &mut link, b"select 1");
        self.servers.events.clear();
        link
    }

    /// How executions have ended since the last look.
    fn ended(&mut self) -> Vec<(ExecutionId, Ending)> {
        let ended = |event: Event| match event {
            Event::Ended { sent, ending } => Some((sent, ending)),
            _ => None,
        };
        std::mem::take(&mut self.servers.events).into_iter().filter_map(ended).collect()
    }
}

fn query(text: &str) -> Rc<UnitPart> {
    let mut part = UnitPart::default();
    wire::write_query(&mut part.raw, text.as_bytes());
    part.ops.push(Operation::Query(0..part.raw.len()));
    part.ends = true;
    Rc::new(part)
}

fn lets_in(engine: &mut TcpStream) {
    let mut out = Vec::new();
    wire::write(&mut out, b'R', |out| out.extend_from_slice(&[0; 4]));
    wire::write_key(&mut out, KEY);
    wire::write_ready(&mut out, b'I');
    engine.write_all(&out).unwrap();
}

fn answers(engine: &mut TcpStream, tag: &str, status: u8) {
    let mut out = Vec::new();
    wire::write_complete(&mut out, tag);
    wire::write_ready(&mut out, status);
    engine.write_all(&out).unwrap();
}

fn listener() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let at = listener.local_addr().unwrap();
    (listener, at)
}

/// A listener whose queue is full with the connection that comes with it: a further dial does not come up.
fn full_listener() -> (Socket, TcpStream, SocketAddr) {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    let any: SocketAddr = "127.0.0.1:0".parse().unwrap();
    socket.bind(&any.into()).unwrap();
    socket.listen(0).unwrap();
    let at = socket.local_addr().unwrap().as_socket().unwrap();
    let first = TcpStream::connect(at).unwrap();
    (socket, first, at)
}

/// What a request to cancel is on the wire.
fn cancel_request() -> Vec<u8> {
    let mut out = Vec::new();
    wire::write_cancel(&mut out, KEY);
    out
}

const FIRST: ExecutionId = ExecutionId { ticket: 1, number: 0 };
const SECOND: ExecutionId = ExecutionId { ticket: 2, number: 0 };
const THIRD: ExecutionId = ExecutionId { ticket: 3, number: 0 };

#[test]
fn a_connection_that_came_up_while_the_front_stood_still_is_not_given_up() {
    let (engine, at) = listener();
    let mut driven = Driven::new(at);
    driven.sends(0, FIRST, "select 1", None);
    let mut link = engine.accept().unwrap().0;
    driven.stands_still_until_reported();
    // It was not looked at for a second.
    let late = 1_000_000;
    driven.servers.expire(late);
    assert_eq!(driven.ended(), []);
    driven.hears(late, &mut link, b"user");
    lets_in(&mut link);
    driven.hears(late, &mut link, b"select 1");
    assert_eq!(driven.ended(), []);
}

#[test]
fn a_login_that_came_while_the_front_stood_still_is_not_given_up() {
    let (engine, at) = listener();
    let mut driven = Driven::new(at);
    driven.sends(0, FIRST, "select 1", None);
    let mut link = engine.accept().unwrap().0;
    driven.hears(0, &mut link, b"user");
    driven.reported();
    lets_in(&mut link);
    driven.stands_still_until_reported();
    driven.servers.expire(LOGIN_TIMEOUT);
    assert_eq!(driven.ended(), []);
    driven.hears(LOGIN_TIMEOUT, &mut link, b"select 1");
    assert_eq!(driven.ended(), []);
}

#[test]
fn a_dial_that_failed_while_the_front_stood_still_ends_as_what_it_is() {
    let (engine, at) = listener();
    drop(engine);
    let mut driven = Driven::new(at);
    driven.sends(0, FIRST, "select 1", None);
    // Some systems tell of it at once.
    if driven.servers.events.is_empty() {
        driven.stands_still_until_reported();
    }
    driven.servers.expire(1_000_000);
    assert_eq!(driven.ended(), [(FIRST, Ending::Refused)]);
}

#[test]
fn a_dial_that_is_not_up_in_time_ends_once_what_waits_for_it() {
    let (_engine, _first, at) = full_listener();
    let mut driven = Driven::new(at);
    driven.sends(0, FIRST, "select 1", None);
    driven.takes_what_is_reported(0);
    driven.servers.expire(DIAL_TIMEOUT - 1);
    assert_eq!(driven.ended(), []);
    assert!(driven.servers.due() <= DIAL_TIMEOUT);
    driven.servers.expire(DIAL_TIMEOUT);
    assert_eq!(driven.ended(), [(FIRST, Ending::NeverUp)]);
    driven.servers.expire(2 * DIAL_TIMEOUT);
    assert_eq!(driven.ended(), []);
    assert!(driven.servers.links.is_empty() && driven.servers.connecting.is_empty());
    assert!(!driven.servers.has(FIRST));
}

#[test]
fn a_login_that_is_not_over_in_time_ends_once_what_waits_for_it() {
    let (engine, at) = listener();
    let mut driven = Driven::new(at);
    driven.sends(0, FIRST, "select 1", None);
    let mut link = engine.accept().unwrap().0;
    driven.hears(0, &mut link, b"user");
    driven.servers.expire(LOGIN_TIMEOUT - 1);
    assert_eq!(driven.ended(), []);
    driven.servers.expire(LOGIN_TIMEOUT);
    assert_eq!(driven.ended(), [(FIRST, Ending::NeverUp)]);
    driven.servers.expire(2 * LOGIN_TIMEOUT);
    assert_eq!(driven.ended(), []);
    // Nothing of it has left.
    let heard = driven.hears(LOGIN_TIMEOUT, &mut link, b"");
    assert!(!String::from_utf8_lossy(&heard).contains("select"), "{heard:?}");
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
    assert!(driven.servers.has(FIRST));
    driven.servers.cancel_execution(1, FIRST, Ending::TimeUp);
    assert_eq!(driven.ended(), [(FIRST, Ending::TimeUp)]);
    assert!(!driven.servers.has(FIRST));
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
        driven.servers.pause(FIRST, paused);
        driven.servers.cancel_execution(0, FIRST, Ending::TimeUp);
        // What a client did not take is not charged to the engine.
        let ending = if paused { Ending::GivenUp } else { Ending::TimeUp };
        assert_eq!(driven.ended(), [(FIRST, ending)], "paused: {paused}");
        let mut cancel = engine.accept().unwrap().0;
        driven.hears(0, &mut cancel, &cancel_request());
        assert!(driven.hears(0, &mut link, b"").is_empty());
        drop(cancel);
        driven.until(0, "the request is taken", |servers| servers.cancels.is_empty().then_some(()));
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
