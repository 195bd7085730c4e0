//! Engines whose machines accept no connections for a while: a dial stays pending, neither up nor refused.
//!
//! The listener's queue is filled, so that the system drops further connection attempts; the client's system
//! repeats them about a second of real time later. The front's clock does not advance meanwhile.

use std::net::{SocketAddr, TcpStream};
use std::sync::{Condvar, Mutex};
use std::time::{Duration, Instant};

use socket2::SockRef;

use crate::{Scenario, WAIT_TIMEOUT};

const LISTEN_BACKLOG: i32 = 128; // connections that a listener queues unaccepted; with a backlog of 0 the system still queues one
const POLL_INTERVAL: Duration = Duration::from_millis(1);

/// Holds back the accept loop of an engine while it is closed.
#[derive(Default)]
pub struct DialGate {
    state: Mutex<GateState>,
    changed: Condvar,
}

#[derive(Default)]
struct GateState {
    closed: bool,
    /// An accepted connection waits for the gate to open.
    has_waiting_dial: bool,
}

impl DialGate {
    /// Blocks until the gate is open.
    pub fn wait_until_open(&self) {
        let mut state = self.state.lock().unwrap();
        while state.closed {
            state.has_waiting_dial = true;
            self.changed.notify_all();
            state = self.changed.wait(state).unwrap();
        }
        state.has_waiting_dial = false;
    }

    fn set_closed(&self, closed: bool) {
        self.state.lock().unwrap().closed = closed;
        self.changed.notify_all();
    }

    fn wait_for_dial(&self) -> bool {
        let guard = self.state.lock().unwrap();
        let (state, _) = self
            .changed
            .wait_timeout_while(guard, WAIT_TIMEOUT, |state| !state.has_waiting_dial)
            .unwrap();
        state.has_waiting_dial
    }
}

impl Scenario {
    /// Makes further dials to an engine stay pending.
    pub fn stop_accepting(&mut self, name: &str) {
        let engine = &self.engines[name];
        engine.dial_gate.set_closed(true);
        SockRef::from(engine.listener.as_ref().unwrap())
            .listen(0)
            .unwrap();
        // One connection is accepted and held at the gate, the next one fills the queue.
        let first = TcpStream::connect(engine.address).unwrap();
        assert!(engine.dial_gate.wait_for_dial());
        let second = TcpStream::connect_timeout(&engine.address, WAIT_TIMEOUT).unwrap();
        self.fillers.insert(name.to_string(), vec![first, second]);
    }

    pub fn resume_accepting(&mut self, name: &str) {
        self.fillers.remove(name);
        let engine = &self.engines[name];
        SockRef::from(engine.listener.as_ref().unwrap())
            .listen(LISTEN_BACKLOG)
            .unwrap();
        engine.dial_gate.set_closed(false);
    }

    /// Waits until a dial to an engine is pending, or until none is.
    pub fn wait_for_dial_state(&mut self, name: &str, pending: bool) {
        let (address, started) = (self.engines[name].address, Instant::now());
        while is_pending(address) != pending {
            assert!(
                started.elapsed() < WAIT_TIMEOUT,
                "a dial to {name} is pending: {}",
                !pending
            );
            std::thread::sleep(POLL_INTERVAL);
        }
        self.settle();
    }
}

/// Whether the system has a connection to an address in state SYN_SENT.
fn is_pending(address: SocketAddr) -> bool {
    const SYN_SENT: &str = "02";
    let hex_address = format!("0100007F:{:04X}", address.port());
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
    let pending = |line: &str| {
        let words: Vec<&str> = line.split_whitespace().collect();
        words.get(2) == Some(&hex_address.as_str()) && words.get(3) == Some(&SYN_SENT)
    };
    table.lines().any(pending)
}
