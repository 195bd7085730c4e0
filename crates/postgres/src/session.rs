//! The state of a client's session: its prepared statements, settings, labels and transaction, and
//! the grouping of its messages into units. A unit is what lies between two Syncs, or a simple
//! query.

mod answering;
mod labels;
mod reading;
mod transaction_state;

use std::collections::HashMap;
use std::rc::Rc;

use self::labels::UnitLabels;
pub use self::reading::UNIT_TOO_LONG;
use self::transaction_state::TransactionState;
use crate::prepared::{Catalogue, Prepared, SessionSettings};
use crate::sql::{self, quoted_identifier, Label};
use crate::startup::Client;
pub use crate::unit::{
    commits_transaction, may_commit, may_outlast_transaction, Operation, UnitPart,
};

/// Limits of a session.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// The maximum number of prepared statements.
    pub statements: usize,
    /// The maximum number of portals open at once.
    pub portals: usize,
    /// The maximum number of settings.
    pub settings: usize,
    /// The maximum bytes of a message, of a part of a unit, and of all prepared statements
    /// together.
    pub bytes: usize,
}

/// The state of a session's transaction.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Transaction {
    /// No transaction is open.
    #[default]
    None,
    /// The transaction is open at an engine.
    Open,
    /// The transaction has failed and is open at an engine, which accepts only its end.
    Failed,
    /// No engine holds the transaction any more, and the client has not yet ended it.
    Lost,
}

impl Transaction {
    /// Returns the protocol's transaction status byte.
    pub fn status(self) -> u8 {
        match self {
            Transaction::None => b'I',
            Transaction::Open => b'T',
            Transaction::Failed | Transaction::Lost => b'E',
        }
    }

    /// Whether an engine holds the transaction.
    pub fn is_held(self) -> bool {
        matches!(self, Transaction::Open | Transaction::Failed)
    }
}

/// The result of reading a client's input.
pub enum SessionEvent {
    /// The input holds no complete part of a unit.
    Incomplete,
    /// A unit or a part of one.
    Part(Rc<UnitPart>),
    /// The client ended the session.
    Terminated,
}

/// What is known of a unit that is given up before it is complete.
pub struct IncompleteUnit {
    /// The number of bytes that were not received yet of the message that is incomplete.
    pub missing_bytes: usize,
}

/// The state of a session between a client and a front.
#[derive(Default)]
pub struct Session {
    /// The user's name.
    pub user: String,
    /// The database's name.
    pub database: String,
    /// The state of the transaction.
    pub transaction: Transaction,
    /// The settings made by transactions that are over.
    pub settings: Rc<SessionSettings>,
    /// The labels set outside transactions, and by transactions that are over.
    label: Label,
    statements: HashMap<Vec<u8>, Rc<Prepared>>,
    unnamed: Option<Rc<Prepared>>,
    /// The statements of the portals opened by the current unit or transaction, by the portals'
    /// names; the unnamed one is among them.
    portals: HashMap<Vec<u8>, Rc<Prepared>>,
    held_bytes: usize,
    /// Why the transaction was lost, until the client has been sent the reason.
    unreported_loss: Option<&'static str>,
    /// The settings and labels within the open transaction.
    transaction_state: Option<TransactionState>,
    /// A unit has started and its Sync has not yet arrived.
    in_unit: bool,
    /// The labels of the parts of that unit so far.
    unit_labels: UnitLabels,
    /// Bytes at the start of the unconsumed input that were scanned before for the end of a unit.
    scanned: usize,
}

impl Session {
    /// Creates a session with the settings and labels of the client's startup message.
    pub fn new(client: &Client, catalogue: &mut Catalogue) -> Session {
        let mut label = Label::default();
        let mut settings = SessionSettings::default();
        for (name, value) in &client.parameters {
            match name.strip_prefix("hallmux.") {
                Some(name) => _ = label.set(name, value),
                None => {
                    let statement = format!(
                        "SET {} TO '{}'",
                        quoted_identifier(name),
                        value.replace('\'', "''")
                    );
                    settings.0.insert(name.clone(), statement);
                }
            }
        }
        Session {
            user: client.user.clone(),
            database: client.database.clone(),
            settings: catalogue.intern_settings(Rc::new(settings)),
            label,
            ..Session::default()
        }
    }

    /// Returns the labels that apply to a unit: its own override the session's.
    pub fn label(&self, part: &UnitPart) -> Label {
        let open = self.transaction_state.as_ref();
        let label = open.map_or(&self.label, TransactionState::label);
        label.overridden_by(&part.label)
    }

    /// Returns the time limit of a statement in microseconds: the lower of the session's setting
    /// and the label; None for no limit.
    pub fn statement_timeout(&self, label: &Label) -> Option<i64> {
        let from_setting = self.settings.0.get("statement_timeout");
        let from_setting = from_setting
            .and_then(|statement| statement.rsplit(['=', ' ']).next())
            .and_then(sql::parse_duration_us);
        let from_label = label
            .statement_timeout
            .as_deref()
            .and_then(sql::parse_duration_us);
        from_setting
            .into_iter()
            .chain(from_label)
            .filter(|time| *time > 0)
            .min()
    }

    /// Whether a unit has started and its Sync has not yet arrived.
    pub fn is_in_unit(&self) -> bool {
        self.in_unit
    }
}
