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
use crate::listed_engine::ListedEngine;

#[path = "servers_cancel_tests.rs"]
mod cancel;
#[path = "servers_terms_tests.rs"]
mod terms;

const WAIT_LIMIT: Duration = Duration::from_secs(20);
const DIAL_TIMEOUT: Micros = 250_000; // microseconds
const ENGINE_INDEX: EngineIndex = 0;
/// Terms of a unit that may be sent at any time.
const UNLIMITED: Terms = Terms {
    deadline: Micros::MAX,
    send_by: Micros::MAX,
    grant_mb: 0.0,
    priority: 1,
};
/// Bytes of a part that does not fit into the buffers of a connection whose engine stops reading.
const OVERSIZED_PART_BYTES: usize = 3 << 20;
const KEY: wire::CancelKey = wire::CancelKey {
    process: 7,
    secret: 8,
};

/// Connections to one engine, with a time that the test sets and without a front.
struct ServersHarness {
    events: EventLoop<'static, LoopEvents>,
    servers: Servers,
}

impl ServersHarness {
    fn new(engine: SocketAddr) -> ServersHarness {
        let events = EventLoop::try_new().unwrap();
        let allowance = NetworkSettings {
            dial_timeout: DIAL_TIMEOUT,
            cancel: true,
            ..NetworkSettings::default()
        };
        let limits = SessionLimits {
            sessions: 10,
            login_timeout: 5_000_000,
            prepared_statements: 10,
            portals: 10,
            settings: 10,
            message_bytes: 1 << 20,
            buffer_bytes: 1 << 16,
            engine_connections: 4,
            engine_prepared_statements: 10,
            transaction_idle_timeout: 60_000_000,
            connection_idle_timeout: 60_000_000,
            max_connection_age: 60_000_000,
        };
        let mut servers = Servers::new(events.handle(), allowance, limits);
        servers.update_engine(ENGINE_INDEX, listed(engine, true));
        ServersHarness { events, servers }
    }

    /// Sends a unit of one statement, over the connection `pin` if one is given.
    fn send_unit(
        &mut self,
        now: Micros,
        execution_id: ExecutionId,
        text: &str,
        pin: Option<ServerId>,
    ) {
        let account = self.servers.account(Account::default()).unwrap();
        let (settings, parts) = (Rc::default(), vec![query(text)]);
        let unit = Unit {
            session: 1,
            parts,
            settings,
            account,
            pin,
            terms: UNLIMITED,
        };
        self.servers.send(now, execution_id, ENGINE_INDEX, unit);
    }

    /// Handles ready sockets and flushes output until `condition` holds.
    fn run_until<T>(
        &mut self,
        now: Micros,
        what: &str,
        mut condition: impl FnMut(&mut Servers) -> Option<T>,
    ) -> T {
        let started = Instant::now();
        loop {
            self.handle_ready_sockets(now);
            if let Some(found) = condition(&mut self.servers) {
                return found;
            }
            assert!(started.elapsed() < WAIT_LIMIT, "{what}");
        }
    }

    fn handle_ready_sockets(&mut self, now: Micros) {
        for socket in self.ready_sockets() {
            match socket.kind {
                SocketKind::Cancel => self.servers.read_cancel(now, socket.number),
                _ => _ = self.servers.read(now, socket.number),
            }
        }
        self.servers.flush(now);
    }

    fn ready_sockets(&mut self) -> Vec<SocketId> {
        let mut changes = LoopEvents::default();
        self.events.dispatch(Duration::ZERO, &mut changes).unwrap();
        changes.ready
    }

    /// Waits until a socket is ready without handling it, as if the front were stalled.
    fn wait_for_unhandled_socket(&mut self) {
        let started = Instant::now();
        while self.ready_sockets().is_empty() {
            assert!(started.elapsed() < WAIT_LIMIT, "no socket became ready");
        }
    }

    /// Runs until the engine has received `text`, or the end of its connection if `text` is empty.
    /// Returns all bytes received.
    fn receive_until(&mut self, now: Micros, engine: &mut TcpStream, text: &[u8]) -> Vec<u8> {
        engine.set_nonblocking(true).unwrap();
        let mut all = Vec::new();
        self.run_until(now, "the text that the engine is to receive", |_| {
            let mut received = [0; 4096];
            match engine.read(&mut received) {
                Ok(0) => {
                    assert!(
                        text.is_empty(),
                        "connection closed after {:?}",
                        String::from_utf8_lossy(&all)
                    );
                    return Some(());
                }
                Ok(len) => all.extend_from_slice(&received[..len]),
                Err(e) => assert_eq!(e.kind(), ErrorKind::WouldBlock, "{e}"),
            }
            (!text.is_empty() && all.windows(text.len()).any(|part| part == text)).then_some(())
        });
        all
    }

    /// Sends a unit and returns the engine connection that it waits for: the startup message has
    /// been received, the login is not over.
    fn dial_until_startup(&mut self, engine: &TcpListener, execution_id: ExecutionId) -> TcpStream {
        self.send_unit(0, execution_id, "select 1", None);
        let mut link = engine.accept().unwrap().0;
        self.receive_until(0, &mut link, b"user");
        link
    }

    /// Sends a unit and returns the engine connection on which it is in flight.
    fn start_unit(&mut self, engine: &TcpListener, execution_id: ExecutionId) -> TcpStream {
        let mut link = self.dial_until_startup(engine, execution_id);
        accept_login(&mut link);
        self.receive_until(0, &mut link, b"select 1");
        self.servers.events.clear();
        link
    }

    /// Sends the first part of a unit and returns the engine connection that has received it.
    fn start_first_part(&mut self, engine: &TcpListener) -> TcpStream {
        let account = self.servers.account(Account::default()).unwrap();
        let unit = Unit {
            session: 1,
            parts: vec![Rc::new(part(b"insert".to_vec()))],
            settings: Rc::default(),
            account,
            pin: None,
            terms: UNLIMITED,
        };
        self.servers.send(0, FIRST_EXECUTION, ENGINE_INDEX, unit);
        let mut link = engine.accept().unwrap().0;
        self.receive_until(0, &mut link, b"user");
        accept_login(&mut link);
        self.receive_until(0, &mut link, b"insert");
        link
    }

    /// The endings of executions since the last call.
    fn take_endings(&mut self) -> Vec<(ExecutionId, Ending)> {
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

/// A part of a unit that sends `bytes` to the engine.
fn part(bytes: Vec<u8>) -> UnitPart {
    let mut part = UnitPart::default();
    part.ops.push(Operation::Execute(0..bytes.len()));
    part.raw = bytes;
    part
}

fn accept_login(engine: &mut TcpStream) {
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

/// A bound socket that does not listen: dials to its address are refused, and nobody else can
/// listen there.
fn bound_socket() -> (Socket, SocketAddr) {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket
        .bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into())
        .unwrap();
    let at = socket.local_addr().unwrap().as_socket().unwrap();
    (socket, at)
}

/// A listener whose queue is filled by the connection returned with it: a further dial does not
/// come up.
fn full_listener() -> (Socket, TcpStream, SocketAddr) {
    let (socket, at) = bound_socket();
    socket.listen(0).unwrap();
    let first = TcpStream::connect(at).unwrap();
    (socket, first, at)
}

const FIRST_EXECUTION: ExecutionId = ExecutionId {
    ticket: 1,
    number: 0,
};

/// An entry of the list of engines.
fn listed(address: SocketAddr, available: bool) -> ListedEngine<'static> {
    ListedEngine {
        id: "a",
        address,
        started_ms: 0.0,
        available,
    }
}

#[test]
fn connection_established_during_a_stall_is_kept() {
    let (engine, at) = listener();
    let mut harness = ServersHarness::new(at);
    harness.send_unit(0, FIRST_EXECUTION, "select 1", None);
    let mut link = engine.accept().unwrap().0;
    harness.wait_for_unhandled_socket();
    harness.servers.expire(DIAL_TIMEOUT);
    assert_eq!(harness.take_endings(), []);
    harness.receive_until(DIAL_TIMEOUT, &mut link, b"user");
    accept_login(&mut link);
    harness.receive_until(DIAL_TIMEOUT, &mut link, b"select 1");
    assert_eq!(harness.take_endings(), []);
}

#[test]
fn login_received_during_a_stall_is_kept() {
    let (engine, at) = listener();
    let mut harness = ServersHarness::new(at);
    let mut link = harness.dial_until_startup(&engine, FIRST_EXECUTION);
    harness.ready_sockets();
    accept_login(&mut link);
    harness.wait_for_unhandled_socket();
    harness.servers.expire(LOGIN_TIMEOUT);
    assert_eq!(harness.take_endings(), []);
    harness.receive_until(LOGIN_TIMEOUT, &mut link, b"select 1");
    assert_eq!(harness.take_endings(), []);
}

#[test]
fn dial_failing_during_a_stall_keeps_its_own_ending() {
    let (_closed, at) = bound_socket();
    let mut harness = ServersHarness::new(at);
    harness.send_unit(0, FIRST_EXECUTION, "select 1", None);
    // Some systems report the failure at once.
    if harness.servers.events.is_empty() {
        harness.wait_for_unhandled_socket();
    }
    harness.servers.expire(1_000_000);
    assert_eq!(
        harness.take_endings(),
        [(FIRST_EXECUTION, Ending::ConnectionRefused)]
    );
}

#[test]
fn dial_timeout_ends_waiting_execution_once() {
    let (_engine, _first, at) = full_listener();
    let mut harness = ServersHarness::new(at);
    harness.send_unit(0, FIRST_EXECUTION, "select 1", None);
    harness.handle_ready_sockets(0);
    harness.servers.expire(DIAL_TIMEOUT - 1);
    assert_eq!(harness.take_endings(), []);
    assert!(harness.servers.due() <= DIAL_TIMEOUT);
    harness.servers.expire(DIAL_TIMEOUT);
    assert_eq!(
        harness.take_endings(),
        [(FIRST_EXECUTION, Ending::ConnectTimeout)]
    );
    harness.servers.expire(2 * DIAL_TIMEOUT);
    assert_eq!(harness.take_endings(), []);
    assert!(harness.servers.connections.is_empty() && harness.servers.connecting.is_empty());
    assert!(!harness.servers.has_execution(FIRST_EXECUTION));
}

#[test]
fn login_timeout_ends_waiting_execution_once() {
    let (engine, at) = listener();
    let mut harness = ServersHarness::new(at);
    let mut link = harness.dial_until_startup(&engine, FIRST_EXECUTION);
    harness.servers.expire(LOGIN_TIMEOUT - 1);
    assert_eq!(harness.take_endings(), []);
    harness.servers.expire(LOGIN_TIMEOUT);
    assert_eq!(
        harness.take_endings(),
        [(FIRST_EXECUTION, Ending::ConnectTimeout)]
    );
    harness.servers.expire(2 * LOGIN_TIMEOUT);
    assert_eq!(harness.take_endings(), []);
    // Nothing of the unit was sent.
    let received = harness.receive_until(LOGIN_TIMEOUT, &mut link, b"");
    assert!(
        !String::from_utf8_lossy(&received).contains("select"),
        "{received:?}"
    );
}

#[test]
fn unit_waiting_for_settings_is_withdrawn_when_engine_drains() {
    let (engine, at) = listener();
    let mut harness = ServersHarness::new(at);
    let set = BTreeMap::from([(
        "search_path".to_string(),
        "SET search_path = 'own'".to_string(),
    )]);
    let mut part = part(b"select 1".to_vec());
    (part.commits_transaction, part.ends_unit) = (true, true);
    let (settings, parts) = (Rc::new(SessionSettings(set)), vec![Rc::new(part)]);
    let account = harness.servers.account(Account::default()).unwrap();
    let unit = Unit {
        session: 1,
        parts,
        settings,
        account,
        pin: None,
        terms: UNLIMITED,
    };
    harness.servers.send(0, FIRST_EXECUTION, ENGINE_INDEX, unit);
    let mut link = engine.accept().unwrap().0;
    harness.receive_until(0, &mut link, b"user");
    accept_login(&mut link);
    harness.receive_until(0, &mut link, b"search_path");
    let left = |event: &Event| matches!(event, Event::Irrevocable(_));
    assert!(!harness.servers.events.iter().any(left));
    harness
        .servers
        .update_engine(ENGINE_INDEX, listed(at, false));
    assert_eq!(
        harness.take_endings(),
        [(FIRST_EXECUTION, Ending::Withdrawn)]
    );
    let received = harness.receive_until(0, &mut link, b"");
    assert!(
        !String::from_utf8_lossy(&received).contains("select 1"),
        "{received:?}"
    );
}

/// Guards against a repeat of a non-idempotent unit whose COMMIT comes after a Flush: it was taken
/// for one that never ran until the last byte of its last part had left.
#[test]
fn commit_after_flush_may_have_run_once_part_of_it_has_left() {
    let (engine, at) = listener();
    let mut harness = ServersHarness::new(at);
    let mut link = harness.start_first_part(&engine);
    let mut bytes = b"commit".to_vec();
    bytes.resize(OVERSIZED_PART_BYTES, b'x');
    let mut last_part = part(bytes);
    (last_part.commits_transaction, last_part.may_commit) = (true, true);
    last_part.ends_unit = true;
    harness
        .servers
        .append_part(FIRST_EXECUTION, Rc::new(last_part));
    harness.receive_until(0, &mut link, b"commit");
    let left = |event: &Event| matches!(event, Event::Irrevocable(_));
    assert!(
        !harness.servers.events.iter().any(left),
        "the whole unit fits into the buffers"
    );
    drop(link);
    harness.run_until(0, "the end of the execution", |servers| {
        let is_end = |event: &Event| matches!(event, Event::Ended { .. });
        servers.events.iter().any(is_end).then_some(())
    });
    assert_eq!(harness.take_endings(), [(FIRST_EXECUTION, Ending::Reset)]);
}

/// Guards against a next load of the same order key beside a unit that may still run: its first part
/// had left, and it was withdrawn as unsent because a further part of it had not.
#[test]
fn abandoned_unit_is_not_withdrawn_once_its_first_part_has_left() {
    let (engine, at) = listener();
    let mut harness = ServersHarness::new(at);
    let _link = harness.start_first_part(&engine);
    let mut last_part = part(b"sync".to_vec());
    last_part.ends_unit = true;
    harness
        .servers
        .append_part(FIRST_EXECUTION, Rc::new(last_part));
    harness.servers.abandon(0, FIRST_EXECUTION.ticket);
    assert_eq!(harness.take_endings(), []);
    assert!(harness.servers.has_execution(FIRST_EXECUTION));
}
