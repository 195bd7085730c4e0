//! A session as the front knows it: what is prepared, set and labelled, where its transaction stands, and how
//! its messages fall into units. A unit is what stands between two Syncs, or a simple query.

mod answering;
mod reading;

use std::collections::{HashMap, HashSet};
use std::ops::Range;
use std::rc::Rc;

use self::answering::quoted;
use crate::client_error::ClientError;
use crate::prepared::{Catalogue, Prepared, SessionSettings};
use crate::sql::{self, Change, Label, LocalCommand, Scan};
use crate::startup::Client;
use crate::wire;

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
    pub ends: bool,
    /// The labels in its texts.
    pub label: Label,
    /// Whether it begins a transaction.
    pub begins: bool,
    /// Whether it commits one.
    pub commits: bool,
    /// Whether it rolls one back.
    pub rolls_back: bool,
    /// Changes of the session's settings.
    pub changes: Vec<Change>,
    /// The first text that runs: a range of the bytes, or what was prepared.
    query: Option<Range<usize>>,
    first: Option<Rc<Prepared>>,
    /// Names of what it parses, in order, and whether it can be answered here.
    named: Vec<Vec<u8>>,
    local: bool,
    local_commands: Vec<LocalCommand>,
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
    pub fn simple(&self) -> Option<&[u8]> {
        matches!(self.ops[..], [Operation::Query(_)]).then(|| self.text())
    }

    /// The same with other text, where it is a simple query.
    pub fn with_text(&self, text: &[u8]) -> Option<UnitPart> {
        self.simple()?;
        let mut raw = Vec::new();
        wire::write(&mut raw, b'Q', |out| wire::write_string(out, text));
        let query = raw.len() - 1 - text.len()..raw.len() - 1;
        Some(UnitPart {
            ops: vec![Operation::Query(0..raw.len())],
            raw,
            ends: self.ends,
            label: self.label.clone(),
            begins: self.begins,
            commits: self.commits,
            rolls_back: self.rolls_back,
            changes: self.changes.clone(),
            query: Some(query),
            local_commands: self.local_commands.clone(),
            ..UnitPart::default()
        })
    }

    fn runs(&mut self, scan: &Scan) {
        self.label = self.label.overridden_by(&scan.label);
        self.begins |= scan.begins;
        self.commits |= scan.commits;
        self.rolls_back |= scan.rolls_back;
        self.changes.extend(scan.changes.iter().cloned());
        self.local_commands.extend(scan.local_command.clone());
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
                    let statement =
                        format!("SET {} TO '{}'", quoted(name), value.replace('\'', "''"));
                    settings.0.insert(name.clone(), statement);
                }
            }
        }
        Session {
            user: client.user.clone(),
            database: client.database.clone(),
            settings: catalogue.settings(settings),
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
        let set = self.settings.0.get("statement_timeout");
        let set = set
            .and_then(|statement| statement.rsplit(['=', ' ']).next())
            .and_then(sql::time);
        let told = label.statement_timeout.as_deref().and_then(sql::time);
        set.into_iter().chain(told).filter(|time| *time > 0).min()
    }

    /// Whether a unit has begun, and its Sync has yet to come.
    pub fn is_in_unit(&self) -> bool {
        self.in_unit
    }
}

impl UnitPart {
    /// Statements parsed before the first step that fails.
    fn done_before_fault(&self) -> usize {
        let before = self
            .ops
            .iter()
            .take_while(|op| !matches!(op, Operation::Fail(_)));
        before
            .filter(|op| matches!(op, Operation::Parse { .. }))
            .count()
    }
}
