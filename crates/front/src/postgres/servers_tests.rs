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

#[path = "servers_cancel_tests.rs"]
mod cancel;

const PATIENCE: Duration = Duration::from_secs(20);
const DIAL_TIMEOUT: Micros = 250_000; // microseconds
const PLACE: EngineIndex = 0;
const KEY: wire::CancelKey = wire::CancelKey {
    process: 7,
    secret: 8,
};

/// Connections to one engine that no front drives, with a time that the test gives.
struct Driven {
    events: EventLoop<'static, LoopEvents>,
    servers: Servers,
}

impl Driven {
    fn new(engine: SocketAddr) -> Driven {
        let events = EventLoop::try_new().unwrap();
        let allowance = NetworkSettings {
            dial_timeout: DIAL_TIMEOUT,
            cancel: true,
            ..NetworkSettings::default()
        };
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
        servers.list(PLACE, listed(engine, true));
        Driven { events, servers }
    }

    /// A unit of one statement goes out, in the transaction that a connection holds if one is named.
    fn sends(&mut self, now: Micros, execution_id: ExecutionId, text: &str, pin: Option<ServerId>) {
        let account = self.servers.account(Account::default()).unwrap();
        let (settings, parts) = (Rc::default(), vec![query(text)]);
        let unit = Unit {
            session: 1,
            parts,
            settings,
            account,
            pin,
            once: false,
        };
        self.servers.send(now, execution_id, PLACE, unit);
    }

    /// Takes what the loop reports, and sends what is to leave, until there is what is waited for.
    fn until<T>(
        &mut self,
        now: Micros,
        what: &str,
        mut there: impl FnMut(&mut Servers) -> Option<T>,
    ) -> T {
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
                    assert!(
                        text.is_empty(),
                        "the end behind {:?}",
                        String::from_utf8_lossy(&all)
                    );
                    return Some(());
                }
                Ok(len) => all.extend_from_slice(&heard[..len]),
                Err(e) => assert_eq!(e.kind(), ErrorKind::WouldBlock, "{e}"),
            }
            (!text.is_empty() && all.windows(text.len()).any(|part| part == text)).then_some(())
        });
        all
    }

    /// An engine's connection which is up and waits for its login, with a unit that waits for it.
    fn waits_for_its_login(
        &mut self,
        engine: &TcpListener,
        execution_id: ExecutionId,
    ) -> TcpStream {
        self.sends(0, execution_id, "select 1", None);
        let mut link = engine.accept().unwrap().0;
        self.hears(0, &mut link, b"user");
        link
    }

    /// An engine's connection on which the first unit is out.
    fn has_out(&mut self, engine: &TcpListener, execution_id: ExecutionId) -> TcpStream {
        let mut link = self.waits_for_its_login(engine, execution_id);
        lets_in(&mut link);
        self.hears(0, &mut link, b"select 1");
        self.servers.events.clear();
        link
    }

    /// How executions have ended since the last look.
    fn ended(&mut self) -> Vec<(ExecutionId, Ending)> {
        let ended = |event: Event| match event {
            Event::Ended {
                execution_id,
                ending,
            } => Some((execution_id, ending)),
            _ => None,
        };
        std::mem::take(&mut self.servers.events)
            .into_iter()
            .filter_map(ended)
            .collect()
    }
}

fn query(text: &str) -> Rc<UnitPart> {
    let mut part = UnitPart::default();
    wire::write_query(&mut part.raw, text.as_bytes());
    part.ops.push(Operation::Query(0..part.raw.len()));
    part.ends_unit = true;
    Rc::new(part)
}

fn lets_in(engine: &mut TcpStream) {
    let mut out = Vec::new();
    wire::write(&mut out, b'R', |out| out.extend_from_slice(&[0; 4]));
    wire::write_backend_key(&mut out, KEY);
    wire::write_ready(&mut out, b'I');
    engine.write_all(&out).unwrap();
}

fn listener() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let at = listener.local_addr().unwrap();
    (listener, at)
}

/// A port at which nobody listens, and nobody else can: dials are refused.
fn bound() -> (Socket, SocketAddr) {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket
        .bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into())
        .unwrap();
    let at = socket.local_addr().unwrap().as_socket().unwrap();
    (socket, at)
}

/// A listener whose queue is full with the connection that comes with it: a further dial does not come up.
fn full_listener() -> (Socket, TcpStream, SocketAddr) {
    let (socket, at) = bound();
    socket.listen(0).unwrap();
    let first = TcpStream::connect(at).unwrap();
    (socket, first, at)
}

const FIRST: ExecutionId = ExecutionId {
    ticket: 1,
    number: 0,
};

/// An engine of the list.
fn listed(address: SocketAddr, available: bool) -> ListedEngine<'static> {
    ListedEngine {
        id: "a",
        address,
        started_ms: 0.0,
        available,
    }
}

#[test]
fn a_connection_that_came_up_while_the_front_stood_still_is_not_given_up() {
    let (engine, at) = listener();
    let mut driven = Driven::new(at);
    driven.sends(0, FIRST, "select 1", None);
    let mut link = engine.accept().unwrap().0;
    driven.stands_still_until_reported();
    driven.servers.expire(DIAL_TIMEOUT);
    assert_eq!(driven.ended(), []);
    driven.hears(DIAL_TIMEOUT, &mut link, b"user");
    lets_in(&mut link);
    driven.hears(DIAL_TIMEOUT, &mut link, b"select 1");
    assert_eq!(driven.ended(), []);
}

#[test]
fn a_login_that_came_while_the_front_stood_still_is_not_given_up() {
    let (engine, at) = listener();
    let mut driven = Driven::new(at);
    let mut link = driven.waits_for_its_login(&engine, FIRST);
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
    let (_closed, at) = bound();
    let mut driven = Driven::new(at);
    driven.sends(0, FIRST, "select 1", None);
    // Some systems tell of it at once.
    if driven.servers.events.is_empty() {
        driven.stands_still_until_reported();
    }
    driven.servers.expire(1_000_000);
    assert_eq!(driven.ended(), [(FIRST, Ending::ConnectionRefused)]);
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
    assert_eq!(driven.ended(), [(FIRST, Ending::ConnectTimeout)]);
    driven.servers.expire(2 * DIAL_TIMEOUT);
    assert_eq!(driven.ended(), []);
    assert!(driven.servers.links.is_empty() && driven.servers.connecting.is_empty());
    assert!(!driven.servers.has(FIRST));
}

#[test]
fn a_login_that_is_not_over_in_time_ends_once_what_waits_for_it() {
    let (engine, at) = listener();
    let mut driven = Driven::new(at);
    let mut link = driven.waits_for_its_login(&engine, FIRST);
    driven.servers.expire(LOGIN_TIMEOUT - 1);
    assert_eq!(driven.ended(), []);
    driven.servers.expire(LOGIN_TIMEOUT);
    assert_eq!(driven.ended(), [(FIRST, Ending::ConnectTimeout)]);
    driven.servers.expire(2 * LOGIN_TIMEOUT);
    assert_eq!(driven.ended(), []);
    // Nothing of it has left.
    let heard = driven.hears(LOGIN_TIMEOUT, &mut link, b"");
    assert!(
        !String::from_utf8_lossy(&heard).contains("select"),
        "{heard:?}"
    );
}

#[test]
fn a_unit_whose_settings_are_still_brought_over_is_withdrawn_once_its_engine_drains() {
    let (engine, at) = listener();
    let mut driven = Driven::new(at);
    let set = BTreeMap::from([(
        "search_path".to_string(),
        "SET search_path = 'own'".to_string(),
    )]);
    let (settings, parts) = (Rc::new(SessionSettings(set)), vec![query("select 1")]);
    let account = driven.servers.account(Account::default()).unwrap();
    let unit = Unit {
        session: 1,
        parts,
        settings,
        account,
        pin: None,
        once: true,
    };
    driven.servers.send(0, FIRST, PLACE, unit);
    let mut link = engine.accept().unwrap().0;
    driven.hears(0, &mut link, b"user");
    lets_in(&mut link);
    driven.hears(0, &mut link, b"search_path");
    let left = |event: &Event| matches!(event, Event::Irrevocable(_));
    assert!(!driven.servers.events.iter().any(left));
    driven.servers.list(PLACE, listed(at, false));
    assert_eq!(driven.ended(), [(FIRST, Ending::Withdrawn)]);
    let heard = driven.hears(0, &mut link, b"");
    assert!(
        !String::from_utf8_lossy(&heard).contains("select 1"),
        "{heard:?}"
    );
}
