//! The planned end: after SIGTERM a front goes on taking and answering, then closes its door.

use hallmux_dispatcher::Micros;

/// Microseconds after SIGTERM until no more connections are taken and statements that still come are rejected.
/// Clients open new connections for 0.4 s and write on open ones for 0.2 s more; what comes later than 0.7 s has to
/// be answered before the process may be killed, some seconds on, however long its client would wait.
const DOOR: Micros = 650_000;
/// The same while promises are handed over: a member that is to own them may be slow or itself about to end.
const HANDED_OVER: Micros = 3_000_000;
/// The same while a shard would have no majority without this front: its other members may be about to come back.
const NEEDED: Micros = 10_000_000;
const LATE: u8 = 3; // turns: to hear of a client, to take it, to read from it
const LOOK: Micros = 10_000; // microseconds between looks at whether all is answered

/// What of the ledger of promises stands or falls with this front.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Keeps {
    Nothing,
    /// It owns shards that others could own.
    Shards,
    /// Others are away, and without it a shard has no majority.
    Majority,
}

impl Keeps {
    pub fn of(needed: bool, hands_over: bool) -> Keeps {
        match (needed, hands_over) {
            (true, _) => Keeps::Majority,
            (false, true) => Keeps::Shards,
            (false, false) => Keeps::Nothing,
        }
    }
}

#[derive(Default)]
pub struct Shutdown {
    since: Option<Micros>,
    /// Turns that began after its door was to be closed.
    late: u8,
    closed: bool,
}

impl Shutdown {
    pub fn ask(&mut self, now: Micros) {
        if self.since.is_none() {
            log::info!("the end was asked for; what comes in for now is still taken");
            self.since = Some(now);
        }
    }

    pub fn asked(&self) -> bool {
        self.since.is_some()
    }

    /// Whether the door is to be closed by now.
    pub fn closes(&mut self, now: Micros, keeps: Keeps) -> bool {
        let door = match keeps {
            Keeps::Nothing => DOOR,
            Keeps::Shards => HANDED_OVER,
            Keeps::Majority => NEEDED,
        };
        if self.since.is_none_or(|since| now < since + door) {
            return false;
        }
        // A front that stood still has yet to take who came meanwhile, and to read what they wrote.
        self.late = self.late.saturating_add(1);
        self.closed = self.late > LATE;
        self.closed
    }

    /// Whether statements that come by now are rejected at once.
    pub fn rejects(&self) -> bool {
        self.closed
    }

    pub fn due(&self, now: Micros) -> Micros {
        self.since.map_or(Micros::MAX, |since| (since + DOOR).max(now + LOOK))
    }
}

#[cfg(test)]
#[path = "shutdown_tests.rs"]
mod tests;
