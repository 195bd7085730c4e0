//! How sessions end: closed by the client, for exceeding a time limit, to make room, or by the
//! shutdown of the front.

use hallmux_dispatcher::{Micros, Ticket};
use hallmux_postgres::client_error::ClientError;
use hallmux_postgres::session::Transaction;

use super::{Connection, Event, Sessions, Stage};
use crate::postgres::ids::SessionId;

/// Microseconds after which an idle session releases its buffers.
const IDLE_AFTER: Micros = 1_000_000;
/// Microseconds between checks for idle sessions.
const IDLE_CHECK_INTERVAL: Micros = 200_000;

impl Sessions {
    /// Releases what a session holds, as its client sends no more. Its connection closes once its
    /// output is sent.
    pub(super) fn abandon(&mut self, id: SessionId) {
        let Some(open_session) = self.open_session(id) else {
            return;
        };
        let ticket = open_session.running.as_ref().map(|running| running.ticket);
        let may_have_run = open_session
            .running
            .as_ref()
            .is_some_and(|running| running.may_have_run);
        if let Some(ticket) = ticket {
            self.remove_running(ticket);
            self.events.push(Event::Abandoned(ticket));
        }
        self.release_transaction(id, may_have_run);
    }

    /// Handles the loss of a connection.
    pub fn disconnect(&mut self, id: SessionId) {
        self.remove_connection(id);
    }

    /// Closes a connection gracefully. Guards against a reset that destroys the last answer on its
    /// way: input received between the last read and the close is read and discarded.
    pub(super) fn close(&mut self, now: Micros, id: SessionId) {
        if let Some(connection) = self
            .remove_connection(id)
            .filter(|connection| connection.link.unsent() == 0)
        {
            self.lingering.close(now, id, connection.link);
        }
    }

    /// Removes a connection from all collections; every connection that ends is removed here.
    fn remove_connection(&mut self, id: SessionId) -> Option<Connection> {
        self.abandon(id);
        self.changed.remove(&id);
        self.with_unsent.remove(&id);
        self.unread.remove(&id);
        self.paused.remove(&id);
        let connection = self.connections.remove(&id)?;
        self.held_bytes -= connection.link.input.len();
        Some(connection)
    }

    /// Sets how many lingering connections have descriptors beside those of clients.
    pub fn set_lingering_descriptors(&mut self, lingering_descriptors: usize) {
        self.lingering_descriptors = lingering_descriptors;
    }

    /// Makes room by dropping a lingering connection. Returns false if none uses a descriptor of
    /// clients.
    pub fn drop_lingering(&mut self) -> bool {
        self.lingering.len() > self.lingering_descriptors && self.lingering.drop_oldest()
    }

    /// Ends a session with a last error message.
    pub(super) fn close_with_error(&mut self, id: SessionId, why: &ClientError) {
        if let Some(connection) = self.connections.get_mut(&id) {
            why.write(connection.link.output(), true);
            connection.closing = true;
            self.changed.insert(id);
            self.abandon(id);
        }
    }

    /// Refuses units that arrive from now on, as the front shuts down.
    pub fn refuse_units(&mut self, now: Micros) {
        self.shutdown.refuse_units(now);
    }

    /// The units in flight that are ended because their clients have sent more after the front had
    /// stopped taking units: what they sent is answered after the unit in flight, and the process
    /// may be killed before that ends by itself.
    pub fn units_before_late_input(&self, now: Micros) -> Vec<Ticket> {
        if !self.shutdown.is_grace_period_over(now) {
            return Vec::new();
        }
        let ticket = |connection: &Connection| match &connection.stage {
            Stage::Open(open_session) if self.shutdown.is_late(connection.last_received) => {
                Some(open_session.running.as_ref()?.ticket)
            }
            _ => None,
        };
        self.connections.values().filter_map(ticket).collect()
    }

    /// Ends sessions that have exceeded a time limit.
    pub fn expire(&mut self, now: Micros) {
        self.lingering
            .expire(now + self.shutdown.linger_reduction());
        if now < self.next_idle_check {
            return;
        }
        self.next_idle_check = now + IDLE_CHECK_INTERVAL;
        let is_grace_period_over = self.shutdown.is_grace_period_over(now);
        let mut expired: Vec<(SessionId, Option<ClientError>)> = Vec::new();
        for (id, connection) in &mut self.connections {
            match &connection.stage {
                Stage::LoggingIn(_) if connection.last_active + self.login_timeout <= now => {
                    expired.push((*id, None))
                }
                Stage::LoggingIn(_) => {}
                Stage::Open(open_session) => {
                    let idle = open_session.running.is_none() && !connection.closing;
                    let open = open_session.session.transaction.is_held();
                    let idle_for = now - connection.last_active;
                    if idle && open && idle_for >= self.transaction_idle_timeout {
                        expired.push((*id, Some(ClientError::IdleTransactionTimeout)));
                    } else if idle && is_grace_period_over {
                        // Also a session that has sent part of a message, or has not sent the Sync
                        // of a unit that failed.
                        expired.push((*id, Some(ClientError::ShuttingDown)));
                    } else if connection.closing && idle_for >= self.login_timeout {
                        expired.push((*id, None));
                    } else if idle && idle_for >= IDLE_AFTER {
                        connection.link.release_memory();
                        connection.arrivals.shrink_to_fit();
                    }
                }
            }
        }
        for (id, why) in expired {
            match why {
                Some(why) => self.close_with_error(id, &why),
                None => self.close(now, id),
            }
        }
    }

    /// Makes room for a new connection. Closes the session that has waited longest for its login,
    /// or else the one that has been idle longest outside a transaction. The closed connection may
    /// linger if there are descriptors for that.
    pub fn evict_idle(&mut self, now: Micros) -> bool {
        let rank = |(id, connection): (&SessionId, &Connection)| match &connection.stage {
            Stage::LoggingIn(_) => Some((false, connection.last_active, *id)),
            Stage::Open(open_session) => {
                let may_close = open_session.running.is_none()
                    && open_session.session.transaction == Transaction::None
                    && connection.link.input.is_empty()
                    && connection.last_active + IDLE_AFTER <= now;
                may_close.then_some((true, connection.last_active, *id))
            }
        };
        let mut ranked: Vec<_> = self.connections.iter().filter_map(rank).collect();
        ranked.sort_unstable();
        let found = ranked
            .into_iter()
            .map(|(.., id)| id)
            .find(|id| self.has_no_new_input(now, *id));
        let Some(id) = found else { return false };
        self.close_with_error(id, &ClientError::ShuttingDown);
        if let Some(connection) = self.connections.get_mut(&id) {
            // The last message is sent as far as the socket accepts it at once.
            let _ = connection.link.flush();
        }
        self.close(now, id);
        self.drop_lingering();
        true
    }

    /// Closes the sessions that have no unit in flight and no open transaction.
    pub fn close_idle(&mut self, now: Micros) {
        let idle = |(id, connection): (&SessionId, &Connection)| match &connection.stage {
            Stage::LoggingIn(_) => Some(*id),
            Stage::Open(open_session) => {
                let may_close = open_session.running.is_none()
                    && !open_session.session.transaction.is_held()
                    && !connection.closing;
                (may_close
                    && !open_session.session.is_in_unit()
                    && connection.link.input.is_empty())
                .then_some(*id)
            }
        };
        let idle: Vec<SessionId> = self.connections.iter().filter_map(idle).collect();
        for id in idle {
            if self.has_no_new_input(now, id) {
                self.close_with_error(id, &ClientError::ShuttingDown);
            }
        }
    }

    /// Whether a session that is to be closed as idle has no new input. Guards against a unit that
    /// was received since the last read: it is accepted, and its session stays open.
    fn has_no_new_input(&mut self, now: Micros, id: SessionId) -> bool {
        let held = |sessions: &Sessions| {
            sessions
                .connections
                .get(&id)
                .map_or(0, |c| c.link.input.len())
        };
        let before = held(self);
        if self.read(now, id) {
            // The event loop does not report the remaining input again.
            self.unread.insert(id);
        }
        held(self) <= before
    }
}
