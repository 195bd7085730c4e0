//! What clients and engines recorded, in the form in which the rules are checked.

use std::collections::{BTreeMap, HashSet};

use super::waits::ProcessorWaits;

/// How a unit ended for its client.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// All rows arrived, and all of them belong to this statement.
    Completed {
        rows: usize,
    },
    /// Something other than this statement's rows arrived.
    Spoilt,
    Error(String),
    /// The connection ended first.
    Lost,
    /// Nothing arrived in time.
    Nothing,
}

/// Whether a statement may be run again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeat {
    Idempotent,
    Deduplicated,
    NonIdempotent,
}

/// A unit as its client saw it; times are microseconds since the rig began.
#[derive(Clone, Debug)]
pub struct StatementRecord {
    pub id: String,
    pub sent: i64,
    pub answered: i64,
    /// When the client knew that the front had accepted the statement, if it asked; otherwise the
    /// answer is the first sign.
    pub accepted_at: Option<i64>,
    pub timeout: i64,
    pub outcome: Outcome,
    pub rows: usize,
    pub repeat: Repeat,
    /// The statement may run only on engines of one kind, listed in `Agreement::bound_to`.
    pub bound: bool,
    pub key: String,
    /// The transaction that the statement belongs to.
    pub transaction: Option<usize>,
    /// The client requested its cancellation.
    pub cancel_requested: bool,
    /// The error that the statement itself requests.
    pub expected_error: Option<&'static str>,
    /// An error that an engine's fault may end it with.
    pub tolerated_error: Option<&'static str>,
    /// The statement only begins or ends a transaction.
    pub control: bool,
    /// The front may drop it with its connection: an engine was lost within a message, or the front
    /// shuts down.
    pub may_be_lost: bool,
}

impl StatementRecord {
    /// Creates the record of a plain statement that has just been sent and has no answer yet.
    pub fn new(id: String, sent: i64, timeout: i64, repeat: Repeat) -> StatementRecord {
        StatementRecord {
            id,
            sent,
            answered: 0,
            accepted_at: None,
            timeout,
            outcome: Outcome::Nothing,
            rows: 0,
            repeat,
            bound: false,
            key: String::new(),
            transaction: None,
            cancel_requested: false,
            expected_error: None,
            tolerated_error: None,
            control: false,
            may_be_lost: false,
        }
    }
}

/// A transaction as its client saw it.
#[derive(Clone, Debug, Default)]
pub struct Transaction {
    pub statements: Vec<String>,
    /// The outcome of the commit; `None` if it was never requested.
    pub commit: Option<Outcome>,
}

/// An engine that accepts no new statements between the announcement and its withdrawal.
#[derive(Clone, Debug)]
pub struct Drain {
    pub engine: usize,
    pub from: i64,
    pub to: i64,
}

/// The settings as agreed, and what happened around the front.
#[derive(Clone, Debug, Default)]
pub struct Agreement {
    pub grace: i64,
    pub slack: i64,
    /// How long the harness or the front waited for a CPU: answers may be later by as much.
    pub processor_waits: ProcessorWaits,
    /// Engines that statements with `bound` may run on.
    pub bound_to: HashSet<usize>,
    /// Retry budget: spare executions, share of the accepted statements, and window in
    /// microseconds.
    pub retry_budget: Option<(f64, f64, i64)>,
    pub drains: Vec<Drain>,
}

/// Violations by rule, each with a description of what was seen.
pub type Violations = BTreeMap<&'static str, Vec<String>>;

/// An execution as its engine recorded it; times are microseconds since the rig began.
pub(super) struct Execution {
    pub(super) engine: usize,
    pub(super) link: u32,
    pub(super) from: i64,
    pub(super) to: i64,
    pub(super) key: String,
}

/// Adds a violation of a rule.
pub(super) fn add_violation(wrong: &mut Violations, rule: &'static str, what: String) {
    wrong.entry(rule).or_default().push(what);
}
