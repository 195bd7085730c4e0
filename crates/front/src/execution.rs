//! The identity of an execution, one sending of a statement to an engine, and how long it may wait to be sent.

use hallmux_dispatcher::{Micros, Terms, Ticket};

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

/// Why an execution that waited in this front may no longer be sent; `None` if it may.
pub fn reason_expired(now: Micros, terms: &Terms) -> Option<&'static str> {
    if now >= terms.deadline {
        return Some("its client's deadline has passed");
    }
    // From `send_by` on engines may no longer deduplicate a repeat of the first execution.
    (now >= terms.send_by).then_some("engines may no longer deduplicate it")
}
