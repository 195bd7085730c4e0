//! What clients and engines wrote down, as the rules are checked on it.

use std::collections::{BTreeMap, HashSet};

use super::waits::ProcessorWaits;

/// How a unit ended for its client.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// Whole, with so many rows, all of them this statement's own.
    Completed {
        rows: usize,
    },
    /// Something else than this statement's rows came.
    Spoilt,
    Error(String),
    /// The connection ended first.
    Lost,
    /// Nothing came in time.
    Nothing,
}

/// What may be done with a statement again.
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
    /// When its client knew that the front had taken it, where it asked; else it knows by the answer.
    pub accepted_at: Option<i64>,
    pub timeout: i64,
    pub outcome: Outcome,
    pub rows: usize,
    pub repeat: Repeat,
    /// It may run only on engines of this place in the list of kinds.
    pub bound: bool,
    pub key: String,
    /// The transaction it belongs to.
    pub transaction: Option<usize>,
    /// Its client asked for its end.
    pub cancel_requested: bool,
    /// The error that the statement itself asked for.
    pub expected_error: Option<&'static str>,
    /// An error that an engine's fault may end it with.
    pub tolerated_error: Option<&'static str>,
    /// It only begins or ends a transaction.
    pub control: bool,
    /// The front may cut it off with its connection: an engine ended within a message, or the front ends.
    pub may_be_lost: bool,
}

impl StatementRecord {
    /// A plain statement that has just been sent, with no answer yet.
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
    /// What the commit came to; None where it was never asked for.
    pub commit: Option<Outcome>,
}

/// An engine that takes nothing new: told at, taken back at.
#[derive(Clone, Debug)]
pub struct Drain {
    pub engine: usize,
    pub from: i64,
    pub to: i64,
}

/// What was agreed, and what happened around the front.
#[derive(Clone, Debug, Default)]
pub struct Agreement {
    pub grace: i64,
    pub slack: i64,
    /// How long the machine let somebody wait: answers may be later by it.
    pub processor_waits: ProcessorWaits,
    /// Engines that bound statements may run on.
    pub bound_to: HashSet<usize>,
    /// Further executions: spare, share of the statements taken, window.
    pub retry_budget: Option<(f64, f64, i64)>,
    pub drains: Vec<Drain>,
}

/// Violations by rule, each with what was seen.
pub type Violations = BTreeMap<&'static str, Vec<String>>;

/// An execution as its engine wrote it down; times are microseconds since the rig began.
pub(super) struct Execution {
    pub(super) engine: usize,
    pub(super) link: u32,
    pub(super) from: i64,
    pub(super) to: i64,
    pub(super) key: String,
}

/// Notes a violation of a rule.
pub(super) fn add_violation(wrong: &mut Violations, rule: &'static str, what: String) {
    wrong.entry(rule).or_default().push(what);
}
