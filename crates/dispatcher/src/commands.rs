//! What the network is to do.

use hallmux::interface::Micros;

use crate::executions::Terms;
use crate::{Ending, EngineIndex, RejectCause, Ticket};

/// What the network is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Send a statement to an engine.
    Send {
        /// The statement.
        ticket: Ticket,
        /// The number of this execution among those of the statement, from 0.
        execution: usize,
        /// The engine.
        engine: EngineIndex,
        /// What holds for the execution.
        terms: Terms,
    },
    /// Change the priority of an execution in flight.
    SetPriority {
        /// The statement.
        ticket: Ticket,
        /// The number of the execution.
        execution: usize,
        /// The new priority, 0 to 3.
        priority: u8,
    },
    /// Cancel the execution and report its end: with this ending, or as withdrawn where it never left.
    Cancel {
        /// The statement.
        ticket: Ticket,
        /// The number of the execution.
        execution: usize,
        /// The ending to report.
        ending: Ending,
    },
    /// The final answer: the statement is rejected, and trying again is harmless.
    Reject {
        /// The statement.
        ticket: Ticket,
        /// Microseconds after which the client may try again; None where no time may be named.
        retry_after: Option<Micros>,
        /// Why; for the log.
        cause: RejectCause,
    },
    /// The final answer: the statement is aborted, and it may have run.
    Abort {
        /// The statement.
        ticket: Ticket,
        /// Why; for the log.
        cause: RejectCause,
    },
    /// Probe an engine.
    Probe {
        /// The engine.
        engine: EngineIndex,
        /// On behalf of the fleet: only whoever owns that work may send it.
        for_fleet: bool,
    },
    /// From now on this front may make so many connections to each engine.
    SetConnectionRate {
        /// New connections a second.
        connections: f64,
    },
}
