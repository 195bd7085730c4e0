//! The result of scanning an SQL text, as far as a front needs it.

use super::labels::Label;

/// A change of a session's settings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// Sets a setting.
    Set {
        /// The setting's name, in lower case.
        name: String,
        /// The SET statement that applies it on another connection.
        statement: String,
    },
    /// Resets the setting of this name to its default.
    Reset(String),
    /// Resets all settings to their defaults.
    ResetAll,
}

/// A change of a session's labels by SET or RESET.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LabelChange {
    /// The label's name without the prefix `hallmux.`.
    pub name: String,
    /// The value; empty to remove the label.
    pub value: String,
}

/// The effect of a statement on the settings, labels and transaction of its session.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SessionEffect {
    /// Changes a setting.
    Setting(Change),
    /// Changes a label.
    Label(LabelChange),
    /// Commits the transaction; one that has failed is rolled back.
    Commit,
    /// Rolls the transaction back.
    Rollback,
    /// Sets a savepoint of this name.
    Savepoint(String),
    /// Rolls the transaction back to the last savepoint of this name.
    RollbackToSavepoint(String),
    /// Removes the last savepoint of this name and those after it; what came after it stays.
    ReleaseSavepoint(String),
}

/// An effect of one statement among several.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StatementEffect {
    /// Which of the statements it is, counted from 1.
    pub statement: usize,
    /// The effect.
    pub effect: SessionEffect,
}

/// A statement that the front answers without an engine, if it is the only one of its text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LocalCommand {
    /// Sets a label: its name without the prefix `hallmux.`, and its value.
    Label(String, String),
    /// Drops all prepared statements of the session.
    Deallocate,
    /// Drops all prepared statements and resets all settings.
    Discard,
}

impl LocalCommand {
    /// Returns the command tag for CommandComplete.
    pub fn tag(&self) -> &'static str {
        match self {
            LocalCommand::Label(..) => "SET",
            LocalCommand::Deallocate => "DEALLOCATE ALL",
            LocalCommand::Discard => "DISCARD ALL",
        }
    }
}

/// The result of scanning a text.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Scan {
    /// The labels in the leading comments.
    pub label: Label,
    /// The number of statements.
    pub statements: usize,
    /// Whether a statement begins a transaction.
    pub begins_transaction: bool,
    /// Whether a statement commits a transaction.
    pub commits_transaction: bool,
    /// Whether a statement can have lasting effect before the unit's Sync: it commits, or is of a
    /// kind that can commit by itself.
    pub may_commit: bool,
    /// Whether a statement rolls a transaction back.
    pub rolls_back_transaction: bool,
    /// The effects of the statements on their session, in order.
    pub effects: Vec<StatementEffect>,
    /// The statement, if it is the only one and needs no engine.
    pub local_command: Option<LocalCommand>,
    /// A feature in the text that is not possible over shared connections.
    pub unsupported: Option<&'static str>,
}

impl Scan {
    /// Adds an effect of the statement that is being scanned.
    pub(super) fn add_effect(&mut self, effect: SessionEffect) {
        self.effects.push(StatementEffect {
            statement: self.statements,
            effect,
        });
    }

    /// Returns the changes of labels, in order, each with the number of its statement, counted from
    /// 1; a statement changes one label at most.
    pub(crate) fn label_changes(&self) -> impl Iterator<Item = (usize, &LabelChange)> {
        self.effects
            .iter()
            .filter_map(|effect| match &effect.effect {
                SessionEffect::Label(change) => Some((effect.statement, change)),
                _ => None,
            })
    }

    /// Whether the text is a single statement that ends a transaction.
    pub fn only_ends_transaction(&self) -> bool {
        self.statements == 1 && (self.commits_transaction || self.rolls_back_transaction)
    }
}
