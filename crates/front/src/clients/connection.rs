//! One client's connection: its open statements, and its received and unsent data.

use std::collections::HashMap;

use hallmux_dispatcher::{Micros, Ticket};

use crate::link::Link;

/// Unusable statements after which a connection is closed.
pub(super) const MAX_UNUSABLE_STATEMENTS: usize = 8;

/// The answer to clients' health checks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServingStatus {
    Serving,
    /// The process is shutting down: clients should use another front.
    ShuttingDown,
}

/// The state of one client's connection.
pub(super) struct Client {
    pub(super) link: Link,
    /// The tickets of the open statements, by the client's sequence numbers.
    pub(super) open: HashMap<i32, Ticket>,
    /// When the connection was last active: input was received or an answer was sent.
    pub(super) last_active: Micros,
    /// Since when a complete message is awaited: the first one, or the rest of one that has started.
    pub(super) message_incomplete_since: Option<Micros>,
    /// Whether the client has sent a complete message.
    pub(super) has_sent_message: bool,
    pub(super) unusable_statements: usize,
    /// The client's input is unusable: no more of it is read, and the connection is closed once its open statements are
    /// answered.
    pub(super) is_closing: bool,
    /// Since when input may be waiting that was not read.
    pub(super) unread_since: Option<Micros>,
    /// Bytes still to come of a message that was answered before it was complete; they are dropped.
    pub(super) bytes_to_drop: usize,
}

impl Client {
    /// A connection that is accepted now and may have waited in the kernel's queue for `waited` microseconds.
    pub(super) fn accepted(now: Micros, link: Link, waited: Micros) -> Client {
        Client {
            link,
            open: HashMap::new(),
            last_active: now,
            message_incomplete_since: Some(now),
            has_sent_message: false,
            unusable_statements: 0,
            is_closing: false,
            unread_since: (waited > 0).then_some(now - waited),
            bytes_to_drop: 0,
        }
    }

    /// Whether the connection can be closed without losing an answer or received input.
    pub(super) fn is_idle(&self) -> bool {
        !self.has_pending_answers() && self.link.input.is_empty() && self.bytes_to_drop == 0
    }

    /// Drops what was received of a message that was answered before it was complete.
    pub(super) fn drop_answered_input(&mut self) {
        let dropped = self.bytes_to_drop.min(self.link.input.len());
        self.bytes_to_drop -= dropped;
        self.link.consume(dropped);
    }

    /// Whether the client waits for an answer or has not read all of one.
    pub(super) fn has_pending_answers(&self) -> bool {
        !self.open.is_empty() || self.link.unsent() > 0
    }

    /// Whether the client has sent too many unusable statements.
    pub(super) fn is_faulty(&self) -> bool {
        self.unusable_statements >= MAX_UNUSABLE_STATEMENTS
    }
}
