//! The names that the native protocols use on the wire, mapped to the terms of the code. This is
//! the only such table: other code uses the terms only. It does not contain the names of settings
//! and of PostgreSQL's protocol.
//!
//! The coordinator's JSON fields are mapped by `serde(rename)` in [`crate::coordinator`]:
//! `endpoints` is an update of the engine list, `full` whether the list is complete, `servers` the
//! engines, `addr` an engine's address, `zone` its location.

/// Names in the Thrift messages between clients and a front.
pub mod client {
    /// The method that executes a statement.
    pub const EXECUTE: &str = "serve";
    /// The method that cancels a statement.
    pub const CANCEL: &str = "forget";
    /// The method that asks whether a front accepts statements.
    pub const HEALTH_CHECK: &str = "isWell";

    /// The field of the statement's id, unique over all connections.
    pub const STATEMENT_ID: &str = "txn";
    /// The field that names the workload.
    pub const WORKLOAD: &str = "verb";
    /// The field that names the customer.
    pub const CUSTOMER: &str = "team";
    /// The field of the time that the client still waits, in milliseconds.
    pub const TIME_LEFT_MS: &str = "limit";
    /// The field of the deduplication key, equal for all repeats of a statement.
    pub const DEDUP_KEY: &str = "unique";
    /// The field of the order key: statements with equal keys run one after the other.
    pub const ORDER_KEY: &str = "item";
    /// The field of the estimated work, in milliseconds on one core.
    pub const WORK_MS: &str = "cpu";
    /// The field of the estimated memory, in MB.
    pub const MEMORY_MB: &str = "heap_mb";
    /// A field that must be "1" if present; its value is not used.
    pub const SECOND: &str = "second";
    /// The field of the statement's text, or of a result.
    pub const BODY: &str = "body";

    /// The field of a rejection for the time to wait before a retry, in milliseconds.
    pub const RETRY_AFTER_MS: &str = "later";
    /// The field of an answer that says whether the front accepts statements.
    pub const HEALTHY: &str = "good";
}

/// Names in the lines between a front and an engine.
pub mod engine {
    /// The command that executes a statement.
    pub const EXECUTE: &str = "want";
    /// The command that cancels an execution.
    pub const CANCEL: &str = "never_mind";
    /// The command that changes the priority of an execution.
    pub const SET_PRIORITY: &str = "hurry";
    /// The command that fetches a page of a result.
    pub const FETCH_PAGE: &str = "turn";
    /// The command that drops a result.
    pub const RELEASE_RESULT: &str = "shut";
    /// The command that probes an engine's health.
    pub const PROBE: &str = "busy";

    /// The field of an execution's workload.
    pub const WORKLOAD: &str = "class";
    /// The field of the execution's time limit, in milliseconds.
    pub const WAIT_MS: &str = "wait";
    /// The field of an execution's idempotency key.
    pub const DEDUP_KEY: &str = "once";
    /// The field of the memory to grant, in MB.
    pub const GRANT_MB: &str = "mb";
    /// The field of an execution's priority.
    pub const PRIORITY: &str = "nice";

    /// The reply that carries the first page of a result.
    pub const FIRST_PAGE: &str = "ACK";
    /// The reply that carries a further page.
    pub const PAGE: &str = "BLOCK";
    /// The reply that rejects an execution.
    pub const REJECTED: &str = "AGAIN";
    /// The replies for a failed execution.
    pub const FAILED: [&str; 3] = ["EIO", "NOMOD", "NOENT"];
    /// The reply of an engine that no longer knows an execution.
    pub const STALE: &str = "STALE";
    /// The reply for an execution in progress: a progress report.
    pub const NOTE: &str = "EVENT";
    /// The reply of a healthy engine to a probe.
    pub const HEALTHY: &str = "READY";
    /// The reply of an unhealthy engine to a probe.
    pub const UNHEALTHY: &str = "AILING";

    /// The field of the number of pages of a result.
    pub const PAGE_COUNT: &str = "batches";
    /// The field of the number of a page.
    pub const PAGE_NUMBER: &str = "batch";
    /// The field of the load report.
    pub const LOAD_REPORT: &str = "stats";
    /// The field of a note's kind.
    pub const NOTE_KIND: &str = "how";
    /// The field of a note's figure.
    pub const NOTE_FIGURE: &str = "num";
    /// The kind of a note whose figure is the share of work done.
    pub const SHARE_DONE: &str = "so_far";
    /// The kind of a note whose figure is the memory that is missing, in MB.
    pub const SPILLS_MB: &str = "lacking";
    /// The kind of a note for an execution that waits.
    pub const WAITING: &str = "waiting";
    /// The figure of a note for an execution that waits for memory.
    pub const WAITING_FOR_MEMORY: f64 = 1.0;
    /// The figure of a note for an execution that waits for data held by another.
    pub const WAITING_FOR_DATA: f64 = 2.0;

    /// A figure of a load report.
    pub struct ReportFigure {
        /// The figure's name in the settings.
        pub in_settings: &'static str,
        /// The figure's name in an engine's report.
        pub on_wire: &'static str,
    }

    /// Figures of a load report that the settings and engines name differently.
    pub const REPORT_FIGURES: [ReportFigure; 6] = [
        figure("active", "inflight"),
        figure("waiting", "queue"),
        figure("cpu", "util"),
        figure("avg_ms", "latency_ms"),
        figure("rps", "qps"),
        figure("err_rps", "eps"),
    ];

    const fn figure(in_settings: &'static str, on_wire: &'static str) -> ReportFigure {
        ReportFigure {
            in_settings,
            on_wire,
        }
    }
}
