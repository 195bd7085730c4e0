//! Unit tests of the `event_loop` module.

use std::collections::HashMap;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::time::Instant;

use calloop::EventLoop;
use hallmux_config::NodeConfig;
use hallmux_postgres::wire;
use serde_json::{json, Value};

use super::*;
use crate::clients::tests::frame;
use crate::start_error::StartError;

#[path = "busy_clients_tests.rs"]
mod busy_clients;
#[path = "postgres/engine_endings_tests.rs"]
mod engine_endings;
#[path = "postgres/in_doubt_tests.rs"]
mod in_doubt;
#[path = "input_limit_tests.rs"]
mod input_limit;
#[path = "postgres/session_close_tests.rs"]
mod session_close;
#[path = "postgres/session_settings_tests.rs"]
mod session_settings;
#[path = "postgres/session_shutdown_tests.rs"]
mod session_shutdown;
#[path = "postgres/session_units_tests.rs"]
mod session_units;
#[path = "postgres/unit_parts_tests.rs"]
mod unit_parts;

const WAIT_LIMIT: Duration = Duration::from_secs(20);
const START: Micros = 1_800_000_000_000_000; // Unix microseconds
const CLOSE_TIME: Micros = START + 700_000; // after SIGTERM at START, the listener is due to close
const SLO_TIME_MS: u32 = 2000; // default SLO time of statements in milliseconds
const ITERATIONS_BEFORE_CLOSE: usize = 3; // iterations after CLOSE_TIME in which the listener is still open

/// A front whose iterations and clock are driven by the test instead of an event loop.
pub(super) struct FrontHarness {
    pub(super) front: EventLoopState,
    events: EventLoop<'static, LoopEvents>,
    pub(super) listen_address: SocketAddr,
    session_address: SocketAddr,
    files: [PathBuf; 2],
}

impl Drop for FrontHarness {
    fn drop(&mut self) {
        self.files
            .iter()
            .for_each(|path| _ = std::fs::remove_file(path));
    }
}

impl FrontHarness {
    /// Starts a front with one engine that speaks PostgreSQL.
    fn new(name: &str, engine: SocketAddr, cancelling: bool) -> FrontHarness {
        FrontHarness::with_limits(name, engine, cancelling, "")
    }

    /// Starts a front like `new`, with session limits in the notation of the operator's file.
    fn with_limits(name: &str, engine: SocketAddr, cancelling: bool, limits: &str) -> FrontHarness {
        let settings = (
            json!({"cancelling": cancelling}),
            lookup_workload(SLO_TIME_MS),
        );
        FrontHarness::start(name, &[engine], &operator_file(limits), settings).unwrap()
    }

    /// Starts a front with several engines, the settings' bounds, and the SLO time of statements.
    fn with_engines(
        name: &str,
        engines: &[SocketAddr],
        bounds: Value,
        slo_time_ms: u32,
    ) -> FrontHarness {
        FrontHarness::start(
            name,
            engines,
            &operator_file(""),
            (bounds, lookup_workload(slo_time_ms)),
        )
        .unwrap()
    }

    /// Starts a front with an operator's file, and the settings' bounds and workloads.
    pub(super) fn start(
        name: &str,
        engines: &[SocketAddr],
        operator: &str,
        (bounds, workloads): (Value, Value),
    ) -> Result<FrontHarness, StartError> {
        let file = |kind: &str| {
            std::env::temp_dir().join(format!("hallmux-{name}-{}.{kind}", std::process::id()))
        };
        let files = [file("clock"), file("json5")];
        std::fs::write(&files[1], operator).unwrap();
        let variables = [
            ("HALLMUX_CLOCK", &files[0]),
            ("HALLMUX_OPERATOR", &files[1]),
        ];
        let variables: HashMap<String, String> = variables
            .iter()
            .map(|(name, path)| (name.to_string(), path.display().to_string()))
            .collect();
        let server = |(n, engine): (usize, &SocketAddr)| {
            json!({"id": format!("e{n}"), "addr": engine.to_string(), "zone": "here", "kind": "std",
                "cell": 0, "state": "up", "weight": 1, "started_ms": 0})
        };
        let servers: Vec<Value> = engines.iter().enumerate().map(server).collect();
        let list = json!({"version": 1, "full": true, "servers": servers});
        let known = json!({"index": 1, "updates": [{"index": 1, "endpoints": list}]});
        let text = json!({"name": "n1", "listen": "127.0.0.1:0", "seed": "1", "known": known, "settings": {
            "instances": 1, "areas": ["here"], "kinds": ["std"], "customers": [{"name": "acme"}], "rules": {},
            "bounds": bounds, "requestClasses": workloads}});
        write_clock(&files[0], START);
        let config = NodeConfig::parse(&variables, &text.to_string()).unwrap();
        let known =
            hallmux_native_codec::coordinator::events(config.known_events.as_bytes()).unwrap();
        let events = EventLoop::try_new().unwrap();
        let listener = TcpListener::bind(config.listen).unwrap();
        let listen_address = listener.local_addr().unwrap();
        let front = EventLoopState::new(&config, &known, listener, events.handle())?;
        let session_address = front
            .gateway
            .as_ref()
            .and_then(Gateway::address)
            .unwrap_or(listen_address);
        Ok(FrontHarness {
            front,
            events,
            listen_address,
            session_address,
            files,
        })
    }

    /// Runs the graceful shutdown up to the iteration before the listeners are closed.
    fn advance_to_listener_close(&mut self) {
        self.front.shut_down();
        write_clock(&self.files[0], CLOSE_TIME);
        (0..ITERATIONS_BEFORE_CLOSE).for_each(|_| self.front.run_iteration());
        assert!(self.front.listener.is_open());
    }

    /// Waits for input and reads it without running the rest of the iteration. Returns the kinds of the ready sockets.
    fn read_ready_sockets(&mut self) -> Vec<SocketKind> {
        let mut changes = self.wait_for_events();
        let found = changes.ready.iter().map(|socket| socket.kind).collect();
        changes
            .ready
            .drain(..)
            .for_each(|socket| self.front.handle_ready_socket(socket));
        found
    }

    /// Runs one iteration, as `main` does.
    pub(super) fn run_iteration(&mut self) {
        let mut changes = LoopEvents::default();
        self.events.dispatch(Duration::ZERO, &mut changes).unwrap();
        changes
            .ready
            .drain(..)
            .for_each(|socket| self.front.handle_ready_socket(socket));
        self.front.run_iteration();
    }

    /// Waits for ready sockets without handling them.
    fn wait_for_events(&mut self) -> LoopEvents {
        let (started, mut changes) = (Instant::now(), LoopEvents::default());
        while changes.ready.is_empty() {
            assert!(started.elapsed() < WAIT_LIMIT, "no socket became ready");
            self.events.dispatch(Duration::ZERO, &mut changes).unwrap();
        }
        changes
    }

    /// Runs iterations until a condition holds, and returns its value.
    pub(super) fn run_until<T>(
        &mut self,
        what: &str,
        mut condition: impl FnMut(&EventLoopState) -> Option<T>,
    ) -> T {
        let started = Instant::now();
        loop {
            if let Some(found) = condition(&self.front) {
                return found;
            }
            assert!(started.elapsed() < WAIT_LIMIT, "{what}");
            self.run_iteration();
        }
    }

    /// Runs iterations until a peer can read. Returns the bytes read, none at the end of the connection.
    fn receive(&mut self, peer: &mut TcpStream) -> Vec<u8> {
        peer.set_nonblocking(true).unwrap();
        let mut received = vec![0; 4096];
        self.run_until("an answer", |_| match peer.read(&mut received) {
            Ok(len) => Some(received[..len].to_vec()),
            Err(e) => {
                assert_eq!(e.kind(), ErrorKind::WouldBlock, "{e}");
                None
            }
        })
    }

    /// Runs iterations until a peer has received `text`. Returns all received text, lossily decoded.
    pub(super) fn receive_until(&mut self, peer: &mut TcpStream, text: &str) -> String {
        let mut all = String::new();
        while !all.contains(text) {
            let received = self.receive(peer);
            assert!(
                !received.is_empty(),
                "the connection ended without {text} after {all:?}"
            );
            all += &String::from_utf8_lossy(&received);
        }
        all
    }

    /// Opens a session and completes its startup.
    fn open_session(&mut self) -> TcpStream {
        let mut session = TcpStream::connect(self.session_address).unwrap();
        send_startup(&mut session, "portal");
        self.receive_until(&mut session, "Z\0\0\0\x05I");
        session
    }

    /// Accepts the front's next connection to the engine and reads its startup message, without answering it.
    fn accept_dial(&mut self, engine: &TcpListener) -> TcpStream {
        engine.set_nonblocking(true).unwrap();
        let mut stream = self.run_until("a dial", |_| engine.accept().ok()).0;
        self.receive_until(&mut stream, "user");
        stream
    }
}

/// An operator's file that enables sessions, with limits for them.
fn operator_file(limits: &str) -> String {
    format!(
        "{{ postgres: {{ listen: '127.0.0.1:0', engines: [{{ kinds: ['std'] }}], \
         users: {{ portal: {{ trust: true, member: 'acme', workload: 'lookup' }} }}, limits: {{ {limits} }} }} }}"
    )
}

/// A workload with an SLO time.
fn lookup_workload(slo_time_ms: u32) -> Value {
    json!([{"name": "lookup", "aimMs": slo_time_ms, "deadlineMs": 8000, "repeat": "repeatable"}])
}

fn send_startup(session: &mut TcpStream, user: &str) {
    let mut out = Vec::new();
    wire::write_startup(&mut out, &[("user", user), ("database", "x")]);
    session.write_all(&out).unwrap();
}

fn send_query(session: &mut TcpStream, text: &str) {
    let mut out = Vec::new();
    wire::write_query(&mut out, text.as_bytes());
    session.write_all(&out).unwrap();
}

fn accept_login(engine: &mut TcpStream) {
    let mut out = Vec::new();
    wire::write(&mut out, b'R', |out| out.extend_from_slice(&[0; 4]));
    wire::write_backend_key(
        &mut out,
        wire::CancelKey {
            process: 1,
            secret: 1,
        },
    );
    wire::write_ready(&mut out, b'I');
    engine.write_all(&out).unwrap();
}

fn send_completion(engine: &mut TcpStream, tag: &str, status: u8) {
    let mut out = Vec::new();
    wire::write_complete(&mut out, tag);
    wire::write_ready(&mut out, status);
    engine.write_all(&out).unwrap();
}

pub(super) fn listener() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let at = listener.local_addr().unwrap();
    (listener, at)
}

fn write_clock(path: &PathBuf, time: Micros) {
    std::fs::write(path, [time, 0, 0, 0].map(i64::to_le_bytes).concat()).unwrap();
}

#[test]
fn client_connecting_just_before_listener_close_is_answered() {
    let (_engine, at) = listener();
    let mut harness = FrontHarness::new("last-client", at, true);
    harness.advance_to_listener_close();
    // The event loop has not reported the client: it is only in the listener's queue.
    let mut client = TcpStream::connect(harness.listen_address).unwrap();
    client.write_all(&frame(7, "select 7")).unwrap();
    harness.front.run_iteration();
    assert!(!harness.front.listener.is_open());
    let received = harness.receive(&mut client);
    // A reply to number 7 with its second field: rejected.
    let reply = [
        &[0x80, 1, 0, 2, 0, 0, 0, 5][..],
        b"serve",
        &[0, 0, 0, 7, 12, 0, 1],
    ]
    .concat();
    assert!(
        received.len() > 4 && received[4..].starts_with(&reply),
        "{received:?}"
    );
    // An orderly end of the connection follows.
    assert!(harness.receive(&mut client).is_empty());
}

#[test]
fn request_racing_close_of_idle_connection_is_answered() {
    let (_engine, at) = listener();
    let mut harness = FrontHarness::new("resting-client", at, true);
    let mut client = TcpStream::connect(harness.listen_address).unwrap();
    // An unusable statement is answered at once; then the connection is idle.
    client.write_all(&frame(6, "")).unwrap();
    assert!(!harness.receive(&mut client).is_empty());
    harness.advance_to_listener_close();
    // The request has arrived before the front closes idle connections, but the event loop reports it only afterwards.
    client.write_all(&frame(7, "select 7")).unwrap();
    let mut changes = harness.wait_for_events();
    harness.front.run_iteration();
    assert!(!harness.front.listener.is_open());
    changes
        .ready
        .drain(..)
        .for_each(|socket| harness.front.handle_ready_socket(socket));
    let received = harness.receive(&mut client);
    let reply = [
        &[0x80, 1, 0, 2, 0, 0, 0, 5][..],
        b"serve",
        &[0, 0, 0, 7, 12, 0, 1],
    ]
    .concat();
    assert!(
        received.len() > 4 && received[4..].starts_with(&reply),
        "{received:?}"
    );
    assert!(harness.receive(&mut client).is_empty());
}

#[test]
fn session_connecting_just_before_listener_close_receives_shutdown_error() {
    let (_engine, at) = listener();
    let mut harness = FrontHarness::new("last-session", at, true);
    harness.advance_to_listener_close();
    let mut session = TcpStream::connect(harness.session_address).unwrap();
    harness.front.run_iteration();
    let received = harness.receive(&mut session);
    assert!(
        received.starts_with(b"E") && received.windows(5).any(|code| code == b"57P01"),
        "{received:?}"
    );
    assert!(harness.receive(&mut session).is_empty());
}

#[test]
fn unit_arriving_just_before_idle_session_close_is_answered() {
    let (_engine, at) = listener();
    let mut harness = FrontHarness::new("last-unit", at, true);
    let mut session = harness.open_session();
    harness.advance_to_listener_close();
    send_query(&mut session, "SET hallmux.workload = 'lookup'");
    harness.front.run_iteration();
    let received = harness.receive_until(&mut session, "57P01");
    assert!(received.starts_with("C\0\0\0\x08SET\0Z"), "{received:?}");
    assert!(harness.receive(&mut session).is_empty());
}

#[test]
fn unit_waiting_for_engine_connection_is_not_sent_after_session_disconnects() {
    let (engine, at) = listener();
    // The settings do not allow cancelling executions.
    let mut harness = FrontHarness::new("left-session", at, false);
    let mut first = harness.open_session();
    send_query(&mut first, "select 1");
    let mut link = harness.accept_dial(&engine);
    drop(first);
    harness.run_until("the session is closed", |front| {
        (front.gateway.as_ref()?.len() == 0).then_some(())
    });
    accept_login(&mut link);
    let mut second = harness.open_session();
    send_query(&mut second, "select 2");
    let received = harness.receive_until(&mut link, "select");
    assert!(
        received.contains("select 2") && !received.contains("select 1"),
        "{received:?}"
    );
}

#[test]
fn unit_dispatched_on_stale_read_is_not_sent_after_session_disconnects() {
    let (engine, at) = listener();
    let mut harness = FrontHarness::new("stale-session", at, true);
    let mut session = harness.open_session();
    send_query(&mut session, "select 1");
    let mut link = harness.accept_dial(&engine);
    accept_login(&mut link);
    harness.receive_until(&mut link, "select 1");
    send_completion(&mut link, "SELECT 0", b'I');
    harness.receive_until(&mut session, "SELECT 0");
    send_query(&mut session, "select 2");
    // The statement is read, then the front is stalled, and then it decides.
    harness.read_ready_sockets();
    write_clock(&harness.files[0], START + 30_000);
    harness.front.run_iteration();
    assert!(harness.front.flush_deferred);
    drop(session);
    // The connection that the unit was written to is closed with the session.
    let received = harness.receive(&mut link);
    assert!(
        received.is_empty(),
        "{}",
        String::from_utf8_lossy(&received)
    );
}

#[test]
fn unit_arriving_just_before_idle_session_eviction_is_answered() {
    let (_engine, at) = listener();
    let mut harness = FrontHarness::new("room", at, true);
    let mut session = harness.open_session();
    harness.front.max_clients = 1;
    write_clock(&harness.files[0], START + 2_000_000);
    send_query(&mut session, "SET hallmux.workload = 'lookup'");
    let _newcomer = TcpStream::connect(harness.session_address).unwrap();
    // The event loop reports only the new connection.
    harness
        .front
        .handle_ready_socket(SocketKind::SessionListener.id(0));
    harness.front.run_iteration();
    assert_eq!(harness.front.gateway.as_ref().map(Gateway::len), Some(1));
    harness.receive_until(&mut session, "SET\0");
}

#[test]
fn session_with_partial_message_does_not_delay_shutdown() {
    let (_engine, at) = listener();
    let mut harness = FrontHarness::new("half-unit", at, true);
    let mut session = harness.open_session();
    session.write_all(b"Q\0\0\0\x20select").unwrap();
    harness.run_until("the partial message is read", |front| {
        (front.gateway.as_ref()?.held_bytes() > 0).then_some(())
    });
    harness.advance_to_listener_close();
    harness.front.run_iteration();
    write_clock(&harness.files[0], CLOSE_TIME + 2_500_000);
    harness.receive_until(&mut session, "57P01");
    // The client does not close its side, which delays the shutdown no longer than the connection may linger.
    assert!(harness.receive(&mut session).is_empty());
    write_clock(
        &harness.files[0],
        CLOSE_TIME + 2_500_000 + session_close::SHUTDOWN_LINGER_TIME,
    );
    harness.run_iteration();
    assert!(harness.front.is_done());
}
