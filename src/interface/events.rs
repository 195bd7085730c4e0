//! Events that the caller reports to the scheduler.

use super::{EngineEntry, EngineId, KeyId, LoadReport, Micros, StatementId};

/// How an execution ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The engine answered with the result.
    Completed,
    /// The engine answered with an error. The statement may have run.
    Error,
    /// The engine rejected the execution for lack of capacity. The statement has not run.
    NoCapacity,
    /// The client's wait time ended. The statement may still be running.
    TimedOut,
    /// No connection to the engine could be made. The statement has not run.
    Unreachable,
    /// The connection was lost. The statement may still be running.
    Reset,
    /// The execution was cancelled. The statement may still be running.
    Cancelled,
    /// The execution was never sent by this front. The statement has not run, and the outcome is
    /// no evidence about the engine.
    NotSent,
}

/// A progress report on an execution in flight.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ProgressReport {
    /// The share of the work that is done, 0 to 1.
    ShareDone(f64),
    /// The execution has too little memory and spills to disk. The value is the missing memory in
    /// MB.
    SpillsMb(f64),
    /// The execution waits until its engine has memory for it.
    WaitsForMemory,
    /// The execution waits while a load locks its data set.
    WaitsForData,
    /// The engine has answered something else in the meantime.
    Alive,
    /// The execution has not been sent by its front yet. This is no evidence about its engine.
    NotSentYet,
}

/// A statement as received from its client.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// The statement.
    pub statement: StatementId,
    /// The index of its workload in the agreement.
    pub workload: usize,
    /// The index of its customer in the agreement; 0 if no customers are agreed.
    pub customer: usize,
    /// Its order key; used only if its workload runs in order.
    pub order_key: Option<KeyId>,
    /// The remaining time that its client waits for an answer.
    pub time_left: Micros,
    /// An estimate of its work on one thread, in microseconds; 0 if the site gives none.
    pub work: f64,
    /// An estimate of the memory that it needs, in MB; 0 if the site gives none.
    pub memory_mb: f64,
    /// The data set that it reads or loads, if known.
    pub data_set: Option<u32>,
    /// The protocols in which it can be sent, one bit each.
    pub protocols: u8,
    /// The sticky engine: the engine of the open transaction that the statement belongs to. The
    /// statement is sent to this engine only, and at most once.
    pub sticky_engine: Option<EngineId>,
    /// The indices of the locations to which it may be sent; `None` for all that its workload
    /// allows.
    pub allowed_locations: Option<Vec<usize>>,
}

/// The end of an execution.
#[derive(Clone, Debug)]
pub struct ExecutionEnded {
    /// The statement that was executed.
    pub statement: StatementId,
    /// The number of the execution among those of the statement, from 0.
    pub execution: usize,
    /// The engine that the execution was sent to.
    pub engine: EngineId,
    /// How the execution ended.
    pub outcome: Outcome,
    /// The time since the execution was sent.
    pub took: Micros,
    /// Whether the statement has its final answer, through this outcome or earlier.
    pub settled: bool,
    /// Whether the statement's transaction stays open and holds the order key until
    /// [`Event::OrderKeyReleased`].
    pub keeps_order_key: bool,
    /// The engine's load report, if the answer carries one.
    pub report: Option<LoadReport>,
}

/// A peer's report on an engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PeerReport {
    /// The reporting front, by an index that the caller assigns.
    pub reporter: usize,
    /// The engine that the report is about.
    pub engine: EngineId,
    /// Executions that failed on the engine over the last seconds; older ones weigh less.
    pub failed: f64,
    /// Executions that the engine answered over the last seconds; older ones weigh less.
    pub answered: f64,
    /// The time for which the engine has sent nothing although it has executions in flight; 0 if
    /// it answers.
    pub silent: Micros,
    /// The age of the report.
    pub age: Micros,
}

impl PeerReport {
    /// Whether the report says that the engine answers and is not silent.
    pub fn answers(&self) -> bool {
        self.answered >= 1.0 && self.silent == 0
    }
}

/// The demand of one workload over the last seconds, summed over the fronts that report theirs.
/// Every front has the same figures.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Demand {
    /// Statements that arrived.
    pub arrived: f64,
    /// Admitted statements that got their final answer.
    pub ended: f64,
    /// Ended statements that were answered within their SLO time.
    pub timely: f64,
    /// The mean work of a statement on one thread, in microseconds.
    pub work: f64,
}

/// The demand on the fleet according to the reports of its fronts.
#[derive(Clone, Debug, Default)]
pub struct FleetDemand {
    /// The share of admitted statements that were not answered within their SLO time, 0 to 1.
    pub late_share: f64,
    /// The demand on this front divided by the mean of the fronts that report theirs; 0 if none
    /// does.
    pub relative: f64,
    /// The demand of each workload, in the order of the agreement.
    pub workloads: Vec<Demand>,
    /// Statements per second over all fronts, by customer; empty if no shares are agreed.
    pub customers_per_s: Vec<f64>,
}

/// An event outside the scheduler.
#[derive(Clone, Debug)]
pub enum Event {
    /// The engine list or an update to it.
    EngineList {
        /// Whether the entries are the complete list, so that a missing engine accepts no new
        /// statements. Otherwise the entries are changes.
        complete: bool,
        /// The entries of the list.
        entries: Vec<EngineEntry>,
    },
    /// A subscription to the engine list failed or was lost.
    EngineListFailed,
    /// A statement arrived. It gets exactly one final answer: an engine's answer, a rejection or
    /// an abort.
    Arrived(Arrival),
    /// An execution ended.
    ExecutionEnded(ExecutionEnded),
    /// A progress report on an execution in flight arrived.
    Progress {
        /// The statement being executed.
        statement: StatementId,
        /// The number of the execution among those of the statement, from 0.
        execution: usize,
        /// The engine that the execution was sent to.
        engine: EngineId,
        /// The content of the report.
        progress: ProgressReport,
    },
    /// The statement was withdrawn, as its client disconnected or its front answered it. It is
    /// complete and needs no answer of the scheduler.
    StatementWithdrawn(StatementId),
    /// A transaction that held an order key has ended.
    OrderKeyReleased {
        /// The order key.
        key: KeyId,
        /// Whether the transaction may still be running, so that the key pauses for the
        /// agreement's `order_gap`.
        pauses: bool,
    },
    /// A health check ended.
    Probed {
        /// The probed engine.
        engine: EngineId,
        /// Whether the engine answered.
        alive: bool,
        /// The load report in the answer, if any.
        report: Option<LoadReport>,
    },
    /// A peer reported on an engine.
    PeerReport(PeerReport),
    /// The number of fronts changed.
    Fleet {
        /// Fronts that this front knows and that have not left the fleet, including itself.
        known: f64,
        /// The known fronts from which this front receives messages, including itself; infinite if
        /// other fronts run the fleet's health checks.
        up: f64,
    },
    /// The demand on the fleet changed.
    FleetDemand(FleetDemand),
    /// The number of executions that can be sent to an engine now has changed.
    SendCapacity {
        /// The engine.
        engine: EngineId,
        /// The executions that can be sent at once over open connections and those that may be
        /// opened.
        executions: usize,
    },
    /// The time of the last [`Action::Wake`](super::Action::Wake) has been reached.
    Woken,
}
