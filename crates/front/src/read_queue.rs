//! Sockets with input that is left for the next iteration of the event loop, and how much of it is read then.
//!
//! Guards against clients that send without pause: however many there are, an iteration reads little enough that
//! others are answered in time, and each of them is read once.

use std::collections::HashSet;

use crate::events::SocketId;

/// Bytes read from all clients in an iteration. Small statements take some microseconds each, so that this is a few
/// milliseconds of work.
const READ_BUDGET_BYTES: usize = 256 << 10;
/// Limit of the bytes read from a client in an iteration: enough for all statements that it may have open.
const MAX_SHARE_BYTES: usize = 16 << 10;
/// Bytes that each client may read in an iteration however many there are: some statements.
const MIN_SHARE_BYTES: usize = 2 << 10;

/// Sockets to read in the next iteration, each once, in order.
#[derive(Default)]
pub struct ReadQueue {
    order: Vec<SocketId>,
    queued: HashSet<SocketId>,
}

impl ReadQueue {
    /// Adds a socket, unless it is queued already.
    pub fn push(&mut self, socket: SocketId) {
        if self.queued.insert(socket) {
            self.order.push(socket);
        }
    }

    /// Whether a socket is queued.
    pub fn contains(&self, socket: SocketId) -> bool {
        self.queued.contains(&socket)
    }

    /// The number of sockets queued.
    pub fn len(&self) -> usize {
        self.order.len()
    }

    /// Whether no socket is queued.
    pub fn is_empty(&self) -> bool {
        self.order.is_empty()
    }

    /// Takes all sockets off the queue.
    pub fn take(&mut self) -> Vec<SocketId> {
        self.queued.clear();
        std::mem::take(&mut self.order)
    }
}

/// The bytes that each of so many clients may read in an iteration.
pub fn read_share(clients: usize) -> usize {
    (READ_BUDGET_BYTES / clients.max(1)).clamp(MIN_SHARE_BYTES, MAX_SHARE_BYTES)
}

#[cfg(test)]
#[path = "read_queue_tests.rs"]
mod tests;
