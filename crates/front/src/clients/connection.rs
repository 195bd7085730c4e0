//! One client's connection: the statements that are open on it, and what it has sent and left untaken.

use std::collections::HashMap;

use hallmux_dispatcher::{Micros, Ticket};

use crate::link::Link;

/// Statements that can't be used, until their connection is closed.
pub(super) const MAX_UNUSABLE_STATEMENTS: usize = 8;

/// What health checks of clients are answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServingStatus {
    Serving,
    /// The process ends: clients are to go elsewhere.
    ShuttingDown,
}

pub(super) struct Client {
    pub(super) link: Link,
    /// The statements that it waits for, by the numbers that it gave them.
    pub(super) open: HashMap<i32, Ticket>,
    /// When it was last of use: something came, or an answer left.
    pub(super) last_active: Micros,
    /// Since when a whole message is awaited: the first one, or the rest of one that has begun.
    pub(super) message_incomplete_since: Option<Micros>,
    /// It has sent a whole message.
    pub(super) has_sent_message: bool,
    pub(super) unusable_statements: usize,
    /// What it sends can't be used: nothing more is taken from it, and its connection is closed once what was taken
    /// is answered.
    pub(super) is_closing: bool,
    /// Since when it is not read, with more to read than was taken.
    pub(super) unread_since: Option<Micros>,
}

impl Client {
    /// A connection that was accepted now and may have waited in the kernel's queue for so many microseconds.
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
        }
    }

    /// Nothing is lost with it.
    pub(super) fn is_idle(&self) -> bool {
        !self.has_pending_answers() && self.link.input.is_empty()
    }

    /// It waits for an answer, or has not taken all of one.
    pub(super) fn has_pending_answers(&self) -> bool {
        !self.open.is_empty() || self.link.unsent() > 0
    }

    /// It has sent more that can't be used than is borne.
    pub(super) fn is_faulty(&self) -> bool {
        self.unusable_statements >= MAX_UNUSABLE_STATEMENTS
    }
}
