//! Executions that this front cancelled, until their engines have certainly read the cancel.

use hallmux_dispatcher::{Ending, Micros};

use super::connection::ConnectionId;
use super::pending_cancel::{CancelCommand, CancelState, PendingCancel};
use super::Engines;
use crate::execution::ExecutionId;

/// Microseconds after which an engine has certainly read a command that was sent: several round trips.
pub(super) const CANCEL_DELIVERY_TIME: Micros = 10_000;

impl Engines {
    /// Ends an execution. One that this front cancelled is reported as ended only once its engine has certainly
    /// read the cancel: otherwise two executions of a statement, or of an order key, could run at once, as one
    /// connection may deliver the next execution sooner than another delivers the cancel of the first. If the
    /// client's deadline has passed, the end is reported at once. `command` is the cancel sent to the engine;
    /// `None` if the connection was closed.
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
        self.pending_cancels.push(PendingCancel {
            execution_id,
            ending,
            state,
        });
    }

    /// Ends a cancelled execution at once if its client's deadline has passed, whether or not the cancel was read,
    /// so that the final answer does not wait for an engine that reads nothing.
    pub(super) fn end_pending_cancel(&mut self, execution_id: ExecutionId, ending: Ending) {
        let count_before = self.pending_cancels.len();
        self.pending_cancels
            .retain(|pending| ending != Ending::TimeUp || pending.execution_id != execution_id);
        if self.pending_cancels.len() < count_before {
            self.report_end(execution_id, ending);
        }
    }

    /// Updates the pending cancels after a flush. The time in which an engine reads a command counts from when
    /// its last byte was sent: not from the decision to cancel, as this process may stall in between, nor from a
    /// flush after which a full socket left part of the command unsent.
    pub(super) fn mark_cancels_sent(&mut self, now: Micros) {
        let timeout = self.network.dial_timeout;
        for pending in &mut self.pending_cancels {
            pending.state = match pending.state {
                CancelState::Unsent {
                    connection,
                    end,
                    close_by,
                } if self
                    .connections
                    .get(&connection)
                    .is_some_and(|connection| !connection.link.has_sent_up_to(end)) =>
                {
                    let close_by = close_by.or(Some(now.saturating_add(timeout)));
                    CancelState::Unsent {
                        connection,
                        end,
                        close_by,
                    }
                }
                CancelState::Unsent { .. } | CancelState::Closed => CancelState::Sent {
                    delivered_by: now + CANCEL_DELIVERY_TIME,
                },
                sent @ CancelState::Sent { .. } => sent,
            };
        }
    }

    /// When the next cancel counts as read or the connection of an unsent one is to be closed; `Micros::MAX` if
    /// none is pending.
    pub(super) fn next_cancel_timeout(&self) -> Micros {
        let due = |pending: &PendingCancel| match pending.state {
            CancelState::Unsent { close_by, .. } => close_by,
            CancelState::Sent { delivered_by } => Some(delivered_by),
            CancelState::Closed => None,
        };
        self.pending_cancels
            .iter()
            .filter_map(due)
            .min()
            .unwrap_or(Micros::MAX)
    }

    /// Reports the end of executions whose engines have certainly read the cancel by now.
    pub(super) fn report_delivered_cancels(&mut self, now: Micros) {
        let is_delivered = |pending: &mut PendingCancel| match pending.state {
            CancelState::Sent { delivered_by } => delivered_by <= now,
            _ => false,
        };
        let delivered: Vec<PendingCancel> =
            self.pending_cancels.extract_if(.., is_delivered).collect();
        delivered
            .into_iter()
            .for_each(|pending| self.report_end(pending.execution_id, pending.ending));
    }

    /// Whether a cancel has stayed unsent on a connection for as long as the dial timeout. Closing the connection
    /// is then the only way left to cancel at the engine; it cancels everything open on that connection.
    pub(super) fn is_cancel_overdue(&self, now: Micros, id: ConnectionId) -> bool {
        let Some(connection) = self.connections.get(&id) else {
            return false;
        };
        self.pending_cancels
            .iter()
            .any(|pending| match pending.state {
                CancelState::Unsent {
                    connection: cancel_connection,
                    end,
                    close_by,
                } => {
                    cancel_connection == id
                        && close_by.is_some_and(|close_by| close_by <= now)
                        && !connection.link.has_sent_up_to(end)
                }
                _ => false,
            })
    }

    /// Ends the executions whose cancels were still unsent when their connection ended, like those in flight on it.
    pub(super) fn end_unsent_cancels(&mut self, connection: ConnectionId, ending: Ending) {
        let unsent = |pending: &mut PendingCancel| match pending.state {
            CancelState::Unsent {
                connection: cancel_connection,
                ..
            } => cancel_connection == connection,
            _ => false,
        };
        let unsent: Vec<PendingCancel> = self.pending_cancels.extract_if(.., unsent).collect();
        for PendingCancel { execution_id, .. } in unsent {
            let ending = match ending {
                Ending::Reset | Ending::Closed | Ending::Unreadable => ending,
                // Closed by this front for any reason: the execution may have run, and its engine may notice the
                // close only now.
                _ => Ending::ClosedHere,
            };
            self.end_execution(execution_id, ending, None);
        }
    }
}
