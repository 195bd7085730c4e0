//! The commands that the dispatcher returns for the caller's network code to carry out.

use hallmux::interface::Micros;

use crate::executions::Terms;
use crate::{Ending, EngineIndex, RejectCause, Ticket};

/// An instruction to the caller's network code.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Send a statement to an engine.
    Send {
        /// The statement.
        ticket: Ticket,
        /// The number of this execution within its statement, from 0.
        execution: usize,
        /// The engine.
        engine: EngineIndex,
        /// The deadlines, memory and priority of the execution.
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
    /// Cancel the execution and report its end: with this ending, or as [`Ending::Withdrawn`] where
    /// nothing of it was sent.
    Cancel {
        /// The statement.
        ticket: Ticket,
        /// The number of the execution.
        execution: usize,
        /// The ending to report.
        ending: Ending,
    },
    /// Final answer: the statement is rejected. It has not run, so that the client may safely
    /// submit it again.
    Reject {
        /// The statement.
        ticket: Ticket,
        /// Microseconds after which the client may try again; None where the settings allow no such
        /// hint.
        retry_after: Option<Micros>,
        /// The reason to log.
        cause: RejectCause,
    },
    /// Final answer: the statement is aborted. It may have run.
    Abort {
        /// The statement.
        ticket: Ticket,
        /// The reason to log.
        cause: RejectCause,
    },
    /// Probe an engine.
    Probe {
        /// The engine.
        engine: EngineIndex,
        /// The probe is sent on behalf of the fleet: only the front that owns the fleet's probes
        /// may send it.
        for_fleet: bool,
    },
    /// Set the rate at which this front may open connections to each engine.
    SetConnectionRate {
        /// New connections per second.
        connections: f64,
    },
}
