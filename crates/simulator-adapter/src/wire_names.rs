//! The names of the simulator's protocol, mapped to the terms that the code uses. This is the one table: elsewhere the
//! code spells terms alone.

/// Messages of the simulator.
pub mod input {
    /// A batch of messages begins; carries the time.
    pub const BATCH_BEGINS: &str = "BEGIN_BATCH";
    /// A batch is over: the reply is due.
    pub const BATCH_ENDS: &str = "EOF_BATCH";
    /// An engine list begins.
    pub const LIST_BEGINS: &str = "LEDGER";
    /// An engine of the list that has begun.
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
    /// The client of a statement no longer waits.
    pub const CLIENT_LEFT: &str = "GONE";
    /// The time that was asked for has come.
    pub const WAKE: &str = "RING";
    /// A front learns of an engine list.
    pub const ENGINE_LIST: &str = "FLEET";
    /// A health check has ended.
    pub const PROBE_ENDED: &str = "PROBE_RESULT";
    /// Messages that need no decision.
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
    /// Follow the engine list.
    pub const SUBSCRIBE: &str = "SUBSCRIBE";
    /// Wake the front at a time.
    pub const WAKE_AT: &str = "SET_ALARM";
    /// The reply to a batch is over.
    pub const REPLY_ENDS: &str = "FINISHED";
    /// A line for a front can't be used.
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
    /// How many entries a list has.
    pub const LIST_LENGTH: &str = "entries";
    /// Whether a list is whole.
    pub const LIST_FORM: &str = "form";
    /// An engine's id.
    pub const ENGINE: &str = "engine";
    /// The index of an engine's location.
    pub const LOCATION: &str = "campus";
    /// The index of an engine's kind.
    pub const KIND: &str = "classOfHost";
    /// An engine's cell.
    pub const CELL: &str = "group";
    /// Whether an engine takes statements.
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
    /// The time for which a statement's client still waits.
    pub const TIME_LEFT: &str = "expiresInMs";
    /// A statement's estimated work.
    pub const WORK: &str = "guessMs";
    /// A statement's estimated memory, in MB.
    pub const MEMORY_MB: &str = "ramMb";
    /// The data set that a statement reads or loads.
    pub const DATA_SET: &str = "tableGroup";
    /// The number of an execution among those of its statement.
    pub const EXECUTION: &str = "seqNo";
    /// How an execution or a probe ended.
    pub const OUTCOME: &str = "status";
    /// How long an execution took.
    pub const TOOK: &str = "delaySeenMs";
    /// Whether the statement of an execution is over.
    pub const SETTLED: &str = "settled";
    /// The cost of an execution; its form is checked, nothing uses it.
    pub const COST: &str = "note";
    /// An engine's load report.
    pub const LOAD_REPORT: &str = "gauge";
    /// What a note is about.
    pub const NOTE_KIND: &str = "kind";
    /// The figure of a note.
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
    /// Whether a front follows the engine list.
    pub const FOLLOWS: &str = "enable";
    /// What is wrong with a line.
    pub const REASON: &str = "words";
}

/// Values of fields.
pub mod value {
    /// Of [`super::field::MODE`]: takes statements.
    pub const READY: &str = "Ready";
    /// Of [`super::field::MODE`]: takes no new statements.
    pub const DRAINING: &str = "Terminating";
    /// Of [`super::field::MODE`]: is gone.
    pub const GONE: &str = "Gone";
    /// Of [`super::field::LIST_FORM`]: engines that have changed.
    pub const CHANGES: &str = "delta";
    /// Of [`super::field::LIST_FORM`]: all engines.
    pub const FULL: &str = "full";
    /// Of [`super::field::LIST_FORM`]: all engines, as last known.
    pub const CACHED: &str = "cached";
    /// Of [`super::field::LIST_FORM`]: the list can't be had.
    pub const FAILED: &str = "failed";
    /// Of [`super::field::OUTCOME`]: completed.
    pub const COMPLETED: &str = "pass";
    /// Of [`super::field::OUTCOME`]: the engine failed.
    pub const ERROR: &str = "fault";
    /// Of [`super::field::OUTCOME`]: the engine rejected it.
    pub const NO_CAPACITY: &str = "no_room";
    /// Of [`super::field::OUTCOME`]: its time was up.
    pub const TIMED_OUT: &str = "too_slow";
    /// Of [`super::field::OUTCOME`]: the engine could not be reached.
    pub const UNREACHABLE: &str = "no_route";
    /// Of [`super::field::OUTCOME`]: the connection broke.
    pub const RESET: &str = "cut";
    /// Of [`super::field::OUTCOME`]: cancelled.
    pub const CANCELLED: &str = "undone";
    /// Of [`super::field::OUTCOME`]: it was not sent.
    pub const NOT_SENT: &str = "stale_send";
    /// Of [`super::field::WAKE_NAME`].
    pub const WAKE: &str = "wake";
    /// Of [`super::field::FOLLOWS`].
    pub const YES: u8 = 1;
    /// Of [`super::field::NOTE_KIND`]: the figure is the share of work done.
    pub const SHARE_DONE: u32 = 1;
    /// Of [`super::field::NOTE_KIND`]: the figure is the memory that is missing, in MB.
    pub const SPILLS_MB: u32 = 2;
    /// Of [`super::field::NOTE_KIND`]: the execution waits, for memory where the figure is 1.
    pub const WAITS: u32 = 3;
}
