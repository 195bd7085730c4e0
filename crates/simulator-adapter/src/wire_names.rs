//! Maps the names of the simulator's protocol to the terms of the code. No other module contains
//! names of the protocol.

/// Messages from the simulator.
pub mod input {
    /// Start of a batch of messages; carries the time.
    pub const BATCH_BEGINS: &str = "BEGIN_BATCH";
    /// End of a batch; the adapter then replies.
    pub const BATCH_ENDS: &str = "EOF_BATCH";
    /// Start of an engine list.
    pub const LIST_BEGINS: &str = "LEDGER";
    /// An entry of the engine list that was started.
    pub const LIST_ENTRY: &str = "ENTRY";
    /// A front starts.
    pub const FRONT_STARTS: &str = "ATTACH";
    /// A front ends.
    pub const FRONT_ENDS: &str = "DOWN";
    /// A statement arrives.
    pub const ARRIVAL: &str = "JOB_IN";
    /// An execution has ended.
    pub const EXECUTION_ENDED: &str = "RETURNED";
    /// An engine reports progress of an execution.
    pub const NOTE: &str = "NOTICE";
    /// The client of a statement has disconnected or cancelled it.
    pub const CLIENT_LEFT: &str = "GONE";
    /// The time that a front asked to be woken at has passed.
    pub const WAKE: &str = "RING";
    /// A front receives an engine list.
    pub const ENGINE_LIST: &str = "FLEET";
    /// A health check has ended.
    pub const PROBE_ENDED: &str = "PROBE_RESULT";
    /// Messages that are ignored because they require no decision.
    pub const IGNORED: [&str; 2] = ["OPENED", "NOTE_FROM"];
}

/// Messages to the simulator.
pub mod output {
    /// Memory and priority of a statement's executions.
    pub const TERMS: &str = "PROVIDE";
    /// Execute a statement at an engine.
    pub const EXECUTE: &str = "CALL_OUT";
    /// Cancel an execution.
    pub const CANCEL: &str = "RETRACT";
    /// Reject a statement.
    pub const REJECT: &str = "SHED";
    /// Abort a statement.
    pub const ABORT: &str = "FAIL";
    /// Probe an engine.
    pub const PROBE: &str = "PROBE";
    /// Subscribe to the engine list.
    pub const SUBSCRIBE: &str = "SUBSCRIBE";
    /// Wake the front at a time.
    pub const WAKE_AT: &str = "SET_ALARM";
    /// End of the reply to a batch.
    pub const REPLY_ENDS: &str = "FINISHED";
    /// A line for a front was not handled.
    pub const BAD_LINE: &str = "BAIL_OUT";
}

/// Fields; times are in milliseconds.
pub mod field {
    /// The front's number.
    pub const FRONT: &str = "who";
    /// The time of a batch.
    pub const NOW: &str = "clockMs";
    /// The seed of a front's random draws.
    pub const SEED: &str = "randomSeed";
    /// A front's settings, to the end of the line.
    pub const SETTINGS: &str = "options";
    /// The number of an engine list.
    pub const LIST: &str = "ref";
    /// The number of entries in a list.
    pub const LIST_LENGTH: &str = "entries";
    /// Whether a list contains all engines or only changes.
    pub const LIST_FORM: &str = "form";
    /// An engine's id.
    pub const ENGINE: &str = "engine";
    /// The index of an engine's location.
    pub const LOCATION: &str = "campus";
    /// The index of an engine's kind.
    pub const KIND: &str = "classOfHost";
    /// An engine's cell.
    pub const CELL: &str = "group";
    /// Whether an engine accepts statements.
    pub const MODE: &str = "mode";
    /// When an engine started.
    pub const STARTED: &str = "onlineSinceMs";
    /// A statement's number.
    pub const STATEMENT: &str = "req";
    /// The index of a statement's workload.
    pub const WORKLOAD: &str = "cls";
    /// The index of a statement's customer.
    pub const CUSTOMER: &str = "clientGroup";
    /// A statement's order key.
    pub const ORDER_KEY: &str = "object";
    /// The remaining time until the deadline of a statement's client.
    pub const TIME_LEFT: &str = "expiresInMs";
    /// A statement's estimated work.
    pub const WORK: &str = "guessMs";
    /// A statement's estimated memory, in MB.
    pub const MEMORY_MB: &str = "ramMb";
    /// The data set that a statement reads or loads.
    pub const DATA_SET: &str = "tableGroup";
    /// The number of an execution within its statement.
    pub const EXECUTION: &str = "seqNo";
    /// How an execution or a probe ended.
    pub const OUTCOME: &str = "status";
    /// How long an execution took.
    pub const TOOK: &str = "delaySeenMs";
    /// Whether the statement of an execution is finished.
    pub const SETTLED: &str = "settled";
    /// The cost of an execution. The adapter checks its form but does not use it.
    pub const COST: &str = "note";
    /// An engine's load report.
    pub const LOAD_REPORT: &str = "gauge";
    /// The kind of a progress report.
    pub const NOTE_KIND: &str = "kind";
    /// The figure of a progress report.
    pub const NOTE_FIGURE: &str = "amount";
    /// The memory to grant, in MB.
    pub const GRANT_MB: &str = "memoryGrant";
    /// An execution's priority.
    pub const PRIORITY: &str = "prio";
    /// The time after which a rejected client may try again: Retry-After.
    pub const RETRY_AFTER: &str = "retryInMs";
    /// The time at which to wake a front.
    pub const WAKE_AT: &str = "fireAtMs";
    /// The name under which a front is woken.
    pub const WAKE_NAME: &str = "ref";
    /// Whether a front subscribes to the engine list.
    pub const FOLLOWS: &str = "enable";
    /// What is wrong with a line.
    pub const REASON: &str = "words";
}

/// Values of fields.
pub mod value {
    /// Of [`super::field::MODE`]: accepts statements.
    pub const READY: &str = "Ready";
    /// Of [`super::field::MODE`]: accepts no new statements.
    pub const DRAINING: &str = "Terminating";
    /// Of [`super::field::MODE`]: is gone.
    pub const GONE: &str = "Gone";
    /// Of [`super::field::LIST_FORM`]: only engines that have changed.
    pub const CHANGES: &str = "delta";
    /// Of [`super::field::LIST_FORM`]: all engines.
    pub const FULL: &str = "full";
    /// Of [`super::field::LIST_FORM`]: all engines, as last known.
    pub const CACHED: &str = "cached";
    /// Of [`super::field::LIST_FORM`]: the list is unavailable.
    pub const FAILED: &str = "failed";
    /// Of [`super::field::OUTCOME`]: completed.
    pub const COMPLETED: &str = "pass";
    /// Of [`super::field::OUTCOME`]: the engine failed.
    pub const ERROR: &str = "fault";
    /// Of [`super::field::OUTCOME`]: the engine rejected the execution.
    pub const NO_CAPACITY: &str = "no_room";
    /// Of [`super::field::OUTCOME`]: timed out.
    pub const TIMED_OUT: &str = "too_slow";
    /// Of [`super::field::OUTCOME`]: the engine could not be reached.
    pub const UNREACHABLE: &str = "no_route";
    /// Of [`super::field::OUTCOME`]: the connection broke.
    pub const RESET: &str = "cut";
    /// Of [`super::field::OUTCOME`]: cancelled.
    pub const CANCELLED: &str = "undone";
    /// Of [`super::field::OUTCOME`]: not sent.
    pub const NOT_SENT: &str = "stale_send";
    /// Of [`super::field::WAKE_NAME`]: the only name that the adapter uses.
    pub const WAKE: &str = "wake";
    /// Of [`super::field::FOLLOWS`]: subscribes.
    pub const YES: u8 = 1;
    /// Of [`super::field::NOTE_KIND`]: the figure is the share of work done.
    pub const SHARE_DONE: u32 = 1;
    /// Of [`super::field::NOTE_KIND`]: the figure is the memory that is missing, in MB.
    pub const SPILLS_MB: u32 = 2;
    /// Of [`super::field::NOTE_KIND`]: the execution waits, for memory if the figure is 1,
    /// otherwise for data.
    pub const WAITS: u32 = 3;
}
