//! What a scan of a text found, as far as a front has to know it.

use super::labels::Label;

/// A change of the session's settings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// A setting gets a value.
    Set {
        /// Its name, in lower case.
        name: String,
        /// The statement that sets it again.
        statement: String,
    },
    /// The setting of this name goes back to its default.
    Reset(String),
    /// All settings go back to their defaults.
    ResetAll,
}

/// A statement that the front answers without an engine, where it is all that a text holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LocalCommand {
    /// A label, its name behind `hallmux.` and its value.
    Label(String, String),
    /// Drops everything that the session has prepared.
    Deallocate,
    /// Drops that, and all settings.
    Discard,
}

impl LocalCommand {
    /// The tag of its completion.
    pub fn tag(&self) -> &'static str {
        match self {
            LocalCommand::Label(..) => "SET",
            LocalCommand::Deallocate => "DEALLOCATE ALL",
            LocalCommand::Discard => "DISCARD ALL",
        }
    }
}

/// What a front has to know of a text.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Scan {
    /// The labels in its leading comments.
    pub label: Label,
    /// How many statements it holds.
    pub statements: usize,
    /// Whether one begins a transaction.
    pub begins_transaction: bool,
    /// Whether one commits a transaction.
    pub commits_transaction: bool,
    /// Whether one rolls a transaction back.
    pub rolls_back_transaction: bool,
    /// Changes of the session's settings, in order.
    pub changes: Vec<Change>,
    /// The statement, where it is the only one and needs no engine.
    pub local_command: Option<LocalCommand>,
    /// What in it can't be done over shared connections.
    pub unsupported: Option<&'static str>,
}

impl Scan {
    /// Whether the text does nothing but end a transaction.
    pub fn only_ends_transaction(&self) -> bool {
        self.statements == 1 && (self.commits_transaction || self.rolls_back_transaction)
    }
}
