//! What engines did, written down as it happens.

use std::sync::{Arc, Mutex};
use std::time::Instant;

/// What an engine did; times are microseconds since the rig began.
#[derive(Clone, Debug, PartialEq)]
pub struct Deed {
    pub at: i64,
    pub engine: usize,
    pub link: u32,
    pub kind: Kind,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Kind {
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
    pub deeds: Mutex<Vec<Deed>>,
}

impl Records {
    pub fn new() -> Arc<Records> {
        Arc::new(Records { since: Instant::now(), deeds: Mutex::default() })
    }

    pub fn now(&self) -> i64 {
        self.since.elapsed().as_micros() as i64
    }

    pub(super) fn note(&self, engine: usize, link: u32, kind: Kind) {
        let deed = Deed { at: self.now(), engine, link, kind };
        if let Ok(mut deeds) = self.deeds.lock() {
            deeds.push(deed);
        }
    }
}
