//! An execution cancelled by this front, and the delivery state of the command that cancels it.

use hallmux_dispatcher::{Ending, Micros};

use super::connection::ConnectionId;
use crate::execution::ExecutionId;

/// A command that ends an execution, written to the output of a connection.
pub(super) struct CancelCommand {
    pub(super) connection: ConnectionId,
    /// The end of the command in the connection's output, as `Link::end_of_output` counts.
    pub(super) end: usize,
}

/// A cancelled execution whose engine may not have read the cancel yet.
pub(super) struct PendingCancel {
    pub(super) execution_id: ExecutionId,
    pub(super) ending: Ending,
    pub(super) state: CancelState,
}

/// The delivery state of the cancel of an execution.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum CancelState {
    /// The command ends at `end` in the output of a connection and is not completely sent. `close_by` is set
    /// once a flush could not send all of it; from then on its connection is closed.
    Unsent {
        connection: ConnectionId,
        end: usize,
        close_by: Option<Micros>,
    },
    /// The connection was closed, which counts as sent from the next flush on.
    Closed,
    /// The command was sent; its engine has certainly read it by `delivered_by`.
    Sent { delivered_by: Micros },
}
