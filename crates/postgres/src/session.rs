//! A session as the front knows it: what is prepared, set and labelled, where its transaction stands, and how
//! its messages fall into units. A unit is what stands between two Syncs, or a simple query.

mod answering;
mod reading;

use std::collections::{HashMap, HashSet};
use std::rc::Rc;

use crate::prepared::{Catalogue, Prepared, SessionSettings};
use crate::sql::{self, quoted_identifier, Change, Label};
use crate::startup::Client;
pub use crate::unit::{Operation, UnitPart};

/// What a session may hold.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Prepared statements.
    pub statements: usize,
    /// Portals open at once.
    pub portals: usize,
    /// Settings.
    pub settings: usize,
    /// Bytes of a message, of a unit's part, and of all that is prepared.
    pub bytes: usize,
}

/// The state of a session's transaction.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Transaction {
    /// There is none.
    #[default]
    None,
    /// An engine has it.
    Open,
    /// An engine has it, and takes only its end.
    Failed,
    /// No engine has it any more, and its client has yet to end it.
    Lost,
}

impl Transaction {
    /// The letter by which the protocol tells it.
    pub fn status(self) -> u8 {
        match self {
            Transaction::None => b'I',
            Transaction::Open => b'T',
            Transaction::Failed | Transaction::Lost => b'E',
        }
    }

    /// Whether an engine holds it.
    pub fn is_held(self) -> bool {
        matches!(self, Transaction::Open | Transaction::Failed)
    }
}

/// What a client's input holds.
pub enum SessionEvent {
    /// More has to come.
    Incomplete,
    /// A unit, or a part of one.
    Part(Rc<UnitPart>),
    /// The client ends the session.
    Terminated,
}

/// The state of a session between a client and a front.
#[derive(Default)]
pub struct Session {
    /// The user's name.
    pub user: String,
    /// The database's name.
    pub database: String,
    /// Its transaction.
    pub transaction: Transaction,
    /// What it has set, in transactions that are over.
    pub settings: Rc<SessionSettings>,
    label: Label,
    statements: HashMap<Vec<u8>, Rc<Prepared>>,
    unnamed: Option<Rc<Prepared>>,
    /// Names of the portals that its unit or transaction has opened.
    portals: HashSet<Vec<u8>>,
    held_bytes: usize,
    /// Why the open transaction is lost, until its client has been told.
    unreported_loss: Option<&'static str>,
    /// Changes of the open transaction: they go with it where it is rolled back.
    pending_changes: Vec<Change>,
    /// A unit has begun and not ended.
    in_unit: bool,
    /// Bytes of the input that were scanned before.
    scanned: usize,
}

impl Session {
    /// A session with the settings and labels of the client's start-up.
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
            settings: catalogue.intern_settings(settings),
            label,
            ..Session::default()
        }
    }

    /// The labels that hold for a unit.
    pub fn label(&self, part: &UnitPart) -> Label {
        self.label.overridden_by(&part.label)
    }

    /// The time a statement may take, in microseconds, as the session or a label has set it; None for no
    /// limit.
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

    /// Whether a unit has begun, and its Sync has yet to come.
    pub fn is_in_unit(&self) -> bool {
        self.in_unit
    }
}
