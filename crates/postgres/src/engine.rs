//! A connection to an engine as the front knows it: its login, what is prepared and set on it, and which of
//! its answers belong to which step of a unit. What the front did of its own accord is never seen by a
//! client.

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

/// What an engine's messages mean, beyond what goes on to the client.
#[derive(Debug, PartialEq, Eq)]
pub enum EngineEvent {
    /// It takes units from now on.
    Ready,
    /// It does not let the front in.
    LoginRefused {
        /// The SQLSTATE.
        code: String,
        /// The whole error message, for the client.
        error: Vec<u8>,
    },
    /// A session's settings can't be had here.
    SettingsRefused {
        /// The whole error message, for the client.
        error: Vec<u8>,
    },
    /// It has answered a ping.
    PingAnswered,
    /// The unit that it had is over.
    UnitDone(UnitOutcome),
}

/// An account at the engines, with which the front logs in.
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
    /// A session's settings are being brought over.
    ApplyingSettings,
    Ready,
}

enum Expected {
    /// The front gives this answer in the engine's place, as nothing was sent to it.
    LocalAnswer(&'static [u8]),
    /// `number` is the prepared statement's, None for the unnamed one. A hidden answer is not the client's.
    Parsed {
        number: Option<u64>,
        hidden: bool,
    },
    Bound,
    Described,
    Executed,
    /// `hidden` is the number of a statement that the front closed of its own accord; an engine that passes
    /// over the Close still has it.
    Closed {
        hidden: Option<u64>,
    },
    /// The client gets this error in place of the engine's next one.
    Fail(ClientError),
    Query,
    Sync,
    /// A Sync of the front's own, as a health check.
    Ping,
}

/// A part of a unit that waits until the settings of its session are confirmed.
struct WaitingPart {
    part: Rc<UnitPart>,
    settings: Rc<SessionSettings>,
}

/// The state of a connection to an engine. It takes one unit at a time.
pub struct EngineConnection {
    account: Account,
    stage: Stage,
    /// A SCRAM login that goes on.
    exchange: Option<Box<ScramSha256>>,
    /// For requests to cancel, once the engine has sent it.
    pub key: Option<CancelKey>,
    /// Parameters that the engine reports of itself, by name, for the start-up of clients.
    pub parameters: Vec<(String, String)>,
    prepared: LruCache<u64, ()>,
    /// How many statements may be prepared there.
    max_prepared: usize,
    /// Numbers of statements whose Parse was sent and is not confirmed yet.
    unconfirmed: HashSet<u64>,
    /// The statement without a name that this unit has put there.
    unnamed: Option<u64>,
    /// The settings that the connection has; None where they are not known.
    settings: Option<Rc<SessionSettings>>,
    /// What was to be sent while settings are being brought over.
    waiting_for_settings: Vec<WaitingPart>,
    /// The engine's first error message while settings were being brought over.
    settings_error: Option<Vec<u8>>,
    /// The answers that are still to come, in order.
    expected: VecDeque<Expected>,
    /// An error came: the engine passes over all up to the Sync.
    skipping: bool,
    /// Bytes still to come of a long message that is passed on in pieces.
    remaining_bytes: usize,
    /// What is known so far of how the unit ends.
    outcome: UnitOutcome,
}

/// The name that a prepared statement has at engines.
fn statement_name(number: u64) -> String {
    format!("hm:{number}")
}

/// The name under which a unit finds a prepared statement; empty where it has none in its session.
fn engine_name(prepared: &Prepared, named: bool) -> String {
    if named {
        statement_name(prepared.number)
    } else {
        String::new()
    }
}

impl EngineConnection {
    /// Begins a login: writes the start-up to `out`. No more than `most_prepared` statements stay prepared
    /// there.
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

    /// Whether the login is over.
    pub fn is_logged_in(&self) -> bool {
        self.stage != Stage::Login
    }

    /// Whether a session's settings are being brought over: what waits for them has not left.
    pub fn is_applying_settings(&self) -> bool {
        self.stage == Stage::ApplyingSettings
    }

    /// Whether what was passed on so far ends with a whole message.
    pub fn is_between_messages(&self) -> bool {
        self.remaining_bytes == 0
    }

    /// Whether the connection has a session's settings, so that nothing has to be set.
    pub fn has_settings(&self, settings: &Rc<SessionSettings>) -> bool {
        self.settings
            .as_ref()
            .is_some_and(|current| Rc::ptr_eq(current, settings) || current == settings)
    }

    /// How many statements are prepared there.
    pub fn prepared_count(&self) -> usize {
        self.prepared.len()
    }
}

#[cfg(test)]
#[path = "engine_tests.rs"]
mod tests;
