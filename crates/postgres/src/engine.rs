//! A connection to an engine as the front knows it: its login, what is prepared and set on it, and which of
//! its answers belong to which step of a unit. What the front did of its own accord is never seen by a client.

use std::collections::{HashSet, VecDeque};
use std::rc::Rc;

use lru::LruCache;
use postgres_protocol::authentication::md5_hash;
use postgres_protocol::authentication::sasl::{ChannelBinding, ScramSha256};

use crate::answer::{is_engine_fault, Final};
use crate::prepared::{Prepared, Settings};
use crate::session::{Op, Part};
use crate::wire;
use crate::Unreadable;

const LONGEST_WHOLE: usize = 64 << 10; // bytes of a message that is read as one; errors take some hundred
const MOST_PARAMETERS: usize = 64; // of an engine that it tells of itself; servers have some fifteen

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

    /// Writes a part of a unit. `own` says that the session's transaction is open here, with its settings.
    /// What the front answers in the engine's place before any word of it goes to `back`.
    pub fn send(
        &mut self,
        part: &Rc<Part>,
        settings: &Rc<Settings>,
        own: bool,
        out: &mut Vec<u8>,
        back: &mut Vec<u8>,
    ) {
        if self.stage == Stage::Setting {
            return self.waits.push((part.clone(), settings.clone()));
        }
        if !own && !self.suits(settings) {
            // Guards against a unit that runs with another's settings: it waits until they are confirmed.
            wire::write_query(out, settings.again().as_bytes());
            self.stage = Stage::Setting;
            self.settings = None;
            return self.waits.push((part.clone(), settings.clone()));
        }
        for op in &part.ops {
            self.step(op, &part.raw, out);
        }
        // What a session sets is not the pool's: the next unit brings its own over.
        if !part.changes.is_empty() {
            self.settings = None;
        }
        self.make(back);
    }

    /// Asks for an answer, whatever it is, on a connection that rests.
    pub fn ping(&mut self, out: &mut Vec<u8>) {
        if self.stage == Stage::Ready && self.expects.is_empty() {
            out.extend_from_slice(wire::SYNC);
            self.expects.push_back(Expect::Ping);
        }
    }

    fn step(&mut self, op: &Op, raw: &[u8], out: &mut Vec<u8>) {
        if self.skipping && !matches!(op, Op::Sync) {
            return;
        }
        let message = |at: &std::ops::Range<usize>| raw.get(at.clone()).unwrap_or_default();
        match op {
            Op::Parse { prepared, named: true } if self.has(prepared.number) => {
                self.expects.push_back(Expect::Make(wire::PARSE_COMPLETE));
            }
            Op::Parse { prepared, named } => self.parse(prepared, *named, false, out),
            Op::Bind { prepared, named, portal, rest } => {
                self.ensure(prepared, *named, out);
                wire::write(out, b'B', |out| {
                    wire::write_string(out, message(portal));
                    wire::write_string(
                        out,
                        if *named { name(prepared.number) } else { String::new() }.as_bytes(),
                    );
                    out.extend_from_slice(message(rest));
                });
                self.expects.push_back(Expect::Bound);
            }
            Op::Describe { prepared, named } => {
                self.ensure(prepared, *named, out);
                wire::write(out, b'D', |out| {
                    out.push(b'S');
                    wire::write_string(
                        out,
                        if *named { name(prepared.number) } else { String::new() }.as_bytes(),
                    );
                });
                self.expects.push_back(Expect::Described);
            }
            Op::DescribePortal(at) => {
                out.extend_from_slice(message(at));
                self.expects.push_back(Expect::Described);
            }
            Op::Execute(at) => {
                out.extend_from_slice(message(at));
                self.expects.push_back(Expect::Executed);
            }
            Op::ClosePortal(at) => {
                out.extend_from_slice(message(at));
                self.expects.push_back(Expect::Closed { hidden: None });
            }
            Op::CloseStatement => self.expects.push_back(Expect::Make(wire::CLOSE_COMPLETE)),
            Op::Fail(why) => {
                // A statement of this name there never is: the engine fails what went before in the unit.
                wire::write(out, b'B', |out| {
                    wire::write_string(out, b"");
                    wire::write_string(out, b"hm:none");
                    out.extend_from_slice(&[0; 6]);
                });
                self.expects.push_back(Expect::Fail(why.clone()));
            }
            Op::Query(at) => {
                out.extend_from_slice(message(at));
                self.expects.push_back(Expect::Query);
            }
            Op::Flush => out.extend_from_slice(wire::FLUSH),
            Op::Sync => {
                out.extend_from_slice(wire::SYNC);
                self.expects.push_back(Expect::Sync);
                self.skipping = false;
            }
        }
    }

    fn has(&mut self, number: u64) -> bool {
        self.prepared.get(&number).is_some() || self.coming.contains(&number)
    }

    /// Prepares a statement again, unseen, where this connection does not have it.
    fn ensure(&mut self, prepared: &Rc<Prepared>, named: bool, out: &mut Vec<u8>) {
        let there = if named { self.has(prepared.number) } else { self.unnamed == Some(prepared.number) };
        if !there {
            self.parse(prepared, named, true, out);
        }
    }

    fn parse(&mut self, prepared: &Rc<Prepared>, named: bool, hidden: bool, out: &mut Vec<u8>) {
        if named && self.prepared.len() + self.coming.len() >= self.most_prepared {
            if let Some((oldest, ())) = self.prepared.pop_lru() {
                wire::write(out, b'C', |out| {
                    out.push(b'S');
                    wire::write_string(out, name(oldest).as_bytes());
                });
                self.expects.push_back(Expect::Closed { hidden: Some(oldest) });
            }
        }
        wire::write(out, b'P', |out| {
            wire::write_string(out, if named { name(prepared.number) } else { String::new() }.as_bytes());
            out.extend_from_slice(&prepared.body);
        });
        if named {
            self.coming.insert(prepared.number);
        } else {
            self.unnamed = Some(prepared.number);
        }
        let number = named.then_some(prepared.number);
        self.expects.push_back(Expect::Parsed { number, hidden });
    }

    /// Says what is due in the engine's place.
    fn make(&mut self, back: &mut Vec<u8>) {
        while let Some(Expect::Make(bytes)) = self.expects.front() {
            back.extend_from_slice(bytes);
            self.done.parsed += usize::from(*bytes == wire::PARSE_COMPLETE);
            self.expects.pop_front();
        }
    }

    /// Takes what the engine has said: what is the client's goes to `back`, up to `room` bytes and a little,
    /// what the engine is to hear to `out`. Says how much was taken, and what it means once it means something.
    pub fn read(
        &mut self,
        input: &[u8],
        out: &mut Vec<u8>,
        back: &mut Vec<u8>,
        room: usize,
    ) -> Result<(usize, Option<Heard>), Unreadable> {
        let mut at = 0;
        while back.len() <= room {
            let rest = &input[at..];
            if self.passing > 0 {
                let len = self.passing.min(rest.len());
                if len == 0 {
                    break;
                }
                back.extend_from_slice(&rest[..len]);
                self.passing -= len;
                at += len;
                continue;
            }
            let Some((tag, len)) = wire::head(rest)? else { break };
            let own = self.stage != Stage::Ready;
            // Rows and their like have no limit; they go on as they come.
            if matches!(tag, b'D' | b'd' | b'T' | b't' | b'N') && !own && rest.len() < len {
                if rest.len() < LONGEST_WHOLE {
                    break;
                }
                self.begin(tag)?;
                self.passing = len;
                continue;
            }
            if len > LONGEST_WHOLE && rest.len() < len {
                return Err(Unreadable::new(format!("a message of kind {tag} with {len} bytes")));
            }
            let Some(message) = rest.get(..len) else { break };
            at += len;
            let heard = match self.stage {
                Stage::Login => self.login(tag, &message[5..], message, out)?,
                Stage::Setting => self.set(tag, message, out, back),
                Stage::Ready => self.said(tag, message, back)?,
            };
            if heard.is_some() {
                return Ok((at, heard));
            }
        }
        Ok((at, None))
    }

    fn login(
        &mut self,
        tag: u8,
        body: &[u8],
        message: &[u8],
        out: &mut Vec<u8>,
    ) -> Result<Option<Heard>, Unreadable> {
        let word = |at: usize| body.get(at..at + 4).map(|n| u32::from_be_bytes([n[0], n[1], n[2], n[3]]));
        let password = self.account.password.clone().unwrap_or_default();
        match tag {
            b'R' => match word(0) {
                Some(0) => {}
                Some(3) => wire::write(out, b'p', |out| wire::write_string(out, password.as_bytes())),
                Some(5) => {
                    let salt = body.get(4..8).and_then(|s| s.try_into().ok());
                    let salt = salt.ok_or_else(|| Unreadable::new("no salt"))?;
                    let hash = md5_hash(self.account.user.as_bytes(), password.as_bytes(), salt);
                    wire::write(out, b'p', |out| wire::write_string(out, hash.as_bytes()));
                }
                Some(10) => {
                    let exchange = ScramSha256::new(password.as_bytes(), ChannelBinding::unsupported());
                    wire::write(out, b'p', |out| {
                        wire::write_string(out, crate::scram::MECHANISM.as_bytes());
                        out.extend_from_slice(&(exchange.message().len() as u32).to_be_bytes());
                        out.extend_from_slice(exchange.message());
                    });
                    self.exchange = Some(Box::new(exchange));
                }
                Some(step @ (11 | 12)) => {
                    let exchange = self.exchange.as_mut().ok_or_else(|| Unreadable::new("no exchange"))?;
                    let proof = match step {
                        11 => exchange.update(&body[4..]),
                        _ => exchange.finish(&body[4..]),
                    };
                    proof.map_err(|e| Unreadable::new(format!("login: {e}")))?;
                    if step == 11 {
                        let message = exchange.message();
                        wire::write(out, b'p', |out| out.extend_from_slice(message));
                    }
                }
                _ => return Err(Unreadable::new("a kind of login that is not spoken here")),
            },
            b'S' => self.parameter(body),
            b'K' => self.key = word(0).zip(word(4)),
            b'E' => {
                let code = String::from_utf8_lossy(wire::field(body, b'C').unwrap_or(b"XX000")).into();
                return Ok(Some(Heard::Refused { code, error: message.to_vec() }));
            }
            b'Z' => {
                (self.stage, self.exchange) = (Stage::Ready, None);
                return Ok(Some(Heard::Up));
            }
            b'N' | b'v' => {}
            other => return Err(Unreadable::new(format!("a message of kind {other} during login"))),
        }
        Ok(None)
    }

    fn parameter(&mut self, body: &[u8]) {
        let mut rest = body;
        let (Ok(name), Ok(value)) = (wire::string(&mut rest), wire::string(&mut rest)) else { return };
        let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
        if self.parameters.len() < MOST_PARAMETERS {
            self.parameters.push((text(name), text(value)));
        }
    }

    /// The answer to bringing settings over: none of it is a client's, but why it failed.
    fn set(&mut self, tag: u8, message: &[u8], out: &mut Vec<u8>, back: &mut Vec<u8>) -> Option<Heard> {
        match tag {
            b'E' => _ = self.set_error.get_or_insert(message.to_vec()),
            b'Z' if matches!(self.expects.front(), Some(Expect::Ping)) => {
                self.expects.pop_front();
                return Some(Heard::Alive);
            }
            b'Z' => {
                self.stage = Stage::Ready;
                let waits = std::mem::take(&mut self.waits);
                if let Some(error) = self.set_error.take() {
                    return Some(Heard::SettingsRefused { error });
                }
                self.settings = waits.first().map(|(_, settings)| settings.clone());
                for (part, settings) in waits {
                    self.send(&part, &settings, true, out, back);
                }
            }
            _ => {}
        }
        None
    }

    /// A message that goes on in pieces begins: it must be one that is due.
    fn begin(&mut self, tag: u8) -> Result<(), Unreadable> {
        let described = matches!(self.expects.front(), Some(Expect::Described));
        let running = matches!(self.expects.front(), Some(Expect::Executed | Expect::Query));
        match tag {
            b'N' => {}
            b'T' if described => _ = self.expects.pop_front(),
            b't' if described => {}
            b'T' | b'D' | b'd' if running => {}
            other => return Err(Unreadable::new(format!("a message of kind {other} that was not due"))),
        }
        Ok(())
    }

    fn said(&mut self, tag: u8, message: &[u8], back: &mut Vec<u8>) -> Result<Option<Heard>, Unreadable> {
        let mut passes = true;
        match (tag, self.expects.front()) {
            (b'N', _) => passes = !self.expects.is_empty(),
            (b'S', _) => passes = !self.expects.is_empty(),
            // Nobody listens through a front.
            (b'A', _) => passes = false,
            (b'E', _) => return self.error(message, back),
            (b'1', Some(Expect::Parsed { number, hidden })) => {
                if let Some(number) = *number {
                    self.coming.remove(&number);
                    self.prepared.put(number, ());
                }
                passes = !*hidden;
                self.done.parsed += usize::from(passes);
                self.expects.pop_front();
            }
            (b'3', Some(Expect::Closed { hidden })) => {
                passes = hidden.is_none();
                self.expects.pop_front();
            }
            (b'2', Some(Expect::Bound)) | (b'n', Some(Expect::Described)) => _ = self.expects.pop_front(),
            (b'T', Some(Expect::Described)) => _ = self.expects.pop_front(),
            (b't', Some(Expect::Described)) => {}
            (b'D' | b'H' | b'd' | b'c', Some(Expect::Executed | Expect::Query)) => {}
            (b'T' | b'I', Some(Expect::Query)) => {}
            (b'C', Some(Expect::Executed | Expect::Query)) => {
                self.done.rolled_back |= message.starts_with(b"C\0\0\0\x0dROLLBACK\0");
                if !matches!(self.expects.front(), Some(Expect::Query)) {
                    self.expects.pop_front();
                }
            }
            (b'I' | b's', Some(Expect::Executed)) => _ = self.expects.pop_front(),
            (b'Z', Some(Expect::Ping)) => {
                self.expects.pop_front();
                self.make(back);
                return Ok(Some(Heard::Alive));
            }
            (b'Z', Some(Expect::Sync | Expect::Query)) => {
                self.expects.pop_front();
                back.extend_from_slice(message);
                self.unnamed = None;
                let done = std::mem::take(&mut self.done);
                let status = message.get(5).copied().unwrap_or(b'I');
                if status != b'I' && status != b'T' && status != b'E' {
                    return Err(Unreadable::new("a transaction in no known state"));
                }
                return Ok(Some(Heard::Done(Done { status, ..done })));
            }
            (other, _) => {
                return Err(Unreadable::new(format!("a message of kind {other} that was not due")));
            }
        }
        if passes {
            back.extend_from_slice(message);
        }
        self.make(back);
        Ok(None)
    }

    fn error(&mut self, message: &[u8], back: &mut Vec<u8>) -> Result<Option<Heard>, Unreadable> {
        let code = wire::field(&message[5..], b'C').unwrap_or(b"XX000");
        let fatal = wire::field(&message[5..], b'S') == Some(b"FATAL")
            || wire::field(&message[5..], b'V') == Some(b"FATAL");
        if fatal || self.expects.is_empty() {
            // It is the connection's end, not a statement's answer, and nothing for a client of the front.
            return Err(Unreadable::new(format!("gone: {}", String::from_utf8_lossy(code))));
        }
        match self.expects.front() {
            Some(Expect::Fail(why)) => {
                why.write(back, false);
                self.done.error = Some(why.code().to_string());
            }
            _ => {
                back.extend_from_slice(message);
                self.done.fault |= is_engine_fault(code);
                self.done.error.get_or_insert(String::from_utf8_lossy(code).into());
            }
        }
        // A simple query ends of itself; all else is passed over up to the Sync.
        if !matches!(self.expects.front(), Some(Expect::Query)) {
            loop {
                match self.expects.pop_front() {
                    Some(Expect::Sync) => {
                        self.expects.push_front(Expect::Sync);
                        break;
                    }
                    Some(Expect::Parsed { number: Some(number), .. }) => _ = self.coming.remove(&number),
                    Some(Expect::Closed { hidden: Some(number) }) => _ = self.prepared.put(number, ()),
                    Some(_) => {}
                    None => {
                        self.skipping = true;
                        break;
                    }
                }
            }
        }
        Ok(None)
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
