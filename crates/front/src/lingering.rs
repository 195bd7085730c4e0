//! Lingering close of client connections, of both protocols: the write side is shut, and what still comes is
//! read and dropped until the client closes its side or a bound is over.
//!
//! Guards against a reset: closing a socket over unread bytes resets the connection, which may destroy an
//! answer that is on its way. A request that is read here is never sent on: its client sees the end of the
//! connection and sends it again.

use std::collections::BTreeMap;

use hallmux_dispatcher::Micros;

use crate::link::{Link, ReadOutcome};

/// Microseconds; some round trips of a slow network.
const LINGER_TIMEOUT: Micros = 1_000_000;
/// Bytes that are read and dropped: some statements of the largest size, and what the network holds. Guards
/// against clients that never stop sending.
const MOST_DROPPED: usize = 16 << 20;

struct Closing {
    link: Link,
    until: Micros,
    dropped: usize,
}

/// Connections whose write side is shut, by their numbers among those of their kind.
#[derive(Default)]
pub struct Lingering {
    connections: BTreeMap<u64, Closing>,
    /// They had more to read as they were closed than one iteration takes.
    unread: Vec<u64>,
}

impl Lingering {
    /// Shuts the write side of a connection that has sent all it owes.
    pub fn close(&mut self, now: Micros, id: u64, link: Link) {
        if link.shutdown_write().is_ok() {
            self.connections.insert(
                id,
                Closing {
                    link,
                    until: now + LINGER_TIMEOUT,
                    dropped: 0,
                },
            );
            if self.read(id) == Some(true) {
                self.unread.push(id);
            }
        }
    }

    /// Drops what has come, and the connection once its client has closed too. None if it is not one of
    /// these; true if there is more for another iteration.
    pub fn read(&mut self, id: u64) -> Option<bool> {
        let closing = self.connections.get_mut(&id)?;
        closing.link.input.clear();
        let ReadOutcome {
            has_more: more,
            broken,
        } = closing.link.read();
        closing.dropped += closing.link.input.len();
        closing.link.input = Vec::new();
        if broken.is_some() || closing.dropped > MOST_DROPPED {
            self.connections.remove(&id);
            return Some(false);
        }
        Some(more)
    }

    /// Connections that are to be read again, as the event loop does not report the rest of what they had.
    pub fn take_unread(&mut self) -> Vec<u64> {
        std::mem::take(&mut self.unread)
    }

    /// Drops the connections whose bound is over.
    pub fn expire(&mut self, now: Micros) {
        self.connections.retain(|_, closing| closing.until > now);
    }

    /// When `expire` is next due.
    pub fn due(&self) -> Micros {
        self.connections
            .values()
            .map(|closing| closing.until)
            .min()
            .unwrap_or(Micros::MAX)
    }

    /// Drops the one that has lingered longest; false if there is none.
    pub fn drop_oldest(&mut self) -> bool {
        let oldest = self
            .connections
            .iter()
            .min_by_key(|(id, closing)| (closing.until, **id));
        let oldest = oldest.map(|(id, _)| *id);
        oldest.is_some_and(|id| self.connections.remove(&id).is_some())
    }

    /// Connections that are being closed.
    pub fn len(&self) -> usize {
        self.connections.len()
    }
}

#[cfg(test)]
#[path = "lingering_tests.rs"]
mod tests;
