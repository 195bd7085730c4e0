//! The protocol between a front and a query engine: lines of words, some followed by a block of
//! bytes.

mod read;
mod write;

pub use read::{are_rows, read};
pub use write::write;

/// The request to execute a statement.
pub struct ExecutionRequest<'a> {
    /// The statement's id, given by the client; the engine's replies carry it.
    pub id: &'a str,
    /// The workload's name in the settings.
    pub workload: &'a str,
    /// The idempotency key: executions with equal keys take effect once.
    pub dedup_key: Option<&'a str>,
    /// The time limit of the execution in milliseconds, including its time in the engine's queue.
    pub wait_ms: i64,
    /// The memory to grant in MB; 0 leaves the amount to the engine.
    pub grant_mb: f64,
    /// The priority, from 0; the highest is executed first.
    pub priority: u8,
    /// The statement's text, as the client sent it.
    pub statement: &'a [u8],
}

/// A command to an engine.
pub enum Command<'a> {
    /// Executes a statement.
    Execute(ExecutionRequest<'a>),
    /// Cancels an execution.
    Cancel {
        /// The statement's id.
        id: &'a str,
    },
    /// Changes the priority of a queued or running execution.
    SetPriority {
        /// The statement's id.
        id: &'a str,
        /// The new priority.
        priority: u8,
    },
    /// Fetches a further page of a result.
    FetchPage {
        /// The statement's id.
        id: &'a str,
        /// The page's number, from 0.
        page: usize,
    },
    /// Drops a result of which no more pages will be fetched.
    ReleaseResult {
        /// The statement's id.
        id: &'a str,
    },
    /// Asks whether the engine is healthy.
    Probe {
        /// The id that the reply will carry.
        tag: &'a str,
    },
}

/// The kind and content of an engine's reply about an execution or a probe.
#[derive(Debug, PartialEq)]
pub enum ReplyKind {
    /// The first page of the result.
    FirstPage {
        /// The number of pages of the result, including this one.
        pages: usize,
    },
    /// A further page of the result.
    Page {
        /// The page's number, from 0.
        number: usize,
    },
    /// The engine did not accept the execution; another engine may.
    Rejected,
    /// The execution failed.
    Failed,
    /// The engine no longer knows the execution.
    Stale,
    /// The execution is in progress, with this share of its work done, from 0 to 1.
    ShareDone(f64),
    /// The execution is in progress and lacks this amount of memory, in MB.
    SpillsMb(f64),
    /// The execution waits for memory.
    WaitsForMemory,
    /// The execution waits for data that another one holds.
    WaitsForData,
    /// A note that is empty or unknown; the execution is in progress.
    OtherNote,
    /// The answer to a probe.
    ProbeAnswer {
        /// Whether the engine reports itself healthy.
        healthy: bool,
    },
}

/// A reply of an engine.
#[derive(Debug, PartialEq)]
pub struct Reply<'a> {
    /// The statement's id or the probe's tag.
    pub id: &'a str,
    /// The kind and content of the reply.
    pub kind: ReplyKind,
    /// The figures of the load report in the reply, in the order of the names passed to `read`;
    /// None without a complete report.
    pub report: Option<Vec<f64>>,
    /// The page in the reply; empty if there is none.
    pub bytes: &'a [u8],
}

#[cfg(test)]
#[path = "engine_tests.rs"]
mod tests;
