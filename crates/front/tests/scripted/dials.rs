//! Engines whose machine takes no connections for a while: a dial to them stays pending, neither up nor refused.
//!
//! The queue of the listener is filled, so that the system drops whoever else would connect; who was dropped tries
//! again by itself about a second of the machine's time later. The front's clock stands still meanwhile.

use std::net::{SocketAddr, TcpStream};
use std::sync::{Condvar, Mutex};
use std::time::{Duration, Instant};

use socket2::SockRef;

use crate::{Scenario, PATIENCE};

const QUEUE: i32 = 128; // connections that a listener holds untaken; with none agreed the system still holds one
const LOOK: Duration = Duration::from_millis(1);

/// Where an engine's connections are taken, one after the other.
#[derive(Default)]
pub struct DialGate {
    state: Mutex<Passes>,
    changed: Condvar,
}

#[derive(Default)]
struct Passes {
    shut: bool,
    /// A dial is held at the shut gate.
    waits: bool,
}

impl DialGate {
    /// Lets a connection through, as soon as the gate is open.
    pub fn pass(&self) {
        let mut state = self.state.lock().unwrap();
        while state.shut {
            state.waits = true;
            self.changed.notify_all();
            state = self.changed.wait(state).unwrap();
        }
        state.waits = false;
    }

    fn shut(&self, shut: bool) {
        self.state.lock().unwrap().shut = shut;
        self.changed.notify_all();
    }

    fn holds_a_dial(&self) -> bool {
        let guard = self.state.lock().unwrap();
        let (state, _) = self
            .changed
            .wait_timeout_while(guard, PATIENCE, |state| !state.waits)
            .unwrap();
        state.waits
    }
}

impl Scenario {
    /// From now on a dial to an engine stays pending.
    pub fn accepts_nothing(&mut self, name: &str) {
        let engine = &self.engines[name];
        engine.dial_gate.shut(true);
        SockRef::from(engine.listener.as_ref().unwrap())
            .listen(0)
            .unwrap();
        // One is accepted and held at the gate, the next fills the queue.
        let first = TcpStream::connect(engine.at).unwrap();
        assert!(engine.dial_gate.holds_a_dial());
        let second = TcpStream::connect_timeout(&engine.at, PATIENCE).unwrap();
        self.fillers.insert(name.to_string(), vec![first, second]);
    }

    pub fn accepts_again(&mut self, name: &str) {
        self.fillers.remove(name);
        let engine = &self.engines[name];
        SockRef::from(engine.listener.as_ref().unwrap())
            .listen(QUEUE)
            .unwrap();
        engine.dial_gate.shut(false);
    }

    /// Waits until there is a pending dial to an engine, or none any more.
    pub fn is_dialled(&mut self, name: &str, pending: bool) {
        let (at, begun) = (self.engines[name].at, Instant::now());
        while is_pending(at) != pending {
            assert!(
                begun.elapsed() < PATIENCE,
                "a dial to {name} that is pending: {}",
                !pending
            );
            std::thread::sleep(LOOK);
        }
        self.settles();
    }
}

/// Whether the system has a connection to an address that is still coming up.
fn is_pending(to: SocketAddr) -> bool {
    const SYN_SENT: &str = "02";
    let address = format!("0100007F:{:04X}", to.port());
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
    let pending = |line: &str| {
        let words: Vec<&str> = line.split_whitespace().collect();
        words.get(2) == Some(&address.as_str()) && words.get(3) == Some(&SYN_SENT)
    };
    table.lines().any(pending)
}
