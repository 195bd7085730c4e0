//! Engines whose machine takes no connections for a while: a dial to them stays pending, neither up nor refused.
//!
//! The queue of the listener is filled, so that the system drops whoever else would connect; who was dropped tries
//! again by itself about a second of the machine's time later. The front's clock stands still meanwhile.

use std::net::{SocketAddr, TcpStream};
use std::sync::{Condvar, Mutex};
use std::time::{Duration, Instant};

use socket2::SockRef;

use crate::{Scenario, WAIT_TIMEOUT};

const LISTEN_BACKLOG: i32 = 128; // connections that a listener holds untaken; with none agreed the system still holds one
const POLL_INTERVAL: Duration = Duration::from_millis(1);

/// Where an engine's connections are taken, one after the other.
#[derive(Default)]
pub struct DialGate {
    state: Mutex<GateState>,
    changed: Condvar,
}

#[derive(Default)]
struct GateState {
    closed: bool,
    /// A dial is held at the shut gate.
    has_waiting_dial: bool,
}

impl DialGate {
    /// Lets a connection through, as soon as the gate is open.
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
    /// From now on a dial to an engine stays pending.
    pub fn stop_accepting(&mut self, name: &str) {
        let engine = &self.engines[name];
        engine.dial_gate.set_closed(true);
        SockRef::from(engine.listener.as_ref().unwrap())
            .listen(0)
            .unwrap();
        // One is accepted and held at the gate, the next fills the queue.
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

    /// Waits until there is a pending dial to an engine, or none any more.
    pub fn wait_for_dial_state(&mut self, name: &str, pending: bool) {
        let (address, started) = (self.engines[name].address, Instant::now());
        while is_pending(address) != pending {
            assert!(
                started.elapsed() < WAIT_TIMEOUT,
                "a dial to {name} that is pending: {}",
                !pending
            );
            std::thread::sleep(POLL_INTERVAL);
        }
        self.settle();
    }
}

/// Whether the system has a connection to an address that is still coming up.
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
