//! A connection to an engine as the front knows it: its login, what is prepared and set on it, and which of
//! its answers belong to which step of a unit. What the front did of its own accord is never seen by a client.

mod receiving;
mod sending;

use std::collections::{HashSet, VecDeque};
use std::rc::Rc;

use lru::LruCache;
use postgres_protocol::authentication::sasl::ScramSha256;

use crate::client_error::ClientError;
use crate::prepared::SessionSettings;
use crate::session::UnitPart;
use crate::wire::{self, CancelKey};

/// How a unit ended.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct UnitOutcome {
    /// As the protocol tells where the transaction stands.
    pub status: u8,
    /// The code of the error that it ended with.
    pub error: Option<String>,
    /// The error speaks of the engine, not of the statement.
    pub fault: bool,
    /// A transaction ended without effect.
    pub rolled_back: bool,
    /// How many of its statements were parsed before the error.
    pub parsed: usize,
}

/// What an engine has said, beyond what goes on to the client.
#[derive(Debug, PartialEq, Eq)]
pub enum EngineEvent {
    /// It takes units from now on.
    Ready,
    /// It does not let the front in: the code, and the whole message for the client.
    LoginRefused {
        code: String,
        error: Vec<u8>,
    },
    /// A session's settings can't be had here: the whole message for the client.
    SettingsRefused {
        error: Vec<u8>,
    },
    /// It has answered a question that only asks for an answer.
    PingAnswered,
    UnitDone(UnitOutcome),
}

/// Who the front is at the engine.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Account {
    pub user: String,
    pub database: String,
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

pub struct EngineConnection {
    account: Account,
    stage: Stage,
    exchange: Option<Box<ScramSha256>>,
    /// What a request to cancel has to tell.
    pub key: Option<CancelKey>,
    /// What the engine tells of itself, for the welcome of clients.
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
    /// Begins a login.
    pub fn new(account: Account, most_prepared: usize, out: &mut Vec<u8>) -> EngineConnection {
        let who = [("user", account.user.as_str()), ("database", &account.database)];
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

    pub fn is_up(&self) -> bool {
        self.stage != Stage::Login
    }

    /// Whether what was passed on so far ends with a whole message.
    pub fn is_between_messages(&self) -> bool {
        self.passing == 0
    }

    /// Whether a session with these settings finds its own here.
    pub fn suits(&self, settings: &Rc<SessionSettings>) -> bool {
        self.settings.as_ref().is_some_and(|own| Rc::ptr_eq(own, settings) || own == settings)
    }

    pub fn prepared(&self) -> usize {
        self.prepared.len()
    }
}

#[cfg(test)]
#[path = "engine_tests.rs"]
mod tests;
