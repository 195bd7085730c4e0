//! Admitted units, from their admission to their one final answer.

use std::rc::Rc;

use hallmux_dispatcher::{Micros, Ticket};
use hallmux_postgres::client_error::ClientError;
use hallmux_postgres::engine::UnitOutcome;
use hallmux_postgres::session::UnitPart;
use hallmux_postgres::wire;

use super::open_session::part_memory;
use super::{AdmittedTerms, Event, RunningUnit, Sessions, Stage};
use crate::clients::STATEMENT_OVERHEAD_BYTES;
use crate::postgres::ids::{Pin, SessionId};

impl Sessions {
    /// Records that a unit was admitted under a ticket.
    pub fn open_unit(
        &mut self,
        id: SessionId,
        ticket: Ticket,
        part: Rc<UnitPart>,
        terms: AdmittedTerms,
        order_key: Option<String>,
    ) {
        let Some(open_session) = self.open_session(id) else {
            return;
        };
        let held_bytes = STATEMENT_OVERHEAD_BYTES + part_memory(&part);
        open_session.running = Some(RunningUnit {
            ticket,
            terms,
            parts: vec![part],
            held_bytes,
            may_have_run: false,
            time_up: false,
            cancelled: false,
            answer_started: false,
            cut_within_message: false,
            execution_id: None,
            order_key,
        });
        self.held_bytes += held_bytes;
        self.tickets.insert(ticket, id);
        // Further parts of the unit may already be in the input.
        self.ready.push(id);
    }

    /// Answers a unit that was not admitted.
    pub fn reject_unit(&mut self, id: SessionId, part: Rc<UnitPart>, why: &ClientError) {
        self.reject_parts(id, &[part], why);
    }

    /// Answers a unit that was not admitted, given the parts of it that were read.
    pub(super) fn reject_parts(
        &mut self,
        id: SessionId,
        parts: &[Rc<UnitPart>],
        why: &ClientError,
    ) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        let Stage::Open(open_session) = &mut connection.stage else {
            return;
        };
        open_session
            .session
            .fail_unit(parts, why, connection.link.output());
        open_session.skipping_to_sync = open_session.session.is_in_unit();
        self.release_transaction(id, false);
        self.changed.insert(id);
        self.ready.push(id);
    }

    /// Ends the session's transaction, if there is one, without a commit: releases its connection
    /// and order keys.
    pub(super) fn release_transaction(&mut self, id: SessionId, may_still_run: bool) {
        let Some(open_session) = self.open_session(id) else {
            return;
        };
        let (pin, keys) = (
            open_session.pin.take().map(|pin| pin.server),
            std::mem::take(&mut open_session.held_order_keys),
        );
        if pin.is_some() || !keys.is_empty() {
            // A transaction that is rolled back by closing its connection may keep running at the
            // engine for a short time.
            let may_still_run = may_still_run || pin.is_some();
            self.events.push(Event::TransactionEnded {
                pin,
                keys,
                may_still_run,
            });
        }
    }

    /// Ends the transaction of a session whose engine has lost it.
    pub fn transaction_lost(&mut self, id: SessionId) {
        let Some(open_session) = self.open_session(id) else {
            return;
        };
        // A unit in flight gets an ending of its own later.
        open_session.session.lose_transaction();
        open_session.pin = None;
        let keys = std::mem::take(&mut open_session.held_order_keys);
        self.events.push(Event::TransactionEnded {
            pin: None,
            keys,
            may_still_run: true,
        });
    }

    pub(super) fn remove_running(&mut self, ticket: Ticket) -> Option<(SessionId, RunningUnit)> {
        let id = self.tickets.remove(&ticket)?;
        let running = self.open_session(id)?.running.take()?;
        self.held_bytes -= running.held_bytes;
        Some((id, running))
    }

    /// Forwards part of an answer. Returns true if the client lags behind in reading it.
    pub fn forward_answer(&mut self, ticket: Ticket, bytes: &[u8], ends_message: bool) -> bool {
        let Some(&id) = self.tickets.get(&ticket) else {
            return false;
        };
        let Some(connection) = self.connections.get_mut(&id) else {
            return false;
        };
        connection.link.output().extend_from_slice(bytes);
        if let Stage::Open(open_session) = &mut connection.stage {
            if let Some(running) = &mut open_session.running {
                (running.answer_started, running.cut_within_message) = (true, !ends_message);
            }
        }
        self.changed.insert(id);
        let lags_behind = connection.link.unsent() > self.buffer_bytes;
        if lags_behind {
            self.paused.insert(id);
        }
        lags_behind
    }

    /// Gives a unit its final answer from an engine.
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
        if done.status == b'I' && !open_session.held_order_keys.is_empty() {
            let keys = std::mem::take(&mut open_session.held_order_keys);
            self.events.push(Event::TransactionEnded {
                pin: None,
                keys,
                may_still_run: false,
            });
        }
        self.changed.insert(id);
        self.ready.push(id);
    }

    /// Gives a unit its final answer from the front, or the engine's error that explains why the
    /// unit does not run.
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
        if running.cut_within_message {
            // Nothing can be inserted within a message: the end of the connection shows that the
            // answer is incomplete.
            connection.closing = true;
        } else {
            let mut front_error = Vec::new();
            open_session
                .session
                .fail_unit(&running.parts, why, &mut front_error);
            match engine_error.and_then(|engine_error| {
                Some((engine_error, wire::header(&front_error).ok()??.len))
            }) {
                Some((engine_error, len)) => {
                    out.extend_from_slice(engine_error);
                    out.extend_from_slice(&front_error[len..]);
                }
                None => out.extend_from_slice(&front_error),
            }
            open_session.skipping_to_sync = open_session.session.is_in_unit();
        }
        let cut = running.cut_within_message;
        self.release_transaction(id, running.may_have_run);
        if cut {
            self.abandon(id);
        }
        self.changed.insert(id);
        self.ready.push(id);
    }
}
