//! Units that were taken, from then to their one final answer.

use std::rc::Rc;

use hallmux_dispatcher::{Micros, Ticket};
use hallmux_postgres::client_error::ClientError;
use hallmux_postgres::engine::UnitOutcome;
use hallmux_postgres::session::UnitPart;
use hallmux_postgres::wire;

use super::{Event, Running, Sessions, Stage};
use crate::postgres::ids::{Pin, SessionId};

impl Sessions {
    /// A unit is taken under a ticket.
    pub fn open_unit(
        &mut self,
        id: SessionId,
        ticket: Ticket,
        part: Rc<UnitPart>,
        key: Option<String>,
    ) {
        let Some(open_session) = self.open_session(id) else {
            return;
        };
        let bytes = part.raw.len();
        open_session.running = Some(Running {
            ticket,
            commits: part.commits_transaction,
            parts: vec![part],
            ran: false,
            time_up: false,
            cancelled: false,
            begun: false,
            cut: false,
            execution_id: None,
            key,
        });
        self.held_bytes += bytes;
        self.tickets.insert(ticket, id);
        // An open unit goes on.
        self.ready.push(id);
    }

    /// A unit that was not taken gets its answer.
    pub fn answer_unusable(&mut self, id: SessionId, part: Rc<UnitPart>, why: &ClientError) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        let Stage::Open(open_session) = &mut connection.stage else {
            return;
        };
        open_session
            .session
            .fail_unit(&[part], why, connection.link.output());
        open_session.skipping = open_session.session.is_in_unit();
        self.release_transaction(id, false);
        self.changed.insert(id);
        self.ready.push(id);
    }

    /// Whatever transaction the session had is over without a commit: its connection and keys are let go.
    pub(super) fn release_transaction(&mut self, id: SessionId, may_go_on: bool) {
        let Some(open_session) = self.open_session(id) else {
            return;
        };
        let (pin, keys) = (
            open_session.pin.take().map(|pin| pin.server),
            std::mem::take(&mut open_session.held_keys),
        );
        if pin.is_some() || !keys.is_empty() {
            // What is rolled back by closing its connection may go on there for a moment.
            let may_go_on = may_go_on || pin.is_some();
            self.events.push(Event::TransactionOver {
                pin,
                keys,
                may_go_on,
            });
        }
    }

    /// The engine that held a session's transaction has it no more.
    pub fn transaction_lost(&mut self, id: SessionId) {
        let Some(open_session) = self.open_session(id) else {
            return;
        };
        // A unit that is out still has its own end to come.
        open_session.session.lose_transaction();
        open_session.pin = None;
        let keys = std::mem::take(&mut open_session.held_keys);
        self.events.push(Event::TransactionOver {
            pin: None,
            keys,
            may_go_on: true,
        });
    }

    pub(super) fn remove_running(&mut self, ticket: Ticket) -> Option<(SessionId, Running)> {
        let id = self.tickets.remove(&ticket)?;
        let running = self.open_session(id)?.running.take()?;
        self.held_bytes -= running.parts.first().map_or(0, |p| p.raw.len());
        Some((id, running))
    }

    /// Part of an answer goes on. True if the client is behind with it.
    pub fn pass(&mut self, ticket: Ticket, bytes: &[u8], whole: bool) -> bool {
        let Some(&id) = self.tickets.get(&ticket) else {
            return false;
        };
        let Some(connection) = self.connections.get_mut(&id) else {
            return false;
        };
        connection.link.output().extend_from_slice(bytes);
        if let Stage::Open(open_session) = &mut connection.stage {
            if let Some(running) = &mut open_session.running {
                (running.begun, running.cut) = (true, !whole);
            }
        }
        self.changed.insert(id);
        let with_unsent = connection.link.unsent() > self.buffer;
        if with_unsent {
            self.halted.insert(id);
        }
        with_unsent
    }

    /// A unit has its final answer, an engine's.
    pub fn answer(
        &mut self,
        now: Micros,
        ticket: Ticket,
        bytes: &[u8],
        done: &UnitOutcome,
        pin: Option<Pin>,
    ) {
        let Some((id, running)) = self.remove_running(ticket) else {
            return;
        };
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        connection.link.output().extend_from_slice(bytes);
        connection.last_active = now;
        let Stage::Open(open_session) = &mut connection.stage else {
            return;
        };
        open_session
            .session
            .apply_outcome(&running.parts, done, &mut self.catalogue, &self.bounds);
        open_session.pin = pin;
        if done.status == b'I' && !open_session.held_keys.is_empty() {
            let keys = std::mem::take(&mut open_session.held_keys);
            self.events.push(Event::TransactionOver {
                pin: None,
                keys,
                may_go_on: false,
            });
        }
        self.changed.insert(id);
        self.ready.push(id);
    }

    /// A unit has its final answer, the front's own, or the engine's on why it does not run.
    pub fn fail(
        &mut self,
        now: Micros,
        ticket: Ticket,
        why: &ClientError,
        engine_error: Option<&[u8]>,
    ) {
        let Some((id, running)) = self.remove_running(ticket) else {
            return;
        };
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        connection.last_active = now;
        let Stage::Open(open_session) = &mut connection.stage else {
            return;
        };
        let out = connection.link.output();
        if running.cut {
            // Within a message nothing can be added: the end of the connection shows that it is not whole.
            connection.closing = true;
        } else {
            let mut own = Vec::new();
            open_session
                .session
                .fail_unit(&running.parts, why, &mut own);
            match engine_error
                .and_then(|engine_error| Some((engine_error, wire::header(&own).ok()??.len)))
            {
                Some((engine_error, len)) => {
                    out.extend_from_slice(engine_error);
                    out.extend_from_slice(&own[len..]);
                }
                None => out.extend_from_slice(&own),
            }
            open_session.skipping = open_session.session.is_in_unit();
        }
        let cut = running.cut;
        self.release_transaction(id, running.ran);
        if cut {
            self.abandon(id);
        }
        self.changed.insert(id);
        self.ready.push(id);
    }
}
