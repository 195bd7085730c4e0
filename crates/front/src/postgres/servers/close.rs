//! How executions and connections end: cancelled, abandoned, released, lost.

use hallmux_dispatcher::{Ending, EngineIndex, Micros, Ticket};
use hallmux_postgres::pool::Released;
use hallmux_postgres::session::may_commit;
use hallmux_postgres::wire;

use super::{Cancel, EngineEntry, Event, Execution, PendingEnd, Server, Servers, Stage};
use crate::events::SocketKind;
use crate::execution::ExecutionId;
use crate::link::Link;
use crate::postgres::ids::ServerId;

impl Servers {
    /// Cancels an execution. It ends with `ending`, or as withdrawn if nothing of it was sent.
    pub fn cancel_execution(&mut self, now: Micros, execution_id: ExecutionId, ending: Ending) {
        let Some(execution) = self.executions.get(&execution_id) else {
            return self.end_while_cancelling(execution_id, ending);
        };
        let (engine_index, connection) = (execution.engine_index, execution.connection);
        let Some(id) = connection else {
            self.pools.withdraw(engine_index, execution_id);
            // A pinned execution that waits for the end of a cancel request can't end its
            // transaction: closing the connection rolls that back.
            let pinned = execution.unit.pin;
            // Withdrawn even if its time is up. Guards against reporting a commit that was never
            // sent as one in doubt.
            self.report_end(execution_id, Ending::Withdrawn);
            pinned.into_iter().for_each(|id| self.close(id));
            return;
        };
        // While the settings are being transferred nothing of the unit was sent. Guards against
        // reporting a commit that was never sent as one in doubt, and against sending a unit that
        // was cancelled.
        if self
            .connections
            .get(&id)
            .is_some_and(|server| server.engine.is_applying_settings())
        {
            self.report_end(execution_id, Ending::Withdrawn);
            return self.close(id);
        }
        // If its time is up the client is answered now; otherwise the execution ends when the
        // engine has accepted the cancel request.
        let answer_at_once = ending == Ending::TimeUp;
        // Time that the client spent reading its answer is not charged to the engine.
        let ending = if ending == Ending::TimeUp && execution.paused {
            Ending::GivenUp
        } else {
            ending
        };
        self.executions.remove(&execution_id);
        let held = self
            .connections
            .get(&id)
            .is_some_and(|server| server.transaction_of.is_some());
        if self.network.cancel || held {
            let pending_end = (!answer_at_once).then_some(PendingEnd {
                execution_id,
                ending,
            });
            let is_requested =
                self.network.cancel && self.send_cancel_request(now, id, pending_end);
            self.close(id);
            if answer_at_once || !is_requested {
                self.events.push(Event::Ended {
                    execution_id,
                    ending,
                });
            }
        } else {
            if let Some(server) = self.connections.get_mut(&id) {
                (server.serving, server.discards_replies) = (None, true);
            }
            self.events.push(Event::Ended {
                execution_id,
                ending,
            });
        }
    }

    /// Ends an execution that waits for its cancel request when its client's time is up. Guards
    /// against a late answer because of an engine that accepts no cancel requests.
    fn end_while_cancelling(&mut self, execution_id: ExecutionId, ending: Ending) {
        if ending != Ending::TimeUp {
            return;
        }
        let waits = |cancel: &&mut Cancel| {
            cancel
                .pending_end
                .is_some_and(|end| end.execution_id == execution_id)
        };
        if let Some(cancel) = self.cancels.values_mut().find(waits) {
            cancel.pending_end = None;
            self.events.push(Event::Ended {
                execution_id,
                ending,
            });
        }
    }

    /// Withdraws the executions of a statement that nobody waits for any more, unless they were
    /// sent to their engine.
    pub fn abandon(&mut self, now: Micros, ticket: Ticket) {
        let statement_executions = self
            .executions
            .iter()
            .filter(|(execution_id, _)| execution_id.ticket == ticket);
        let executions: Vec<(ExecutionId, Option<ServerId>)> = statement_executions
            .map(|(execution_id, execution)| (*execution_id, execution.connection))
            .collect();
        for (execution_id, connection) in executions {
            let Some(id) = connection else {
                self.cancel_execution(now, execution_id, Ending::Withdrawn);
                continue;
            };
            // Output that was written but not sent is dropped with its connection, as is a unit
            // that waits for its settings.
            let unsent = self.connections.get(&id).is_some_and(|server| {
                server.serving == Some(execution_id) && server.is_unit_unsent()
            });
            if let Some(engine_index) = self.engine_index(id).filter(|_| unsent) {
                self.report_end(execution_id, Ending::Withdrawn);
                self.close_and_refill(now, id, engine_index);
            }
        }
    }

    /// Asks the engine to cancel an execution, at a client's request. Returns false if it was not
    /// sent, or if no request can be made.
    pub fn cancel(&mut self, now: Micros, execution_id: ExecutionId) -> bool {
        let Some(execution) = self
            .executions
            .get(&execution_id)
            .filter(|execution| execution.stage != Stage::Waiting)
        else {
            return false;
        };
        let Some(id) = execution.connection.filter(|_| self.network.cancel) else {
            return false;
        };
        if let Some(server) = self.connections.get_mut(&id) {
            server.closes_after_unit = true;
        }
        self.send_cancel_request(now, id, None)
    }

    /// Sends a request to cancel over a connection of its own. Returns false if it can't be
    /// dialled.
    fn send_cancel_request(
        &mut self,
        now: Micros,
        id: ServerId,
        pending_end: Option<PendingEnd>,
    ) -> bool {
        let Some(server) = self.connections.get_mut(&id) else {
            return false;
        };
        let Some((key, engine)) = server
            .engine
            .key
            .zip(self.engines.get(&server.engine_index))
        else {
            return false;
        };
        let number = self.last_id + 1;
        let Ok(mut link) = Link::dial(engine.address, &self.handle, SocketKind::Cancel.id(number))
        else {
            return false;
        };
        self.last_id = number;
        wire::write_cancel(link.output(), key);
        server.cancels += 1;
        let deadline = now + 2 * self.network.dial_timeout;
        self.cancels.insert(
            number,
            Cancel {
                link,
                server: id,
                deadline,
                pending_end,
            },
        );
        true
    }

    /// Handles an event of a connection that carries a request to cancel.
    pub fn read_cancel(&mut self, now: Micros, number: u64) {
        let Some(cancel) = self.cancels.get_mut(&number) else {
            return;
        };
        match cancel.link.is_up() {
            Ok(false) => return,
            Ok(true) => {}
            Err(_) => return self.finish_cancel(now, number),
        }
        let execution_id = cancel.link.flush();
        let broken = cancel.link.read().broken;
        if execution_id.is_err() || broken.is_some() || !cancel.link.input.is_empty() {
            self.finish_cancel(now, number);
        }
    }

    /// Handles a request to cancel that was not accepted in time. Guards against a stall of the
    /// front: a request whose connection came up meanwhile is sent now and gets more time, so that
    /// it can't cancel a later unit.
    pub(super) fn cancel_overdue(&mut self, now: Micros, number: u64) {
        let was_unsent = self
            .cancels
            .get(&number)
            .is_some_and(|cancel| cancel.link.unsent() > 0);
        self.read_cancel(now, number);
        match self.cancels.get_mut(&number) {
            Some(cancel) if was_unsent && cancel.link.unsent() == 0 => {
                cancel.deadline = now + self.network.dial_timeout
            }
            _ => self.finish_cancel(now, number),
        }
    }

    /// Ends a cancel request that the engine has accepted, or never will accept.
    pub(super) fn finish_cancel(&mut self, now: Micros, number: u64) {
        let Some(cancel) = self.cancels.remove(&number) else {
            return;
        };
        if let Some(PendingEnd {
            execution_id,
            ending,
        }) = cancel.pending_end
        {
            self.events.push(Event::Ended {
                execution_id,
                ending,
            });
        }
        if let Some(server) = self.connections.get_mut(&cancel.server) {
            server.cancels -= 1;
            let waits = |execution_id: &ExecutionId| {
                self.executions
                    .get(execution_id)
                    .is_some_and(|execution| execution.stage == Stage::Waiting)
            };
            if let Some(execution_id) = server.serving.filter(waits).filter(|_| server.cancels == 0)
            {
                self.start_pinned(now, execution_id, cancel.server);
            }
        }
    }

    /// Closes the connection that holds a session's transaction: the engine rolls it back.
    pub fn release(&mut self, now: Micros, id: ServerId) {
        if let Some(engine_index) = self.engine_index(id) {
            self.close_and_refill(now, id, engine_index);
        }
    }

    /// Closes a connection that has no execution that anyone waits for.
    pub(super) fn close(&mut self, id: ServerId) {
        if let Some(mut server) = self.connections.remove(&id) {
            if server.up && server.link.unsent() == 0 && server.serving.is_none() {
                server.link.output().extend_from_slice(wire::TERMINATE);
                // The connection closes whether or not the message is delivered.
                let _ = server.link.flush();
            }
            self.remove_from_pools(id);
        }
    }

    pub(super) fn remove_from_pools(&mut self, id: ServerId) -> Vec<ExecutionId> {
        self.connecting.remove(&id);
        self.flush_pending.remove(&id);
        self.pools.remove(id)
    }

    pub(super) fn close_and_refill(
        &mut self,
        now: Micros,
        id: ServerId,
        engine_index: EngineIndex,
    ) {
        self.close(id);
        let action = self.pools.next_action(engine_index);
        self.run_pool_action(now, engine_index, action);
    }

    /// Returns a connection to its pool, or closes it.
    pub(super) fn release_idle(&mut self, now: Micros, id: ServerId) {
        let Some(server) = self.connections.get_mut(&id) else {
            return;
        };
        let engine_index = server.engine_index;
        if server.closes_after_unit || server.cancels > 0 {
            return self.close_and_refill(now, id, engine_index);
        }
        match self.pools.release(now, id) {
            Released::Idle => {}
            Released::Action(action) => self.run_pool_action(now, engine_index, Some(action)),
            Released::Close => self.close_and_refill(now, id, engine_index),
        }
    }

    /// Handles the loss of a connection. Its execution ends depending on how much of it was sent.
    pub(super) fn connection_lost(&mut self, now: Micros, id: ServerId, ending: Ending) {
        let Some(server) = self.connections.remove(&id) else {
            return;
        };
        let waited = self.remove_from_pools(id);
        let engine_index = server.engine_index;
        if let Some(engine) = self.engines.get_mut(&engine_index) {
            log_lost_connection(engine, &server, ending);
        }
        let ending_of_waiting = if server.up && ending == Ending::Unreadable {
            Ending::ConnectionRefused
        } else {
            ending
        };
        for execution_id in waited {
            self.report_end(execution_id, ending_of_waiting);
        }
        if let Some(execution_id) = server.serving {
            let execution = self.executions.get(&execution_id);
            let ending =
                execution.map_or(ending, |execution| lost_ending(execution, &server, ending));
            self.report_end(execution_id, ending);
        }
        self.events.extend(
            server
                .transaction_of
                .map(|session| Event::TransactionLost { session }),
        );
        let action = self.pools.next_action(engine_index);
        self.run_pool_action(now, engine_index, action);
    }
}

/// How an execution ends whose connection was lost, depending on how much of it was sent.
fn lost_ending(execution: &Execution, server: &Server, lost: Ending) -> Ending {
    let has_left = server.link.has_sent(server.write_end);
    match execution.stage {
        Stage::Waiting => Ending::Withdrawn,
        // The unit waits here until its settings are transferred.
        _ if server.engine.is_applying_settings() => Ending::HalfWritten,
        // Without its Sync an engine keeps nothing of a unit, unless the unit contains a commit of
        // its own or a statement that can commit by itself.
        Stage::Writing if !has_left && !may_commit(&execution.unit.parts) => Ending::HalfWritten,
        Stage::Writing | Stage::Sent => lost,
    }
}

/// Logs a lost connection. An engine that can't be reached is logged once, until it is reached
/// again.
fn log_lost_connection(engine: &mut EngineEntry, server: &Server, ending: Ending) {
    if !server.engine.is_logged_in() {
        if !std::mem::replace(&mut engine.failing, true) {
            log::warn!(
                "engine {}: can't be reached for sessions: {ending:?}; units that wait for it are returned to the dispatcher",
                engine.id
            );
        }
    } else if server.serving.is_some() {
        log::warn!(
            "engine {}: connection lost with a unit in flight: {ending:?}; the unit is returned to the dispatcher",
            engine.id
        );
    }
}
