//! The front's side of a connection to an engine: its login, the statements prepared and the
//! settings applied on it, and the matching of its answers to the operations of a unit. Answers to
//! messages that the front added itself are never forwarded to a client.

mod login;
mod receiving;
mod sending;

use std::collections::{HashSet, VecDeque};
use std::rc::Rc;

use lru::LruCache;
use postgres_protocol::authentication::sasl::ScramSha256;

use crate::client_error::ClientError;
use crate::prepared::{Prepared, SessionSettings};
pub use crate::unit::UnitOutcome;
use crate::unit::UnitPart;
use crate::wire::{self, CancelKey};

/// An event found in an engine's messages, besides the answers that are forwarded to the client.
#[derive(Debug, PartialEq, Eq)]
pub enum EngineEvent {
    /// The login succeeded; the connection accepts units.
    Ready,
    /// The engine refused the login.
    LoginRefused {
        /// The SQLSTATE.
        code: String,
        /// The complete ErrorResponse message, for the client.
        error: Vec<u8>,
    },
    /// A session's settings are applied. The unit that waited for them is not sent yet:
    /// `send_waiting` sends it, or its connection is closed.
    SettingsApplied,
    /// The engine refused to apply a session's settings.
    SettingsRefused {
        /// The complete ErrorResponse message, for the client.
        error: Vec<u8>,
    },
    /// The engine answered a health check.
    PingAnswered,
    /// The unit in flight has ended.
    UnitDone(UnitOutcome),
}

/// An account with which the front logs in at engines.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Account {
    /// The user's name.
    pub user: String,
    /// The database's name.
    pub database: String,
    /// The password, where engines ask for one.
    pub password: Option<String>,
}

#[derive(PartialEq)]
enum Stage {
    Login,
    /// A session's settings are being applied.
    ApplyingSettings,
    Ready,
}

enum Expected {
    /// The front sends the client this answer itself, as nothing was sent to the engine.
    LocalAnswer(&'static [u8]),
    /// The answer to a Parse. `number` is that of the prepared statement, None for the unnamed one.
    /// A hidden answer is not forwarded to the client.
    Parsed {
        number: Option<u64>,
        hidden: bool,
    },
    Bound,
    Described,
    Executed,
    /// The answer to a Close. `hidden` is the number of a statement that the front itself closed;
    /// if an error makes the engine skip the Close, the statement is still prepared there.
    Closed {
        hidden: Option<u64>,
    },
    /// The client is sent this error in place of the engine's next one.
    Fail(ClientError),
    Query,
    Sync,
    /// A Sync that the front sent as a health check.
    Ping,
}

/// A part of a unit that waits until the settings of its session are applied.
struct WaitingPart {
    part: Rc<UnitPart>,
    settings: Rc<SessionSettings>,
}

/// The state of a connection to an engine, which executes one unit at a time.
pub struct EngineConnection {
    account: Account,
    stage: Stage,
    /// The SCRAM exchange of a login in progress.
    exchange: Option<Box<ScramSha256>>,
    /// The key for cancel requests, once the engine has sent it.
    pub key: Option<CancelKey>,
    /// Names and values of the parameters that the engine reported during login; they are passed on
    /// to clients at their startup.
    pub parameters: Vec<(String, String)>,
    prepared: LruCache<u64, ()>,
    /// The maximum number of statements that stay prepared on the connection.
    max_prepared: usize,
    /// Numbers of statements whose Parse was sent and is not yet confirmed.
    unconfirmed: HashSet<u64>,
    /// The number of the statement that this unit prepared as the unnamed one.
    unnamed: Option<u64>,
    /// The settings applied on the connection; None if they are unknown.
    settings: Option<Rc<SessionSettings>>,
    /// Parts that were submitted while settings are being applied, and that are not sent yet.
    waiting_for_settings: Vec<WaitingPart>,
    /// The engine's first error message while settings are being applied.
    settings_error: Option<Vec<u8>>,
    /// The answers still expected, in order.
    expected: VecDeque<Expected>,
    /// After an error the engine skips all messages up to the next Sync.
    skipping: bool,
    /// Bytes not yet received of a long message that is forwarded in pieces.
    remaining_bytes: usize,
    /// The outcome of the current unit, as far as it is known.
    outcome: UnitOutcome,
}

/// Returns the name of a prepared statement on engine connections.
fn statement_name(number: u64) -> String {
    format!("hm:{number}")
}

/// Returns the name by which a unit refers to a prepared statement on an engine connection; empty
/// for the session's unnamed statement.
fn engine_name(prepared: &Prepared, named: bool) -> String {
    if named {
        statement_name(prepared.number)
    } else {
        String::new()
    }
}

impl EngineConnection {
    /// Starts a login by writing the startup message to `out`. At most `max_prepared` statements
    /// stay prepared on the connection.
    pub fn new(account: Account, max_prepared: usize, out: &mut Vec<u8>) -> EngineConnection {
        let parameters = [
            ("user", account.user.as_str()),
            ("database", &account.database),
        ];
        wire::write_startup(out, &parameters);
        EngineConnection {
            account,
            stage: Stage::Login,
            exchange: None,
            key: None,
            parameters: Vec::new(),
            prepared: LruCache::unbounded(),
            max_prepared,
            unconfirmed: HashSet::new(),
            unnamed: None,
            settings: Some(Rc::default()),
            waiting_for_settings: Vec::new(),
            settings_error: None,
            expected: VecDeque::new(),
            skipping: false,
            remaining_bytes: 0,
            outcome: UnitOutcome::default(),
        }
    }

    /// Whether the login has succeeded.
    pub fn is_logged_in(&self) -> bool {
        self.stage != Stage::Login
    }

    /// Whether a unit waits for its session's settings to be applied: nothing of it has been sent.
    pub fn is_applying_settings(&self) -> bool {
        self.stage == Stage::ApplyingSettings || !self.waiting_for_settings.is_empty()
    }

    /// Whether the bytes forwarded to the client so far end at a message boundary.
    pub fn is_between_messages(&self) -> bool {
        self.remaining_bytes == 0
    }

    /// Whether a session's settings are already applied on the connection.
    pub fn has_settings(&self, settings: &Rc<SessionSettings>) -> bool {
        self.settings
            .as_ref()
            .is_some_and(|current| Rc::ptr_eq(current, settings) || current == settings)
    }

    /// Returns the number of statements prepared on the connection.
    pub fn prepared_count(&self) -> usize {
        self.prepared.len()
    }
}

#[cfg(test)]
#[path = "engine_tests.rs"]
mod tests;
