//! Units: a unit is what a front sends to one engine, the messages between two Syncs or a simple
//! query.

use std::ops::Range;
use std::rc::Rc;

use crate::client_error::ClientError;
use crate::prepared::Prepared;
use crate::sql::{Contradictions, Label, LocalCommand, Scan, SessionEffect, StatementEffect};
use crate::wire;

/// One operation of a unit. Ranges refer to the part's bytes; `named` is whether the prepared
/// statement has a name in the session.
#[derive(Debug)]
pub enum Operation {
    /// Prepares a statement.
    Parse {
        /// The statement.
        prepared: Rc<Prepared>,
        /// Whether the statement has a name in the session.
        named: bool,
    },
    /// Opens a portal on a prepared statement.
    Bind {
        /// The statement.
        prepared: Rc<Prepared>,
        /// Whether the statement has a name in the session.
        named: bool,
        /// The portal's name.
        portal: Range<usize>,
        /// The formats and values of the parameters, and the formats of the result.
        rest: Range<usize>,
    },
    /// Describes a prepared statement.
    Describe {
        /// The statement.
        prepared: Rc<Prepared>,
        /// Whether the statement has a name in the session.
        named: bool,
    },
    /// Describes a portal; the complete message is forwarded unchanged.
    DescribePortal(Range<usize>),
    /// Executes a portal; the complete message is forwarded unchanged.
    Execute(Range<usize>),
    /// Closes a portal; the complete message is forwarded unchanged.
    ClosePortal(Range<usize>),
    /// Closes a statement. It stays prepared at engines, where all sessions share it, so the front
    /// answers this itself.
    CloseStatement,
    /// Answers with this error and makes the transaction at the engine fail.
    Fail(ClientError),
    /// Executes a simple query; the complete message is forwarded unchanged.
    Query(Range<usize>),
    /// Asks the engine to send the answers so far.
    Flush,
    /// Ends the unit.
    Sync,
}

/// A unit, or the part of one up to a Flush.
#[derive(Debug, Default)]
pub struct UnitPart {
    /// The operations, in order.
    pub ops: Vec<Operation>,
    /// The client's bytes.
    pub raw: Vec<u8>,
    /// Whether the unit ends with this part.
    pub ends_unit: bool,
    /// Whether the part executes anything but settings of labels.
    pub executes: bool,
    /// The labels that the part itself gives its unit.
    pub label: Label,
    /// Whether the part begins a transaction.
    pub begins_transaction: bool,
    /// Whether the part commits a transaction.
    pub commits_transaction: bool,
    /// Whether the part can have lasting effect before the unit's Sync.
    pub may_commit: bool,
    /// Whether the part rolls a transaction back.
    pub rolls_back_transaction: bool,
    /// The number of statements that the part executes.
    pub statements: usize,
    /// The effects of these statements on the session, in order.
    pub effects: Vec<StatementEffect>,
    /// The text of a simple query, as a range of the bytes.
    pub(crate) query: Option<Range<usize>>,
    pub(crate) first_prepared: Option<Rc<Prepared>>,
    /// Whether the texts that the part executes have different values of a label.
    pub(crate) contradictions: Contradictions,
    /// Names of the statements that the part parses, in order.
    pub(crate) parsed_names: Vec<Vec<u8>>,
    pub(crate) is_local: bool,
    pub(crate) local_commands: Vec<LocalCommand>,
}

impl UnitPart {
    /// Returns the first text that the part executes; empty if there is none.
    pub fn text(&self) -> &[u8] {
        let query = self.query.clone().and_then(|at| self.raw.get(at));
        query
            .or(self.first_prepared.as_ref().map(|p| p.text()))
            .unwrap_or_default()
    }

    /// Returns all texts that the part executes or may execute: that of a simple query, and those
    /// of the statements it parses, binds or describes.
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

    /// Returns the text if the part is a simple query.
    pub fn simple_query_text(&self) -> Option<&[u8]> {
        matches!(self.ops[..], [Operation::Query(_)]).then(|| self.text())
    }

    /// Returns a copy with another text if the part is a simple query.
    pub fn with_text(&self, text: &[u8]) -> Option<UnitPart> {
        self.simple_query_text()?;
        let mut raw = Vec::new();
        wire::write(&mut raw, b'Q', |out| wire::write_string(out, text));
        let query = raw.len() - 1 - text.len()..raw.len() - 1;
        Some(UnitPart {
            ops: vec![Operation::Query(0..raw.len())],
            raw,
            ends_unit: self.ends_unit,
            executes: true,
            label: self.label.clone(),
            begins_transaction: self.begins_transaction,
            commits_transaction: self.commits_transaction,
            may_commit: self.may_commit,
            rolls_back_transaction: self.rolls_back_transaction,
            statements: self.statements,
            effects: self.effects.clone(),
            query: Some(query),
            local_commands: self.local_commands.clone(),
            ..UnitPart::default()
        })
    }

    /// Returns a part that fails with this error, at an engine as well, and has no effect.
    pub fn failed(&self, why: ClientError) -> UnitPart {
        let end = if self.ends_unit {
            Operation::Sync
        } else {
            Operation::Flush
        };
        UnitPart {
            ops: vec![Operation::Fail(why), end],
            ends_unit: self.ends_unit,
            label: self.label.clone(),
            parsed_names: self.parsed_names.clone(),
            is_local: self.ends_unit,
            ..UnitPart::default()
        }
    }

    /// Returns the name of a label that the texts of the part give different values of; None for a
    /// part that needs no engine. `ignores_customer`: the label of the customer does not count.
    pub fn contradictory_label(&self, ignores_customer: bool) -> Option<&'static str> {
        let contradictions = self.contradictions;
        contradictions
            .first(ignores_customer)
            .filter(|_| !self.is_local)
    }

    /// Adds the effects of an executed text on the session and its transaction. `statements` is how
    /// many statements the engine completes for it.
    pub(crate) fn add_executed(&mut self, scan: &Scan, statements: usize) {
        self.begins_transaction |= scan.begins_transaction;
        self.commits_transaction |= scan.commits_transaction;
        self.may_commit |= scan.may_commit;
        self.rolls_back_transaction |= scan.rolls_back_transaction;
        let earlier = self.statements;
        self.effects
            .extend(scan.effects.iter().map(|effect| StatementEffect {
                statement: earlier + effect.statement,
                effect: effect.effect.clone(),
            }));
        self.statements += statements;
    }

    /// Whether the part changes settings of the engine's connection.
    pub(crate) fn changes_settings(&self) -> bool {
        let is_setting = |e: &StatementEffect| matches!(e.effect, SessionEffect::Setting(_));
        self.effects.iter().any(is_setting)
    }

    /// Returns the number of statements parsed before the first operation that fails.
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

/// Whether a unit commits a transaction, as far as its parts are known.
pub fn commits_transaction(parts: &[Rc<UnitPart>]) -> bool {
    parts.iter().any(|part| part.commits_transaction)
}

/// Whether an engine may keep effects of a unit whose Sync it has not received, as far as the unit's
/// parts are known.
pub fn may_commit(parts: &[Rc<UnitPart>]) -> bool {
    parts.iter().any(|part| part.may_commit)
}

/// Whether a unit that is executed in an open transaction may have an effect that stays although the
/// transaction does not, as far as the unit's parts are known: it commits, or goes on after it has
/// rolled the transaction back.
pub fn may_outlast_transaction(parts: &[Rc<UnitPart>]) -> bool {
    if commits_transaction(parts) {
        return true;
    }
    let total: usize = parts.iter().map(|part| part.statements).sum();
    let mut earlier = 0;
    parts.iter().any(|part| {
        let rolls_back_before_last = |e: &StatementEffect| {
            e.effect == SessionEffect::Rollback && earlier + e.statement < total
        };
        let goes_on = part.effects.iter().any(rolls_back_before_last);
        earlier += part.statements;
        goes_on
    })
}

/// The outcome of a unit at an engine.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct UnitOutcome {
    /// The protocol's transaction status byte: `I` idle, `T` in a transaction, `E` in a failed one.
    pub status: u8,
    /// The SQLSTATE of the error that ended the unit; None if it succeeded.
    pub error: Option<String>,
    /// Whether the error is the engine's fault, not the statement's.
    pub engine_fault: bool,
    /// The number of statements that were completed.
    pub completed: usize,
    /// Which of the completed statements, counted from 1, were answered with ROLLBACK, in order.
    pub rolled_back: Vec<usize>,
    /// The number of statements parsed before the error.
    pub parsed_count: usize,
}
