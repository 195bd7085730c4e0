//! What engines did, recorded as it happens.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Instant;

use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;

use super::wire_events::WireEvent;
use crate::rig::death::DeathStep;
use crate::rig::scenario::Step;

/// Something an engine did; times are microseconds since the rig began.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineEvent {
    pub at: i64,
    pub engine: usize,
    pub link: u32,
    pub kind: EngineEventKind,
}

#[derive(Clone, Debug, PartialEq)]
pub enum EngineEventKind {
    /// The statement with this id and order key started.
    Began { id: String, key: String },
    /// The statement ended on the engine, with or without effect.
    Ended { id: String },
    /// The effect of the statement became lasting.
    Kept { id: String },
    /// A cancel request found this statement running, or none.
    Cancelled { id: Option<String> },
    /// A statement ran that only changes settings or the state of a transaction.
    Control { text: String },
}

/// The records of all engines of a rig.
pub struct Records {
    pub since: Instant,
    /// What the engines did, in the order in which it was recorded.
    pub engine_events: Mutex<Vec<EngineEvent>>,
    /// The front behind each connection to an engine, by the relay's address and the engine's: one
    /// port of the relay may lead to several engines.
    peers: Mutex<HashMap<(SocketAddr, SocketAddr), usize>>,
    /// The front that sent what an engine recorded under this link number.
    pub sent_by: Mutex<HashMap<(usize, u32), usize>>,
    /// The relay's port and the statement id under which the execution with this link number
    /// arrived.
    pub arrivals: Mutex<HashMap<(usize, u32), (u16, String)>>,
    /// The messages on the connections between fronts and engines.
    pub wire_events: Mutex<Vec<WireEvent>>,
    /// Statements sent to any engine, by front and by the id that the front used.
    dispatched: Mutex<HashSet<(usize, Vec<u8>)>>,
    armed: Mutex<Option<Armed>>,
    /// Fronts killed at a step of a ledger entry, with the step and the time.
    pub steps: Mutex<Vec<(Step, usize, i64)>>,
}

/// A front that is to be killed at a step of a ledger entry.
pub struct Armed {
    pub death: DeathStep,
    pub pid: u32,
}

impl Records {
    pub fn new() -> Arc<Records> {
        Arc::new(Records {
            since: Instant::now(),
            engine_events: Mutex::default(),
            peers: Mutex::default(),
            sent_by: Mutex::default(),
            arrivals: Mutex::default(),
            wire_events: Mutex::default(),
            dispatched: Mutex::default(),
            armed: Mutex::default(),
            steps: Mutex::default(),
        })
    }

    /// Records the statements in a chunk that a front sends towards an engine. A statement whose
    /// request is split between two chunks counts as an attempt only.
    pub fn note_dispatch(&self, front: usize, chunk: &[u8]) {
        const VERB: &[u8] = b"want ";
        let Ok(mut dispatched) = self.dispatched.lock() else {
            return;
        };
        for at in chunk
            .windows(VERB.len())
            .enumerate()
            .filter(|(_, w)| *w == VERB)
            .map(|(at, _)| at)
        {
            let rest = &chunk[at + VERB.len()..];
            if let Some(end) = rest.iter().position(|byte| *byte == b' ') {
                dispatched.insert((front, rest[..end].to_vec()));
            }
        }
    }

    /// Returns the number of statements sent to any engine at least once, counted per front.
    pub fn dispatched_statements(&self) -> i64 {
        self.dispatched
            .lock()
            .map_or(0, |dispatched| dispatched.len() as i64)
    }

    pub fn now(&self) -> i64 {
        self.since.elapsed().as_micros() as i64
    }

    /// Records what a relay has read.
    pub fn note_wire_event(&self, event: WireEvent) {
        if let Ok(mut events) = self.wire_events.lock() {
            events.push(event);
        }
    }

    /// Records the connection and the statement id under which an execution arrived.
    pub fn note_arrival(&self, engine: usize, link: u32, (at, id): (SocketAddr, &str)) {
        if let Ok(mut came) = self.arrivals.lock() {
            came.insert((engine, link), (at.port(), id.to_string()));
        }
    }

    /// Records that a front's relay opened this connection to an engine.
    pub fn note_connection(&self, at: SocketAddr, engine: SocketAddr, front: usize) {
        if let Ok(mut peers) = self.peers.lock() {
            peers.insert((at, engine), front);
        }
    }

    /// Returns the front behind a connection.
    pub fn front_of(&self, at: SocketAddr, engine: SocketAddr) -> Option<usize> {
        self.peers.lock().ok()?.get(&(at, engine)).copied()
    }

    /// Sets the front to be killed at a step, or clears it.
    pub fn arm(&self, armed: Option<Armed>) {
        if let Ok(mut now) = self.armed.lock() {
            *now = armed;
        }
    }

    pub fn is_armed(&self) -> bool {
        self.armed.lock().is_ok_and(|armed| armed.is_some())
    }

    /// Reports that a front has reached a step of a ledger entry; returns true if the front was
    /// killed at it.
    pub fn step_reached(&self, step: Step, front: usize) -> bool {
        let Ok(mut now) = self.armed.lock() else {
            return false;
        };
        let Some(armed) = now.as_mut() else {
            return false;
        };
        if !armed.death.record_step(step, front) {
            return false;
        }
        // The time is taken before the kill: everything its clients lose by it is lost later.
        let at = self.now();
        let _ = kill(Pid::from_raw(armed.pid as i32), Signal::SIGKILL);
        *now = None;
        if let Ok(mut steps) = self.steps.lock() {
            steps.push((step, front, at));
        }
        true
    }

    pub(super) fn note(&self, engine: usize, link: u32, kind: EngineEventKind) {
        let event = EngineEvent {
            at: self.now(),
            engine,
            link,
            kind,
        };
        if let Ok(mut engine_events) = self.engine_events.lock() {
            engine_events.push(event);
        }
    }
}

#[cfg(test)]
#[path = "record_tests.rs"]
mod tests;
