//! What the module orders.

use super::{EngineId, Micros, RejectReason, StatementId};

/// One order of the module. Orders are carried out in the order in which they are returned.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Holds for the statement's later executions; the priority also for those in flight.
    SetResources {
        /// The statement that it holds for.
        statement: StatementId,
        /// The memory to grant, in MB; 0 leaves it to the engine.
        grant_mb: f64,
        /// 0 to 3; a higher one goes first.
        priority: u8,
    },
    /// Send the statement to the engine: its next execution.
    Execute {
        /// The statement to send.
        statement: StatementId,
        /// The engine to send it to.
        engine: EngineId,
    },
    /// Cancel an execution and report its end.
    Cancel {
        /// The statement that the execution is of.
        statement: StatementId,
        /// The number of the execution among those of its statement, from 0.
        execution: usize,
    },
    /// The final answer: the statement is rejected, and trying again is harmless.
    Reject {
        /// The statement rejected.
        statement: StatementId,
        /// The time after which the client may try again; None where no time may be named.
        retry_after: Option<Micros>,
        /// Why; for the log, not for the client.
        reason: RejectReason,
    },
    /// The final answer: the statement is aborted, and it may have run.
    Abort {
        /// The statement aborted.
        statement: StatementId,
        /// Why; for the log, not for the client.
        reason: RejectReason,
    },
    /// Probe the engine for its load.
    Probe {
        /// The engine to probe.
        engine: EngineId,
    },
    /// Probe an engine of an evacuated zone, on behalf of the fleet.
    ProbeEvacuated {
        /// The engine to probe.
        engine: EngineId,
    },
    /// Subscribe to the engine list.
    Subscribe,
    /// From now on this front may make so many connections to each engine.
    SetConnectionRate {
        /// New connections a second.
        connections: f64,
    },
    /// Call again with [`Event::Woken`](super::Event::Woken).
    Wake {
        /// The time to call at, or soon after.
        at: Micros,
    },
}
