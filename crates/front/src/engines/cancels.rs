//! Executions that this front gave up, until their engines have surely read the cancel.

use hallmux_dispatcher::{Ending, Micros};

use super::connection::ConnectionId;
use super::pending_cancel::{AwaitingCancel, CancelCommand, CancelState};
use super::Engines;
use crate::execution::ExecutionId;

/// Microseconds until an engine has surely read a command: some round trips.
pub(super) const CANCEL_LAG: Micros = 10_000;

impl Engines {
    /// Ends an execution. One that this front gave up is reported as ended only once its engine has surely read the
    /// cancel. Guards against two executions
    /// of a statement, or of an order key, at once: one connection may bring the next sooner than another the
    /// cancel of the first. Where the time is up the client is answered at once. `command` says so to the
    /// engine; none where the connection was closed.
    pub(super) fn end_execution(
        &mut self,
        execution_id: ExecutionId,
        ending: Ending,
        command: Option<CancelCommand>,
    ) {
        if !matches!(
            ending,
            Ending::GivenUp | Ending::Unreadable | Ending::ClosedHere
        ) {
            return self.report_end(execution_id, ending);
        }
        self.executions.remove(&execution_id);
        let unsent = |command: CancelCommand| CancelState::Unsent {
            connection: command.connection,
            end: command.end,
            close_by: None,
        };
        let state = command.map_or(CancelState::Closed, unsent);
        self.awaiting_cancel.push(AwaitingCancel {
            execution_id,
            ending,
            state,
        });
    }

    /// An execution that is cancelled is to end at once if its client's time is up, read or not. Guards
    /// against a final answer that waits for an engine that reads nothing.
    pub(super) fn end_awaited(&mut self, execution_id: ExecutionId, ending: Ending) {
        let before = self.awaiting_cancel.len();
        self.awaiting_cancel
            .retain(|awaited| ending != Ending::TimeUp || awaited.execution_id != execution_id);
        if self.awaiting_cancel.len() < before {
            self.report_end(execution_id, ending);
        }
    }

    /// What could leave has left. An engine's time to read a command counts from when its last byte has left:
    /// not from when it was decided, as a front may stand still in between, nor from a flush that a full
    /// socket did not take all of.
    pub(super) fn cancels_flushed(&mut self, now: Micros) {
        let timeout = self.allowance.dial_timeout;
        for awaited in &mut self.awaiting_cancel {
            awaited.state = match awaited.state {
                CancelState::Unsent {
                    connection,
                    end,
                    close_by,
                } if self
                    .connections
                    .get(&connection)
                    .is_some_and(|l| !l.link.has_sent_up_to(end)) =>
                {
                    let close_by = close_by.or(Some(now.saturating_add(timeout)));
                    CancelState::Unsent {
                        connection,
                        end,
                        close_by,
                    }
                }
                CancelState::Unsent { .. } | CancelState::Closed => CancelState::Left {
                    read_by: now + CANCEL_LAG,
                },
                left @ CancelState::Left { .. } => left,
            };
        }
    }

    /// When the next wait for an engine to read of an end is over, or its connection is to be closed.
    pub(super) fn cancels_due(&self) -> Micros {
        let due = |awaited: &AwaitingCancel| match awaited.state {
            CancelState::Unsent { close_by, .. } => close_by,
            CancelState::Left { read_by } => Some(read_by),
            CancelState::Closed => None,
        };
        self.awaiting_cancel
            .iter()
            .filter_map(due)
            .min()
            .unwrap_or(Micros::MAX)
    }

    /// Reports the ends that their engines have surely read by now.
    pub(super) fn end_cancelled(&mut self, now: Micros) {
        let is_read = |awaited: &mut AwaitingCancel| match awaited.state {
            CancelState::Left { read_by } => read_by <= now,
            _ => false,
        };
        let read: Vec<AwaitingCancel> = self.awaiting_cancel.extract_if(.., is_read).collect();
        read.into_iter()
            .for_each(|awaited| self.report_end(awaited.execution_id, awaited.ending));
    }

    /// Whether a connection has not taken a command that ends an execution for as long as one has to come up.
    /// Closing it gives up what is open on it, which is all that is left to tell its engine.
    pub(super) fn is_cancel_overdue(&self, now: Micros, id: ConnectionId) -> bool {
        let Some(connection) = self.connections.get(&id) else {
            return false;
        };
        self.awaiting_cancel
            .iter()
            .any(|awaited| match awaited.state {
                CancelState::Unsent {
                    connection: on,
                    end,
                    close_by,
                } => {
                    on == id
                        && close_by.is_some_and(|by| by <= now)
                        && !connection.link.has_sent_up_to(end)
                }
                _ => false,
            })
    }

    /// A connection is over: what was cancelled on it, but not told, ends as what was still out there.
    pub(super) fn settle_unsent_cancels(&mut self, connection: ConnectionId, ending: Ending) {
        let unsent = |awaited: &mut AwaitingCancel| match awaited.state {
            CancelState::Unsent { connection: on, .. } => on == connection,
            _ => false,
        };
        let unsent: Vec<AwaitingCancel> = self.awaiting_cancel.extract_if(.., unsent).collect();
        for AwaitingCancel { execution_id, .. } in unsent {
            let ending = match ending {
                Ending::Reset | Ending::Closed | Ending::Unreadable => ending,
                // From here, for whatever reason: it may have run, and its engine may read of the end only
                // now.
                _ => Ending::ClosedHere,
            };
            self.end_execution(execution_id, ending, None);
        }
    }
}
