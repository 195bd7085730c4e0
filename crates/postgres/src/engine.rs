//! A connection to an engine as the front knows it: its login, what is prepared and set on it, and which of
//! its answers belong to which step of a unit. What the front did of its own accord is never seen by a
//! client.

mod receiving;
mod sending;

use std::collections::{HashSet, VecDeque};
use std::rc::Rc;

use lru::LruCache;
use postgres_protocol::authentication::sasl::ScramSha256;

use crate::client_error::ClientError;
use crate::prepared::SessionSettings;
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
    /// SessionSettings are being brought over; what waits for them.
    Setting,
    Ready,
}

enum Expected {
    /// Said by the front in the engine's place, as nothing was asked of it.
    Make(&'static [u8]),
    /// The number that the statement has, unless it has none there; hidden from the client or not.
    Parsed {
        number: Option<u64>,
        hidden: bool,
    },
    Bound,
    Described,
    Executed,
    /// Hidden where it is the front's own; the number comes back if the engine never got there.
    Closed {
        hidden: Option<u64>,
    },
    /// The engine's next error stands for this one.
    Fail(ClientError),
    Query,
    Sync,
    /// A Sync of the front's own, to hear whether anybody is there.
    Ping,
}

/// The state of a connection to an engine. It takes one unit at a time.
pub struct EngineConnection {
    account: Account,
    stage: Stage,
    exchange: Option<Box<ScramSha256>>,
    /// For requests to cancel, once the engine has sent it.
    pub key: Option<CancelKey>,
    /// Parameters that the engine reports of itself, by name, for the start-up of clients.
    pub parameters: Vec<(String, String)>,
    prepared: LruCache<u64, ()>,
    most_prepared: usize,
    /// Asked for and not confirmed yet.
    coming: HashSet<u64>,
    /// The statement without a name that this unit has put there.
    unnamed: Option<u64>,
    /// None where it is not known.
    settings: Option<Rc<SessionSettings>>,
    waits: Vec<(Rc<UnitPart>, Rc<SessionSettings>)>,
    set_error: Option<Vec<u8>>,
    expects: VecDeque<Expected>,
    /// An error came: the engine passes over all up to the Sync.
    skipping: bool,
    /// Bytes of the message that is going on which have yet to come.
    passing: usize,
    done: UnitOutcome,
}

fn name(number: u64) -> String {
    format!("hm:{number}")
}

impl EngineConnection {
    /// Begins a login: writes the start-up to `out`. No more than `most_prepared` statements stay prepared
    /// there.
    pub fn new(account: Account, most_prepared: usize, out: &mut Vec<u8>) -> EngineConnection {
        let who = [
            ("user", account.user.as_str()),
            ("database", &account.database),
        ];
        wire::write_start_up(out, &who);
        EngineConnection {
            account,
            stage: Stage::Login,
            exchange: None,
            key: None,
            parameters: Vec::new(),
            prepared: LruCache::unbounded(),
            most_prepared,
            coming: HashSet::new(),
            unnamed: None,
            settings: Some(Rc::default()),
            waits: Vec::new(),
            set_error: None,
            expects: VecDeque::new(),
            skipping: false,
            passing: 0,
            done: UnitOutcome::default(),
        }
    }

    /// Whether the login is over.
    pub fn is_up(&self) -> bool {
        self.stage != Stage::Login
    }

    /// Whether a session's settings are being brought over: what waits for them has not left.
    pub fn is_setting(&self) -> bool {
        self.stage == Stage::Setting
    }

    /// Whether what was passed on so far ends with a whole message.
    pub fn is_between_messages(&self) -> bool {
        self.passing == 0
    }

    /// Whether the connection has a session's settings, so that nothing has to be set.
    pub fn suits(&self, settings: &Rc<SessionSettings>) -> bool {
        self.settings
            .as_ref()
            .is_some_and(|own| Rc::ptr_eq(own, settings) || own == settings)
    }

    /// How many statements are prepared there.
    pub fn prepared(&self) -> usize {
        self.prepared.len()
    }
}

#[cfg(test)]
#[path = "engine_tests.rs"]
mod tests;
