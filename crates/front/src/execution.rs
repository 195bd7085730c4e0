//! The identity of an execution: one sending of a statement to an engine.

use hallmux_dispatcher::Ticket;

/// Identifies an execution by its statement's ticket and its number among that statement's executions. Ordered by
/// ticket first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ExecutionId {
    /// The ticket of the statement.
    pub ticket: Ticket,
    /// The execution's number among those of the statement.
    pub number: usize,
}

impl ExecutionId {
    /// Creates the id of the execution with this number of a statement.
    pub fn new(ticket: Ticket, number: usize) -> ExecutionId {
        ExecutionId { ticket, number }
    }
}
