//! Writes to engines, and the closing of connections.

use hallmux_dispatcher::{Ending, Micros, Terms};
use hallmux_native_codec::engine::{self, Command, ExecutionRequest};

use super::connection::{ConnectionId, EngineConnection, PendingWrite};
use super::execution::Stage;
use super::{replies, Engine, Engines, Event};
use crate::execution::{reason_expired, ExecutionId};
use crate::link::Broken;

/// Maximum unsent output of a connection in bytes: about a thousand small statements.
pub(super) const MAX_UNSENT_BYTES: usize = 1 << 20;

impl Engines {
    /// Closes a connection. Each execution on the connection ends according to how much of the
    /// execution was sent.
    pub(super) fn close(&mut self, now: Micros, id: ConnectionId, ending: Ending) {
        let Some(connection) = self.connections.remove(&id) else {
            return;
        };
        let was_lost = matches!(ending, Ending::Reset | Ending::Closed)
            && connection.up
            && !connection.open.is_empty();
        if was_lost && connection.last_reply_at < connection.resumed_at {
            self.reuse
                .record_loss(connection.idle_before, now - connection.resumed_at);
        }
        if let Some(engine) = self.engines.get_mut(&connection.engine_index) {
            engine.connections.retain(|other| *other != id);
            log_close(engine, &connection, ending);
        }
        self.end_open_executions(connection, ending);
        self.end_unsent_cancels(id, ending);
    }

    /// Ends the executions that are open on a closed connection, and fails its health checks.
    fn end_open_executions(&mut self, connection: EngineConnection, ending: Ending) {
        let mut open: Vec<ExecutionId> = connection.open.into_values().collect();
        open.sort_unstable();
        for execution_id in open {
            let Some(execution) = self.executions.get(&execution_id) else {
                continue;
            };
            let ending = match execution.stage {
                Stage::Queued if connection.up => Ending::Withdrawn,
                Stage::Writing => Ending::HalfWritten,
                Stage::Queued | Stage::Sent => ending,
            };
            self.end_execution(execution_id, ending, None);
        }
        for _ in connection.probes {
            self.events.push(Event::ProbeEnded {
                engine_index: connection.engine_index,
                alive: false,
                report: None,
            });
        }
    }

    /// Sends pending output. Queued executions are written only as far as the sockets accept them.
    pub fn flush(&mut self, now: Micros) {
        let ids: Vec<ConnectionId> = self.connections.keys().copied().collect();
        for id in ids {
            if let Err(ending) = self.write_queue(now, id) {
                // What its engine had answered before the connection broke still counts.
                self.read(now, id);
                self.close(now, id, ending);
            }
        }
        self.mark_cancels_sent(now);
    }

    /// Sends what the socket accepts over a connection that is up. A statement may have run once its last byte was
    /// sent, even if the commands behind it were not. It is marked as sent here, because a partly written
    /// statement is treated as one that has not run.
    pub(super) fn flush_connection(&mut self, id: ConnectionId) -> Result<(), Broken> {
        let connection = self.connections.get_mut(&id);
        let Some(connection) = connection.filter(|connection| connection.up) else {
            return Ok(());
        };
        let flushed = connection.link.flush();
        let link = &connection.link;
        let written = connection
            .writing
            .take_if(|writing| link.has_sent_up_to(writing.end));
        let execution = written.and_then(|written| self.executions.get_mut(&written.execution_id));
        if let Some(execution) = execution {
            execution.stage = Stage::Sent;
        }
        flushed
    }

    /// Writes queued executions as far as the socket accepts them. The error is the ending with
    /// which the connection has to be closed.
    fn write_queue(&mut self, now: Micros, id: ConnectionId) -> Result<(), Ending> {
        loop {
            self.flush_connection(id).map_err(replies::ending_of)?;
            let connection = self.connections.get_mut(&id);
            let Some(connection) = connection.filter(|connection| connection.up) else {
                return Ok(());
            };
            if connection.link.unsent() > MAX_UNSENT_BYTES {
                // Closed by this front: as with any cancel, the engine has yet to notice.
                return Err(Ending::ClosedHere);
            }
            if connection.link.unsent() > 0 {
                return Ok(());
            }
            let Some(execution_id) = connection.queue.pop_front() else {
                return Ok(());
            };
            self.write_or_withdraw(now, id, execution_id);
        }
    }

    /// Writes an execution to the output of its connection, or withdraws it if it may no longer be sent.
    fn write_or_withdraw(&mut self, now: Micros, id: ConnectionId, execution_id: ExecutionId) {
        let Some(execution) = self.executions.get_mut(&execution_id) else {
            return;
        };
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        let engine = self.engines.get(&connection.engine_index);
        if let Some(reason) = withhold_reason(now, engine, &execution.terms) {
            let ticket = execution_id.ticket;
            log::debug!("statement {ticket}: its execution is withdrawn unsent: {reason}");
            return self.withdraw(id, execution_id);
        }
        let request = ExecutionRequest {
            id: &execution.call.id,
            workload: &execution.call.workload,
            dedup_key: execution.call.dedup_key.as_deref(),
            wait_ms: ((execution.terms.deadline - now) / 1000).max(1),
            grant_mb: execution.terms.grant_mb,
            priority: execution.terms.priority,
            statement: &execution.call.statement,
        };
        if connection.open.len() == 1 {
            connection.resume(now, self.network.dial_timeout);
        }
        engine::write(connection.link.output(), &Command::Execute(request));
        execution.stage = Stage::Writing;
        execution.sent_at = now;
        connection.writing = Some(PendingWrite {
            execution_id,
            end: connection.link.end_of_output(),
        });
    }
}

impl EngineConnection {
    /// Records that an idle connection is used again, and how long it was idle since an earlier execution; zero if
    /// there was none.
    fn resume(&mut self, now: Micros, dial_timeout: Micros) {
        let dialled_at = self.dial_by - dial_timeout;
        let was_used = self.idle_since > dialled_at;
        self.idle_before = if was_used { now - self.idle_since } else { 0 };
        self.resumed_at = now;
    }
}

/// Logs the end of a connection. An engine that can't be reached is logged once until it is reached again.
fn log_close(engine: &mut Engine, connection: &EngineConnection, ending: Ending) {
    if !connection.up && (connection.retired || ending == Ending::ResetWhileConnecting) {
        log::debug!(
            "engine {}: connection lost while it was being set up",
            engine.id
        );
    } else if !connection.up && !std::mem::replace(&mut engine.is_unreachable, true) {
        log::warn!(
            "engine {}: can't be reached: {ending:?}; further failures are not logged until it is reached",
            engine.id
        );
    } else if connection.up && !connection.open.is_empty() {
        let count = connection.open.len();
        log::warn!(
            "engine {}: connection lost with {count} executions: {ending:?}; those already sent may have run",
            engine.id
        );
    }
}

/// Why an execution that waited for its connection may no longer be sent; `None` if it may.
fn withhold_reason(now: Micros, engine: Option<&Engine>, terms: &Terms) -> Option<&'static str> {
    let Some(_) = engine.filter(|engine| engine.available) else {
        // Retiring an engine withdraws its queued executions, so none is expected here. One that is
        // found must not be sent to an engine that drains.
        log::error!(
            "engine {}: an execution was still queued for it although it drains or is gone; it is withdrawn",
            engine.map_or("?", |engine| &engine.id)
        );
        return Some("its engine drains or was removed");
    };
    reason_expired(now, terms)
}
