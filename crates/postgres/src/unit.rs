//! A unit: what a front sends to one engine as a whole. It is the messages between two Syncs, or a simple query.

use std::ops::Range;
use std::rc::Rc;

use crate::client_error::ClientError;
use crate::prepared::Prepared;
use crate::sql::{Change, Label, LocalCommand, Scan};
use crate::wire;

/// One operation of a unit; ranges are those of the part's bytes. `named` tells whether the prepared
/// statement has a name in the session.
#[derive(Debug)]
pub enum Operation {
    /// Prepares a statement.
    Parse {
        /// The statement.
        prepared: Rc<Prepared>,
        /// See above.
        named: bool,
    },
    /// Opens a portal on a prepared statement.
    Bind {
        /// The statement.
        prepared: Rc<Prepared>,
        /// See above.
        named: bool,
        /// The portal's name.
        portal: Range<usize>,
        /// The formats and values of its parameters.
        rest: Range<usize>,
    },
    /// Describes a prepared statement.
    Describe {
        /// The statement.
        prepared: Rc<Prepared>,
        /// See above.
        named: bool,
    },
    /// Describes a portal: a whole message that goes on as it is.
    DescribePortal(Range<usize>),
    /// Executes a portal: a whole message that goes on as it is.
    Execute(Range<usize>),
    /// Closes a portal: a whole message that goes on as it is.
    ClosePortal(Range<usize>),
    /// Closes a statement. Engines keep statements for all sessions, so it is only answered.
    CloseStatement,
    /// Is answered with this error, and the engine's transaction fails with it.
    Fail(ClientError),
    /// A simple query: a whole message that goes on as it is.
    Query(Range<usize>),
    /// Asks for the answers so far.
    Flush,
    /// Ends the unit.
    Sync,
}

/// A unit, or as much of one as came before a Flush.
#[derive(Debug, Default)]
pub struct UnitPart {
    /// Its operations, in order.
    pub ops: Vec<Operation>,
    /// The client's bytes.
    pub raw: Vec<u8>,
    /// Whether the unit ends with it.
    pub ends_unit: bool,
    /// The labels in its texts.
    pub label: Label,
    /// Whether it begins a transaction.
    pub begins_transaction: bool,
    /// Whether it commits one.
    pub commits_transaction: bool,
    /// Whether it rolls one back.
    pub rolls_back_transaction: bool,
    /// Changes of the session's settings.
    pub changes: Vec<Change>,
    /// The first text that runs: a range of the bytes, or what was prepared.
    pub(crate) query: Option<Range<usize>>,
    pub(crate) first: Option<Rc<Prepared>>,
    /// Names of what it parses, in order, and whether it can be answered here.
    pub(crate) named: Vec<Vec<u8>>,
    pub(crate) local: bool,
    pub(crate) local_commands: Vec<LocalCommand>,
}

impl UnitPart {
    /// The first text that it runs.
    pub fn text(&self) -> &[u8] {
        let query = self.query.clone().and_then(|at| self.raw.get(at));
        query
            .or(self.first.as_ref().map(|p| p.text()))
            .unwrap_or_default()
    }

    /// All texts that it runs or could: its own, and those of what it has prepared.
    pub fn texts(&self) -> impl Iterator<Item = &[u8]> {
        let query = self.query.clone().and_then(|at| self.raw.get(at));
        let prepared = self.ops.iter().filter_map(|op| match op {
            Operation::Parse { prepared, .. }
            | Operation::Bind { prepared, .. }
            | Operation::Describe { prepared, .. } => Some(prepared.text()),
            _ => None,
        });
        query.into_iter().chain(prepared)
    }

    /// Its text where it is a simple query.
    pub fn simple_query_text(&self) -> Option<&[u8]> {
        matches!(self.ops[..], [Operation::Query(_)]).then(|| self.text())
    }

    /// The same with other text, where it is a simple query.
    pub fn with_text(&self, text: &[u8]) -> Option<UnitPart> {
        self.simple_query_text()?;
        let mut raw = Vec::new();
        wire::write(&mut raw, b'Q', |out| wire::write_string(out, text));
        let query = raw.len() - 1 - text.len()..raw.len() - 1;
        Some(UnitPart {
            ops: vec![Operation::Query(0..raw.len())],
            raw,
            ends_unit: self.ends_unit,
            label: self.label.clone(),
            begins_transaction: self.begins_transaction,
            commits_transaction: self.commits_transaction,
            rolls_back_transaction: self.rolls_back_transaction,
            changes: self.changes.clone(),
            query: Some(query),
            local_commands: self.local_commands.clone(),
            ..UnitPart::default()
        })
    }

    /// Adds what a text that it runs does to the session.
    pub(crate) fn add_scan(&mut self, scan: &Scan) {
        self.label = self.label.overridden_by(&scan.label);
        self.begins_transaction |= scan.begins_transaction;
        self.commits_transaction |= scan.commits_transaction;
        self.rolls_back_transaction |= scan.rolls_back_transaction;
        self.changes.extend(scan.changes.iter().cloned());
        self.local_commands.extend(scan.local_command.clone());
    }

    /// Statements parsed before the first step that fails.
    pub(crate) fn parsed_before_failure(&self) -> usize {
        let before = self
            .ops
            .iter()
            .take_while(|op| !matches!(op, Operation::Fail(_)));
        before
            .filter(|op| matches!(op, Operation::Parse { .. }))
            .count()
    }
}

/// How a unit ended.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct UnitOutcome {
    /// The transaction status in the protocol's letters: `I` idle, `T` in a transaction, `E` in a failed one.
    pub status: u8,
    /// The SQLSTATE of the error that it ended with, if it did.
    pub error: Option<String>,
    /// The error is the engine's fault, not the statement's.
    pub engine_fault: bool,
    /// A transaction ended without effect.
    pub rolled_back: bool,
    /// How many of its statements were parsed before the error.
    pub parsed_count: usize,
}
