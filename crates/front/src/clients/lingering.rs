//! Lingering close of client connections: the write side is shut, and what still comes is read and dropped until
//! the client closes its side or a bound is over.
//!
//! Guards against a reset: closing a socket over unread bytes resets the connection, which may destroy an answer
//! that is on its way. A request that is read here is never sent on: its client sees the end of the connection
//! and sends it again.

use std::collections::BTreeMap;

use hallmux_dispatcher::Micros;

use super::ClientId;
use crate::link::Link;

const LINGER_TIMEOUT: Micros = 1_000_000; // microseconds; some round trips of a slow network

struct Closing {
    link: Link,
    until: Micros,
}

/// Connections whose write side is shut.
#[derive(Default)]
pub struct Lingering {
    connections: BTreeMap<ClientId, Closing>,
}

impl Lingering {
    /// Shuts the write side of a connection that has sent all it owes.
    pub fn close(&mut self, now: Micros, id: ClientId, link: Link) {
        if link.shut_writes().is_ok() {
            self.connections.insert(id, Closing { link, until: now + LINGER_TIMEOUT });
            self.read(id);
        }
    }

    /// Drops what has come, and the connection once its client has closed too. True if it is one of these.
    pub fn read(&mut self, id: ClientId) -> bool {
        let Some(closing) = self.connections.get_mut(&id) else { return false };
        let (more, broken) = closing.link.read();
        closing.link.input.clear();
        // One that sends more than an iteration takes has not stopped: it is not listened to any longer.
        if more || broken.is_some() {
            self.connections.remove(&id);
        }
        true
    }

    /// Drops the connections whose bound is over.
    pub fn expire(&mut self, now: Micros) {
        self.connections.retain(|_, closing| closing.until > now);
    }

    /// Drops the one that has lingered longest; false if there is none.
    pub fn drop_oldest(&mut self) -> bool {
        self.connections.pop_first().is_some()
    }

    pub fn len(&self) -> usize {
        self.connections.len()
    }
}
