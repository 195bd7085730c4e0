//! Lingering close of client connections of both protocols: the write side is shut down, and further input is read and
//! discarded until the client closes its side or a limit is reached.
//!
//! Guards against a reset: closing a socket with unread bytes resets the connection, which may destroy an answer that is
//! on its way. A request that is read here is never executed: its client sees the end of the connection and sends the
//! request again.

use std::collections::BTreeMap;

use hallmux_dispatcher::Micros;

use crate::link::{Link, ReadOutcome};

/// Microseconds that a connection lingers: some round trips of a slow network.
const LINGER_TIMEOUT: Micros = 1_000_000;
/// Limit of the bytes that are read and discarded: some statements of the largest size, and the data in the network.
/// Guards against clients that never stop sending.
const MAX_DISCARDED_BYTES: usize = 16 << 20;

struct LingeringConnection {
    link: Link,
    close_at: Micros,
    discarded_bytes: usize,
}

/// Connections whose write side is shut down, by their numbers among those of their kind.
#[derive(Default)]
pub struct Lingering {
    connections: BTreeMap<u64, LingeringConnection>,
    /// Connections that had more to read when they were closed than one iteration reads.
    with_unread: Vec<u64>,
}

impl Lingering {
    /// Shuts down the write side of a connection on which all answers were sent.
    pub fn close(&mut self, now: Micros, id: u64, link: Link) {
        if link.shutdown_write().is_ok() {
            self.connections.insert(
                id,
                LingeringConnection {
                    link,
                    close_at: now + LINGER_TIMEOUT,
                    discarded_bytes: 0,
                },
            );
            if self.read(id) == Some(true) {
                self.with_unread.push(id);
            }
        }
    }

    /// Reads and discards input, and drops the connection once its client has closed it too. Returns None if the
    /// connection does not linger, and Some(true) if there is more to read in another iteration.
    pub fn read(&mut self, id: u64) -> Option<bool> {
        let connection = self.connections.get_mut(&id)?;
        connection.link.input.clear();
        let ReadOutcome {
            has_more: more,
            broken,
        } = connection.link.read();
        connection.discarded_bytes += connection.link.input.len();
        connection.link.input = Vec::new();
        if broken.is_some() || connection.discarded_bytes > MAX_DISCARDED_BYTES {
            self.connections.remove(&id);
            return Some(false);
        }
        Some(more)
    }

    /// Takes the connections that have to be read again, as the event loop does not report their remaining input.
    pub fn take_unread(&mut self) -> Vec<u64> {
        std::mem::take(&mut self.with_unread)
    }

    /// Drops the connections whose time is over.
    pub fn expire(&mut self, now: Micros) {
        self.connections
            .retain(|_, connection| connection.close_at > now);
    }

    /// When `expire` is next due; `Micros::MAX` without connections.
    pub fn due(&self) -> Micros {
        self.connections
            .values()
            .map(|connection| connection.close_at)
            .min()
            .unwrap_or(Micros::MAX)
    }

    /// Drops the connection that has lingered longest. Returns false if there is none.
    pub fn drop_oldest(&mut self) -> bool {
        let oldest = self
            .connections
            .iter()
            .min_by_key(|(id, connection)| (connection.close_at, **id));
        let oldest = oldest.map(|(id, _)| *id);
        oldest.is_some_and(|id| self.connections.remove(&id).is_some())
    }

    /// The number of connections that linger.
    pub fn len(&self) -> usize {
        self.connections.len()
    }
}

#[cfg(test)]
#[path = "lingering_tests.rs"]
mod tests;
