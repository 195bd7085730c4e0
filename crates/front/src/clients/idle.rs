//! Closing of idle client connections: those without pending answers that send nothing.

use hallmux_dispatcher::Micros;

use super::connection::Client;
use super::{ClientId, Clients, Event};

/// Limit of the bytes of the last read of a connection that is to be closed.
const LAST_READ_BYTES: usize = 16 << 10;
/// Microseconds between checks for idle connections.
const IDLE_CHECK_INTERVAL: Micros = 200_000;
/// Microseconds; clients close idle connections after 4 s, so one that is idle for longer is abandoned.
const IDLE_TIMEOUT: Micros = 6_000_000;
/// Microseconds within which a message has to be complete; for the first message they start when
/// the connection is accepted.
const MESSAGE_TIMEOUT: Micros = 2_000_000;
/// Maximum microseconds between fragments of a message that is still being sent.
const FRAGMENT_TIMEOUT: Micros = 500_000;

impl Clients {
    /// Closes connections that are abandoned, and those that for too long have sent nothing or only
    /// part of a message. A connection with an open statement is kept until that is answered.
    pub fn expire(&mut self, now: Micros, events: &mut Vec<Event>) {
        self.lingering.expire(now);
        if now < self.next_idle_check {
            return;
        }
        self.next_idle_check = now + IDLE_CHECK_INTERVAL;
        for id in self.idle_too_long(now) {
            if self.has_nothing_unread(id) {
                self.close(now, id, events);
            }
        }
        // Guards against clients that have gone without closing: nobody waits for their answers.
        for id in self.abandoned(now) {
            self.disconnect(id, events);
        }
    }

    /// Clients without pending answers that have sent nothing for too long, within a message or between two.
    fn idle_too_long(&self, now: Micros) -> Vec<ClientId> {
        let is_expired = |id: &ClientId, client: &Client| {
            let is_idle = client.last_active + IDLE_TIMEOUT <= now;
            let is_silent = is_idle || self.is_message_overdue(now, client);
            is_silent && !self.paused.contains(id) && !client.has_pending_answers()
        };
        self.ids_where(is_expired)
    }

    /// Whether a message is not complete in time: `MESSAGE_TIMEOUT` and `FRAGMENT_TIMEOUT` have
    /// both passed, or, even while fragments arrive, the longer of `longest_timeout` and
    /// `IDLE_TIMEOUT`.
    fn is_message_overdue(&self, now: Micros, client: &Client) -> bool {
        let started_at = client.message_incomplete_since.unwrap_or(now);
        let is_stalled =
            started_at + MESSAGE_TIMEOUT <= now && client.last_active + FRAGMENT_TIMEOUT <= now;
        is_stalled || started_at + self.longest_timeout.max(IDLE_TIMEOUT) <= now
    }

    /// Clients without open statements that have left answers unread for longer than any client
    /// waits, or for `MESSAGE_TIMEOUT` if their connection is being closed.
    fn abandoned(&self, now: Micros) -> Vec<ClientId> {
        let is_abandoned = |_: &ClientId, client: &Client| {
            let is_unread_by_client = client.open.is_empty() && client.link.unsent() > 0;
            let timeout = if client.is_closing {
                MESSAGE_TIMEOUT
            } else {
                self.longest_timeout.max(IDLE_TIMEOUT)
            };
            is_unread_by_client && client.last_active + timeout <= now
        };
        self.ids_where(is_abandoned)
    }

    fn ids_where(&self, condition: impl Fn(&ClientId, &Client) -> bool) -> Vec<ClientId> {
        let clients = self.clients.iter();
        let matching = clients.filter(|(id, client)| condition(id, client));
        matching.map(|(id, _)| *id).collect()
    }

    /// Closes an idle connection to free a descriptor for a new one: first one that is being closed, then one that never
    /// sent a message, then the one that has been idle longest. Returns false if no connection is idle.
    pub fn evict_idle(&mut self) -> bool {
        if self.lingering.drop_oldest() {
            return true;
        }
        let mut idle = self.ids_where(|_, client| {
            client.open.is_empty() && (!client.has_sent_message || client.is_idle())
        });
        idle.sort_unstable_by_key(|id| {
            let client = &self.clients[id];
            (client.has_sent_message, client.last_active, *id)
        });
        let mut idle = idle.into_iter();
        let Some(id) = idle.find(|id| self.has_nothing_unread(*id)) else {
            return false;
        };
        self.disconnect(id, &mut Vec::new());
        true
    }

    /// Closes all idle connections.
    pub fn close_idle(&mut self, now: Micros) {
        for id in self.ids_where(|_, client| client.is_idle()) {
            if self.has_nothing_unread(id) {
                self.close(now, id, &mut Vec::new());
            }
        }
    }

    /// Whether a last read of a connection that is to be closed as idle finds no input; true if the
    /// connection does not exist. Guards against losing a request that arrived since the connection
    /// was last read: the request is served and the connection stays.
    fn has_nothing_unread(&mut self, id: ClientId) -> bool {
        let Some(client) = self.clients.get_mut(&id) else {
            return true;
        };
        let before = client.link.input.len();
        let has_more = client.link.read_some(LAST_READ_BYTES).has_more;
        let nothing = !has_more && client.link.input.len() == before;
        if !nothing {
            self.found_unread.insert(id);
        }
        nothing
    }
}
