//! An execution that was ended from here, and how far the command that says so has come.

use hallmux_dispatcher::{Ending, Micros};

use super::connection::ConnectionId;
use crate::execution::ExecutionId;

/// A command that ends an execution, on its way to the engine.
pub(super) struct CancelCommand {
    pub(super) connection: ConnectionId,
    /// Where it ends in the connection's output, as `Link::end_of_output` counts.
    pub(super) end: usize,
}

/// An execution that was ended from here, but whose engine may not have read so yet.
pub(super) struct PendingCancel {
    pub(super) execution_id: ExecutionId,
    pub(super) ending: Ending,
    pub(super) state: CancelState,
}

/// How far the cancel of an execution has come.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum CancelState {
    /// A command on a connection, which ends there in the output and has not left whole; from `close_by` on
    /// its connection is closed, once a flush has found that the network does not take it.
    Unsent {
        connection: ConnectionId,
        end: usize,
        close_by: Option<Micros>,
    },
    /// The connection was closed: this goes out with the next flush.
    Closed,
    /// It has left: its engine has surely read it by then.
    Sent { delivered_by: Micros },
}
