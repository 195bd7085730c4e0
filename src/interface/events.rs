//! What happens outside the module.

use super::{EngineEntry, EngineId, KeyId, LoadReport, Micros, StatementId};

/// How an execution ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The engine answered with the result.
    Completed,
    /// The engine answered that it failed; the statement may have run.
    Error,
    /// The engine refused it, as it has no capacity: it has not run.
    NoCapacity,
    /// The client's time was up; the statement may be running on.
    TimedOut,
    /// No connection to the engine came up: it has not run.
    Unreachable,
    /// The connection broke; the statement may be running on.
    Reset,
    /// It was cancelled; the statement may be running on.
    Cancelled,
    /// It never left this front: it has not run, which says nothing of the engine.
    NotSent,
}

/// What is learned of an execution in flight.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ProgressReport {
    /// The share of its work that is done, 0 to 1.
    ShareDone(f64),
    /// It has too little memory and spills to disk: the memory that it lacks, in MB.
    SpillsMb(f64),
    /// It stands still until its engine has memory for it.
    WaitsForMemory,
    /// It stands still while a load holds its data set.
    WaitsForData,
    /// Its engine has answered something else meanwhile.
    Alive,
    /// It has not left its front yet, which says nothing of its engine.
    NotSentYet,
}

/// A statement as its client sent it.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// The statement.
    pub statement: StatementId,
    /// The place of its workload in the agreement.
    pub workload: usize,
    /// The place of its customer in the agreement; 0 where no customers are agreed.
    pub customer: usize,
    /// Its order key; used where its workload runs in order.
    pub order_key: Option<KeyId>,
    /// The time that its client still waits.
    pub time_left: Micros,
    /// An estimate of its work on one thread, in microseconds; 0 where the site gives none.
    pub work: f64,
    /// An estimate of the memory that it needs, in MB; 0 where the site gives none.
    pub memory_mb: f64,
    /// The data set that it reads or loads, where that is known.
    pub data_set: Option<u32>,
    /// The protocols that it can be sent in, a bit for each.
    pub protocols: u8,
    /// The engine that holds the open transaction it belongs to: it goes there or nowhere, and once.
    pub sticky_engine: Option<EngineId>,
    /// The places of the locations it may be sent to; None: all that its workload allows.
    pub allowed_locations: Option<Vec<usize>>,
}

/// The end of an execution.
#[derive(Clone, Debug)]
pub struct ExecutionEnded {
    /// The statement that the execution is of.
    pub statement: StatementId,
    /// The number of the execution among those of its statement, from 0.
    pub execution: usize,
    /// The engine that it was sent to.
    pub engine: EngineId,
    /// How it ended.
    pub outcome: Outcome,
    /// The time since it was sent.
    pub took: Micros,
    /// The statement has its final answer, through this outcome or before it.
    pub settled: bool,
    /// Its transaction goes on and keeps its order key until [`Event::OrderKeyReleased`].
    pub keeps_order_key: bool,
    /// The engine's load report, where the answer carries one.
    pub report: Option<LoadReport>,
}

/// What another front reports of an engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PeerReport {
    /// The front that reports, by an index that the caller hands out.
    pub reporter: usize,
    /// The engine reported on.
    pub engine: EngineId,
    /// Executions there that failed over the last seconds; older ones count less.
    pub failed: f64,
    /// Executions there that were answered over the last seconds; older ones count less.
    pub answered: f64,
    /// The time for which the engine has sent nothing with executions in flight; 0 where it answers.
    pub silent: Micros,
    /// The time since the report was made.
    pub age: Micros,
}

impl PeerReport {
    /// Whether it reports that the engine answers, with no silence.
    pub fn answers(&self) -> bool {
        self.answered >= 1.0 && self.silent == 0
    }
}

/// What the fronts that report their demand were asked of one workload over the last seconds; the same
/// figures at every front.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Demand {
    /// Statements that arrived.
    pub arrived: f64,
    /// Statements, of those admitted, that had their final answer.
    pub ended: f64,
    /// Statements, of those ended, that were answered within their SLO time.
    pub timely: f64,
    /// The work of a statement on one thread, in microseconds.
    pub work: f64,
}

/// The demand on the fleet, by the reports of its fronts.
#[derive(Clone, Debug, Default)]
pub struct FleetDemand {
    /// The share of the admitted statements that were not answered within their SLO time, 0 to 1.
    pub late_share: f64,
    /// The demand on this front over the mean of those that report theirs; 0 where none does.
    pub relative: f64,
    /// The demand of each workload, in the order of the agreement.
    pub workloads: Vec<Demand>,
    /// Statements a second over all fronts, by customer; empty where no shares are agreed.
    pub customers_per_s: Vec<f64>,
}

/// Something that has happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// The engine list.
    EngineList {
        /// The entries are the whole list: an engine that is missing takes nothing new. Else only what
        /// changed.
        complete: bool,
        /// The lines of the list.
        entries: Vec<EngineEntry>,
    },
    /// A subscription to the engine list failed or broke.
    EngineListFailed,
    /// A statement arrived. It has exactly one final answer: an answer of an engine, a rejection or an abort.
    Arrived(Arrival),
    /// An execution ended.
    ExecutionEnded(ExecutionEnded),
    /// Something is learned of an execution in flight.
    Progress {
        /// The statement that the execution is of.
        statement: StatementId,
        /// The number of the execution among those of its statement, from 0.
        execution: usize,
        /// The engine that it was sent to.
        engine: EngineId,
        /// What is learned.
        progress: ProgressReport,
    },
    /// The client of a statement left; the statement is over.
    StatementWithdrawn(StatementId),
    /// A transaction that kept an order key is over.
    OrderKeyReleased {
        /// The order key.
        key: KeyId,
        /// The transaction may still run: the key pauses for the `order_gap` of the agreement.
        pauses: bool,
    },
    /// A probe ended.
    Probed {
        /// The engine probed.
        engine: EngineId,
        /// It answered.
        alive: bool,
        /// The load report that it answered with.
        report: Option<LoadReport>,
    },
    /// Another front reported on an engine.
    PeerReport(PeerReport),
    /// The number of fronts changed.
    Fleet {
        /// Fronts that this one knows of and that have not left, itself included.
        known: f64,
        /// Those of them that this front hears of, itself included; infinite where others probe for the
        /// fleet.
        up: f64,
    },
    /// The demand on the fleet changed.
    FleetDemand(FleetDemand),
    /// The executions that can leave for an engine now changed.
    SendCapacity {
        /// The engine.
        engine: EngineId,
        /// Executions that connections which are up, or may be made, can carry at once.
        executions: usize,
    },
    /// The time of the last [`Action::Wake`](super::Action::Wake) has come.
    Woken,
}
