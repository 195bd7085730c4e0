//! What engines did, written down as it happens.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Instant;

use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;

use super::wire_events::WireEvent;
use crate::rig::death::DeathStep;
use crate::rig::scenario::Step;

/// What an engine did; times are microseconds since the rig began.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineEvent {
    pub at: i64,
    pub engine: usize,
    pub link: u32,
    pub kind: EngineEventKind,
}

#[derive(Clone, Debug, PartialEq)]
pub enum EngineEventKind {
    /// A statement by its id began to run, with its order key.
    Began { id: String, key: String },
    /// It is over on the engine, with or without effect.
    Ended { id: String },
    /// Its effect is lasting.
    Kept { id: String },
    /// A request to cancel found this statement, or none, running.
    Cancelled { id: Option<String> },
    /// A statement ran that only changes settings, or a transaction's state.
    Control { text: String },
}

/// The records of all engines of a rig.
pub struct Records {
    pub since: Instant,
    /// What the engines did, in the order in which it was written down.
    pub engine_events: Mutex<Vec<EngineEvent>>,
    /// The front behind each connection to an engine, by the relay's end of it and the engine's: one port of the
    /// relay's side may lead to several engines.
    peers: Mutex<HashMap<(SocketAddr, SocketAddr), usize>>,
    /// The front that sent what an engine wrote down under this link.
    pub sent_by: Mutex<HashMap<(usize, u32), usize>>,
    /// What an engine wrote down under this link came over the connection from this port of the relay's, as this id.
    pub arrivals: Mutex<HashMap<(usize, u32), (u16, String)>>,
    /// What was said over the connections between fronts and engines.
    pub wire_events: Mutex<Vec<WireEvent>>,
    /// Statements that were sent to any engine, by their front and the client's name for them.
    dispatched: Mutex<HashSet<(usize, Vec<u8>)>>,
    armed: Mutex<Option<Armed>>,
    /// Fronts killed at a step of a promise, with the step and when.
    pub steps: Mutex<Vec<(Step, usize, i64)>>,
}

/// A front that is to die at a step of a promise.
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

    /// What a front sends towards an engine. One that is cut between two chunks counts as an attempt alone.
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

    /// Statements that were sent to any engine at least once, at each front.
    pub fn dispatched_statements(&self) -> i64 {
        self.dispatched
            .lock()
            .map_or(0, |dispatched| dispatched.len() as i64)
    }

    pub fn now(&self) -> i64 {
        self.since.elapsed().as_micros() as i64
    }

    /// A relay has read this.
    pub fn note_wire_event(&self, event: WireEvent) {
        if let Ok(mut events) = self.wire_events.lock() {
            events.push(event);
        }
    }

    /// An engine runs under this link what came over this connection.
    pub fn note_arrival(&self, engine: usize, link: u32, (at, id): (SocketAddr, &str)) {
        if let Ok(mut came) = self.arrivals.lock() {
            came.insert((engine, link), (at.port(), id.to_string()));
        }
    }

    /// A front's relay has opened this connection to an engine.
    pub fn note_connection(&self, at: SocketAddr, engine: SocketAddr, front: usize) {
        if let Ok(mut peers) = self.peers.lock() {
            peers.insert((at, engine), front);
        }
    }

    /// The front behind a connection.
    pub fn front_of(&self, at: SocketAddr, engine: SocketAddr) -> Option<usize> {
        self.peers.lock().ok()?.get(&(at, engine)).copied()
    }

    /// Lets a front die at a step, or takes that back.
    pub fn arm(&self, armed: Option<Armed>) {
        if let Ok(mut now) = self.armed.lock() {
            *now = armed;
        }
    }

    pub fn is_armed(&self) -> bool {
        self.armed.lock().is_ok_and(|armed| armed.is_some())
    }

    /// A step of a promise is reached at a front: true if it has just died of that.
    pub fn step_reached(&self, step: Step, front: usize) -> bool {
        let Ok(mut now) = self.armed.lock() else {
            return false;
        };
        let Some(armed) = now.as_mut() else {
            return false;
        };
        if !armed.death.is_reached(step, front) {
            return false;
        }
        // Before it dies: what its clients lose by that is lost after this.
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
