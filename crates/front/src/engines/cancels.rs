//! Executions that this front gave up, until their engines have surely read the cancel.

use hallmux_dispatcher::{Ending, Micros};

use super::connection::ConnectionId;
use super::pending_cancel::{CancelCommand, CancelState, PendingCancel};
use super::Engines;
use crate::execution::ExecutionId;

/// Microseconds until an engine has surely read a command: some round trips.
pub(super) const CANCEL_DELIVERY_TIME: Micros = 10_000;

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
        self.pending_cancels.push(PendingCancel {
            execution_id,
            ending,
            state,
        });
    }

    /// An execution that is cancelled is to end at once if its client's time is up, read or not. Guards
    /// against a final answer that waits for an engine that reads nothing.
    pub(super) fn end_pending_cancel(&mut self, execution_id: ExecutionId, ending: Ending) {
        let count_before = self.pending_cancels.len();
        self.pending_cancels
            .retain(|pending| ending != Ending::TimeUp || pending.execution_id != execution_id);
        if self.pending_cancels.len() < count_before {
            self.report_end(execution_id, ending);
        }
    }

    /// What could leave has left. An engine's time to read a command counts from when its last byte has left:
    /// not from when it was decided, as a front may stand still in between, nor from a flush that a full
    /// socket did not take all of.
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

    /// When the next wait for an engine to read of an end is over, or its connection is to be closed.
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

    /// Reports the ends that their engines have surely read by now.
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

    /// Whether a connection has not taken a command that ends an execution for as long as one has to come up.
    /// Closing it gives up what is open on it, which is all that is left to tell its engine.
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

    /// A connection is over: what was cancelled on it, but not told, ends as what was still out there.
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
                // From here, for whatever reason: it may have run, and its engine may read of the end only
                // now.
                _ => Ending::ClosedHere,
            };
            self.end_execution(execution_id, ending, None);
        }
    }
}
