//! Sending of executions: the choice of a connection, dials, cancels, health checks.

use std::io::{Error, ErrorKind};
use std::rc::Rc;

use hallmux_dispatcher::{Ending, EngineIndex, Micros, Terms};
use hallmux_native_codec::engine::{self, Command};
use hallmux_native_codec::statement::Call;

use super::connection::{ConnectionId, EngineConnection};
use super::execution::{Execution, Stage};
use super::pending_cancel::CancelCommand;
use super::{Engines, Event};
use crate::events::SocketKind;
use crate::execution::ExecutionId;
use crate::link::Link;

/// Executions on a connection before another one is dialled. An invalid answer loses all of them, as it closes
/// the connection.
const MAX_SHARED_EXECUTIONS: usize = 4;
/// Microseconds without a reply to a cancelled execution after which its connection is retired; longer than the
/// interval of progress reports.
const SILENCE_TIMEOUT: Micros = 1_500_000;

impl Engines {
    /// Queues an execution on a connection that has capacity for it, dialling a new one if necessary.
    pub fn send(
        &mut self,
        now: Micros,
        execution_id: ExecutionId,
        engine_index: EngineIndex,
        call: Rc<Call>,
        terms: Terms,
    ) {
        let id = match self.choose_connection(now, engine_index, &call.id) {
            Ok(id) => id,
            Err(ending) => return self.report_end(execution_id, ending),
        };
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        connection.open.insert(call.id.clone(), execution_id);
        connection.queue.push_back(execution_id);
        let execution = Execution {
            connection: id,
            call,
            terms,
            stage: Stage::Queued,
            sent_at: now,
            last_reply_at: now,
            pages: None,
        };
        self.executions.insert(execution_id, execution);
    }

    /// Chooses a connection to an engine for an execution or a health check with this id. An error is its ending.
    fn choose_connection(
        &mut self,
        now: Micros,
        engine_index: EngineIndex,
        id: &str,
    ) -> Result<ConnectionId, Ending> {
        let engine = self.engines.get(&engine_index).ok_or(Ending::Withdrawn)?;
        let candidates: Vec<ConnectionId> = engine
            .connections
            .iter()
            .copied()
            .filter(|connection| self.has_capacity_for(*connection, id))
            .collect();
        // As long as descriptors allow, few executions share a connection, so that few are lost with it. The
        // busiest of these connections are preferred, so that the others become idle and are closed.
        let rank = |connection: &ConnectionId| self.connections[connection].rank();
        let lightly_shared = candidates
            .iter()
            .copied()
            .filter(|connection| rank(connection).in_flight < MAX_SHARED_EXECUTIONS);
        if let Some(connection) = lightly_shared.max_by_key(rank) {
            return Ok(connection);
        }
        let least_used = candidates
            .into_iter()
            .min_by_key(|connection| rank(connection).in_flight);
        match least_used {
            Some(connection) if !self.may_dial(engine) => Ok(connection),
            // The pacer allows no new connection now: an existing one is used, or the execution is withdrawn.
            _ if !self.dials.borrow_mut().try_take_slot(now, engine_index) => {
                least_used.ok_or(Ending::Withdrawn)
            }
            _ => self
                .dial(now, engine_index)
                .or_else(|ending| least_used.ok_or(ending)),
        }
    }

    /// Whether a connection has capacity for one more execution and has not seen the id yet.
    fn has_capacity_for(&self, connection: ConnectionId, id: &str) -> bool {
        let Some(connection) = self.connections.get(&connection) else {
            return false;
        };
        connection.accepts_executions()
            && !connection.has_used_id(id)
            && self.occupied(connection) < self.network.executions_per_connection
    }

    fn dial(&mut self, now: Micros, engine_index: EngineIndex) -> Result<ConnectionId, Ending> {
        let engine = self
            .engines
            .get_mut(&engine_index)
            .ok_or(Ending::Withdrawn)?;
        self.last_number += 1;
        let id = self.last_number;
        let link = match Link::dial(engine.address, &self.handle, SocketKind::Engine.id(id)) {
            Ok(link) => link,
            Err(error) => {
                log::warn!(
                    "engine {}: no connection can be made: {error}; existing connections are used if there are any",
                    engine.id
                );
                return Err(ending_of_failed_dial(&error));
            }
        };
        engine.connections.push(id);
        let dial_by = now + self.network.dial_timeout;
        let connection = EngineConnection::dialled(link, engine_index, now, dial_by);
        self.connections.insert(id, connection);
        Ok(id)
    }

    /// Changes the priority of an execution; also at its engine if it was written and has no result yet.
    pub fn set_priority(&mut self, execution_id: ExecutionId, priority: u8) {
        let Some(execution) = self.executions.get_mut(&execution_id) else {
            return;
        };
        execution.terms.priority = priority;
        if execution.stage == Stage::Queued || execution.pages.is_some() {
            return;
        }
        if let Some(connection) = self.connections.get_mut(&execution.connection) {
            let id = &execution.call.id;
            engine::write(
                connection.link.output(),
                &Command::SetPriority { id, priority },
            );
        }
    }

    /// Cancels an execution. It ends with the given ending, or as withdrawn if none of it was written.
    pub fn cancel(&mut self, now: Micros, execution_id: ExecutionId, ending: Ending) {
        let Some(execution) = self.executions.get(&execution_id) else {
            return self.end_pending_cancel(execution_id, ending);
        };
        let id = execution.connection;
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        // Without a reply since then, for longer than the dial timeout, the engine's machine may be gone.
        let no_reply_since_sent = connection.up && connection.last_reply_at < execution.sent_at;
        connection.retired |=
            no_reply_since_sent && now - execution.sent_at > self.network.dial_timeout;
        // A connection whose execution got no reply for `SILENCE_TIMEOUT` is not used again either.
        let is_sent = execution.stage == Stage::Sent;
        connection.retired |= is_sent && now - execution.last_reply_at > SILENCE_TIMEOUT;
        match execution.stage {
            Stage::Queued => {
                connection.queue.retain(|queued| *queued != execution_id);
                self.withdraw(id, execution_id);
            }
            // The remaining bytes would complete the execution after its end, so the connection is closed.
            Stage::Writing => self.close(now, id, Ending::ClosedHere),
            Stage::Sent => self.cancel_at_engine(now, execution_id, ending),
        }
    }

    /// Cancels an execution that was completely sent, and sends its engine the cancel if that is allowed.
    fn cancel_at_engine(&mut self, now: Micros, execution_id: ExecutionId, ending: Ending) {
        let Some(execution) = self.executions.get(&execution_id) else {
            return;
        };
        let connection_id = execution.connection;
        let id = execution.call.id.clone();
        let Some(connection) = self.connections.get_mut(&connection_id) else {
            return;
        };
        let output = connection.link.output();
        if execution.pages.is_some() {
            engine::write(output, &Command::ReleaseResult { id: &id });
        } else if self.network.cancel {
            engine::write(output, &Command::Cancel { id: &id });
        }
        connection.idle_since = now;
        connection.open.remove(&id);
        connection.cancelled.insert(id);
        let command = CancelCommand {
            connection: connection_id,
            end: connection.link.end_of_output(),
        };
        self.end_execution(execution_id, ending, Some(command));
    }

    /// Sends a health check to an engine; the outcome is reported as `Event::ProbeEnded`, unless no new
    /// connection may be dialled now.
    pub fn probe(&mut self, now: Micros, engine_index: EngineIndex) {
        self.last_number += 1;
        let tag = format!("p{}", self.last_number);
        let connection = match self.choose_connection(now, engine_index, &tag) {
            // No new connection may be dialled now, which proves nothing about the engine.
            Err(Ending::Withdrawn) => return,
            result => result.ok().and_then(|id| self.connections.get_mut(&id)),
        };
        let Some(connection) = connection else {
            return self.events.push(Event::ProbeEnded {
                engine_index,
                alive: false,
                report: None,
            });
        };
        if connection.up {
            engine::write(connection.link.output(), &Command::Probe { tag: &tag });
        }
        connection
            .probes
            .insert(tag, now + self.network.dial_timeout);
    }
}

/// How an execution ends for which no connection could be started.
fn ending_of_failed_dial(error: &Error) -> Ending {
    match error.kind() {
        ErrorKind::ConnectionRefused => Ending::ConnectionRefused,
        ErrorKind::HostUnreachable | ErrorKind::NetworkUnreachable => Ending::ConnectTimeout,
        _ => Ending::NoDescriptor,
    }
}
