//! A connection to an engine as the front knows it: its login, what is prepared and set on it, and which of
//! its answers belong to which step of a unit. What the front did of its own accord is never seen by a client.

mod hearing;
mod sending;

use std::collections::{HashSet, VecDeque};
use std::rc::Rc;

use lru::LruCache;
use postgres_protocol::authentication::sasl::ScramSha256;

use crate::answer::Final;
use crate::prepared::Settings;
use crate::session::Part;
use crate::wire;

/// How a unit ended.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Done {
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
pub enum Heard {
    /// It takes units from now on.
    Up,
    /// It does not let the front in: the code, and the whole message for the client.
    Refused {
        code: String,
        error: Vec<u8>,
    },
    /// A session's settings can't be had here: the whole message for the client.
    SettingsRefused {
        error: Vec<u8>,
    },
    /// It has answered a question that only asks for an answer.
    Alive,
    Done(Done),
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
    /// Settings are being brought over; what waits for them.
    Setting,
    Ready,
}

enum Expect {
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
    Fail(Final),
    Query,
    Sync,
    /// A Sync of the front's own, to hear whether anybody is there.
    Ping,
}

pub struct Engine {
    account: Account,
    stage: Stage,
    exchange: Option<Box<ScramSha256>>,
    /// What a request to cancel has to tell.
    pub key: Option<(u32, u32)>,
    /// What the engine tells of itself, for the welcome of clients.
    pub parameters: Vec<(String, String)>,
    prepared: LruCache<u64, ()>,
    most_prepared: usize,
    /// Asked for and not confirmed yet.
    coming: HashSet<u64>,
    /// The statement without a name that this unit has put there.
    unnamed: Option<u64>,
    /// None where it is not known.
    settings: Option<Rc<Settings>>,
    waits: Vec<(Rc<Part>, Rc<Settings>)>,
    set_error: Option<Vec<u8>>,
    expects: VecDeque<Expect>,
    /// An error came: the engine passes over all up to the Sync.
    skipping: bool,
    /// Bytes of the message that is going on which have yet to come.
    passing: usize,
    done: Done,
}

fn name(number: u64) -> String {
    format!("hm:{number}")
}

impl Engine {
    /// Begins a login.
    pub fn new(account: Account, most_prepared: usize, out: &mut Vec<u8>) -> Engine {
        let who = [("user", account.user.as_str()), ("database", &account.database)];
        wire::write_start_up(out, &who);
        Engine {
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
            done: Done::default(),
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
    pub fn suits(&self, settings: &Rc<Settings>) -> bool {
        self.settings.as_ref().is_some_and(|own| Rc::ptr_eq(own, settings) || own == settings)
    }

    pub fn prepared(&self) -> usize {
        self.prepared.len()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::scram::{Exchange, Verifier};

    /// What the engine hears next; `body` is what it says.
    fn told(engine: &mut Engine, tag: u8, body: &[u8]) -> (Vec<u8>, Option<Heard>) {
        let (mut input, mut out, mut back) = (Vec::new(), Vec::new(), Vec::new());
        wire::write(&mut input, tag, |out| out.extend_from_slice(body));
        let (used, heard) = engine.read(&input, &mut out, &mut back, 1 << 20).unwrap();
        assert_eq!((used, back.len()), (input.len(), 0));
        (out, heard)
    }

    fn with(password: &str) -> Engine {
        let account = Account { user: "u".into(), database: "d".into(), password: Some(password.into()) };
        Engine::new(account, 8, &mut Vec::new())
    }

    fn step(number: u32, rest: &[u8]) -> Vec<u8> {
        [&number.to_be_bytes(), rest].concat()
    }

    #[test]
    fn logins_of_every_kind_are_answered() {
        let mut plain = with("secret");
        assert_eq!(told(&mut plain, b'R', &step(3, b"")).0, b"p\0\0\0\x0bsecret\0");
        let mut md5 = with("secret");
        let (out, _) = told(&mut md5, b'R', &step(5, b"salt"));
        assert!(out.starts_with(b"p") && out[5..].starts_with(b"md5") && out.len() == 5 + 36);
        let verifier = Verifier::read(&postgres_protocol::password::scram_sha_256(b"secret")).unwrap();
        for (password, lets_in) in [("secret", true), ("wrong", false)] {
            let mut scram = with(password);
            let (out, _) = told(&mut scram, b'R', &step(10, b"SCRAM-SHA-256\0\0"));
            let first = &out[5 + crate::scram::MECHANISM.len() + 1 + 4..];
            let (exchange, answer) = Exchange::begin(verifier.clone(), first, "own").unwrap();
            let (out, _) = told(&mut scram, b'R', &step(11, answer.as_bytes()));
            let proof = exchange.finish(&out[5..]);
            assert_eq!(proof.is_some(), lets_in);
            if let Some(proof) = proof {
                told(&mut scram, b'R', &step(12, proof.as_bytes()));
                told(&mut scram, b'R', &step(0, b""));
                assert_eq!(told(&mut scram, b'Z', b"I").1, Some(Heard::Up));
            }
        }
        let refused = told(&mut with("x"), b'E', b"SFATAL\0C28P01\0Mno\0\0").1;
        assert!(matches!(refused, Some(Heard::Refused { code, .. }) if code == "28P01"));
    }

    #[test]
    fn an_engine_that_says_what_is_not_due_is_not_believed() {
        for (tag, body) in [(b'D', &b"\0\0"[..]), (b'Z', b"I"), (b'1', b""), (b'G', b""), (b'?', b"")] {
            let mut engine = with("");
            told(&mut engine, b'R', &step(0, b""));
            told(&mut engine, b'Z', b"I");
            let mut input = Vec::new();
            wire::write(&mut input, tag, |out| out.extend_from_slice(body));
            assert!(engine.read(&input, &mut Vec::new(), &mut Vec::new(), 100).is_err(), "{}", tag as char);
        }
        let mut engine = with("");
        let long = [&b"R\x7f\xff\xff\xff"[..], &[0; 100]].concat();
        assert!(engine.read(&long, &mut Vec::new(), &mut Vec::new(), 100).is_err());
    }
}
