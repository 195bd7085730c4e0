//! Commands of the scheduler to its caller.

use super::{EngineId, Micros, RejectReason, StatementId};

/// A command of the scheduler. The caller carries out actions in the order in which they are
/// returned.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Set the memory grant and the priority of the statement's later executions. The priority
    /// also applies to executions in flight.
    SetResources {
        /// The statement that the values apply to.
        statement: StatementId,
        /// The memory to grant, in MB; with 0 the engine decides.
        grant_mb: f64,
        /// The priority, 0 to 3; engines serve higher values first.
        priority: u8,
    },
    /// Send the statement to the engine as its next execution.
    Execute {
        /// The statement to send.
        statement: StatementId,
        /// The engine to send it to.
        engine: EngineId,
    },
    /// Cancel an execution. The caller reports its end as for any other execution.
    Cancel {
        /// The statement being executed.
        statement: StatementId,
        /// The number of the execution among those of the statement, from 0.
        execution: usize,
    },
    /// Answer the client that the statement is rejected. The client may safely submit it again.
    Reject {
        /// The rejected statement.
        statement: StatementId,
        /// The time after which the client may submit the statement again; `None` if rejections
        /// may not name a time.
        retry_after: Option<Micros>,
        /// The reason, for the log. Clients do not see it.
        reason: RejectReason,
    },
    /// Answer the client that the statement is aborted. It may have run.
    Abort {
        /// The aborted statement.
        statement: StatementId,
        /// The reason, for the log. Clients do not see it.
        reason: RejectReason,
    },
    /// Send a health check to the engine to get its load report.
    Probe {
        /// The engine to probe.
        engine: EngineId,
    },
    /// Send a health check to an engine of an evacuated zone, on behalf of the fleet.
    ProbeEvacuated {
        /// The engine to probe.
        engine: EngineId,
    },
    /// Subscribe to the engine list.
    Subscribe,
    /// Limit the rate at which this front opens connections to each engine.
    SetConnectionRate {
        /// New connections per second.
        connections: f64,
    },
    /// Call the scheduler again with [`Event::Woken`](super::Event::Woken).
    Wake {
        /// The earliest time of the call; the call should follow soon after it.
        at: Micros,
    },
}
