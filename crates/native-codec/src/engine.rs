//! The protocol between a front and a query engine: lines of words, some with bytes behind them.

mod read;
mod write;

pub use read::{are_rows, read};
pub use write::write;

/// An execution as it goes to an engine.
pub struct ExecutionRequest<'a> {
    /// The client's own id of the statement; the engine's replies carry it.
    pub id: &'a str,
    /// The workload's name, as the settings have it.
    pub workload: &'a str,
    /// Executions with equal keys take effect once.
    pub dedup_key: Option<&'a str>,
    /// Milliseconds that the engine has for the execution, its queue included.
    pub wait_ms: i64,
    /// MB of memory that the engine is to grant; 0 leaves it to the engine.
    pub grant_mb: f64,
    /// From 0; the highest goes first.
    pub priority: u8,
    /// The statement's text, as the client sent it.
    pub statement: &'a [u8],
}

/// What a front asks of an engine.
pub enum Command<'a> {
    /// Execute a statement.
    Execute(ExecutionRequest<'a>),
    /// Abandon an execution.
    Cancel {
        /// The statement's id.
        id: &'a str,
    },
    /// Change the priority of an execution that waits or runs.
    SetPriority {
        /// The statement's id.
        id: &'a str,
        /// The new priority.
        priority: u8,
    },
    /// Send a further page of a result.
    FetchPage {
        /// The statement's id.
        id: &'a str,
        /// The page's number, from 0.
        page: usize,
    },
    /// Drop a result of which no more pages will be fetched.
    ReleaseResult {
        /// The statement's id.
        id: &'a str,
    },
    /// Answer whether the engine is healthy.
    Probe {
        /// Comes back as the id of the answer.
        tag: &'a str,
    },
}

/// What an engine's reply says of an execution or a probe.
#[derive(Debug, PartialEq)]
pub enum ReplyKind {
    /// The result's first page is there.
    FirstPage {
        /// Pages of the whole result, this one included.
        pages: usize,
    },
    /// A further page of the result.
    Page {
        /// The page's number, from 0.
        number: usize,
    },
    /// The engine did not take the execution; another may.
    Rejected,
    /// The execution failed.
    Failed,
    /// The engine knows the execution no more.
    Stale,
    /// The execution goes on: this share of it is done, from 0 to 1.
    ShareDone(f64),
    /// The execution goes on, short of so many MB of memory.
    SpillsMb(f64),
    /// The execution waits for memory.
    WaitsForMemory,
    /// The execution waits for data that another one holds.
    WaitsForData,
    /// An empty note, or one that is not known: the execution goes on.
    OtherNote,
    /// The answer to a probe.
    ProbeAnswer {
        /// False where the engine says that something ails it.
        healthy: bool,
    },
}

/// A reply of an engine.
#[derive(Debug, PartialEq)]
pub struct Reply<'a> {
    /// The id of the statement or the tag of the probe that it belongs to.
    pub id: &'a str,
    /// What it says.
    pub kind: ReplyKind,
    /// The load report that came with it: its figures, in the order of the names asked for.
    pub report: Option<Vec<f64>>,
    /// The page that came with it; empty where none did.
    pub bytes: &'a [u8],
}

#[cfg(test)]
#[path = "engine_tests.rs"]
mod tests;
