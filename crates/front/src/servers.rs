//! Connections to engines that speak PostgreSQL: units out, answers back to whoever has asked, pools of them.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;

use calloop::LoopHandle;
use hallmux_agreement::{Allowance, SessionLimits};
use hallmux_dispatcher::{Ending, Micros, Place, Ticket};
use hallmux_postgres::answer::is_engine_fault;
use hallmux_postgres::engine::{Account, Done, Engine, Heard};
use hallmux_postgres::pool::{self, Freed, Pools, Step};
use hallmux_postgres::prepared::Settings;
use hallmux_postgres::session::Part;
use hallmux_postgres::wire;

use crate::doors::{Changes, Door};
use crate::link::{Broken, Link};

const LOGIN: Micros = 2_000_000; // microseconds for a login once the connection is up; it takes a few ms
const QUIET: Micros = 300_000; // microseconds that an engine with units out may say nothing before it is asked
const LOOK: Micros = 100_000; // microseconds between looks at connections that have rested for long
const MOST_ACCOUNTS: usize = 1_000; // accounts at the engines, by user and database; beyond them none come in
const ONE_READ: usize = 64 << 10; // bytes taken from an engine at once, and so how far a client may be behind
const MOST_UNSENT: usize = 4 << 20; // bytes that an engine may leave untaken: some units of the largest size

/// An execution: its statement and its number.
pub type Sent = (Ticket, usize);
pub type ServerId = u64;
pub type SessionId = u64;

/// What engines have said, and how executions have ended.
pub enum Told {
    /// It may have taken effect from now on, whatever becomes of its connection: it is not repeated.
    Irrevocable(Sent),
    /// Part of its answer; `whole` if that ends with a message.
    Part {
        sent: Sent,
        bytes: Vec<u8>,
        whole: bool,
    },
    /// The rest of its answer, and the connection that holds its transaction, if one is open.
    Answered {
        sent: Sent,
        bytes: Vec<u8>,
        done: Done,
        held: Option<ServerId>,
    },
    /// Not executed, with what the engine says to that.
    Refused {
        sent: Sent,
        error: Vec<u8>,
    },
    Ended {
        sent: Sent,
        ending: Ending,
    },
    /// The engine that this is out on has said something, if not to it.
    Alive(Sent),
    /// The open transaction of a session is gone with its connection.
    Lost {
        session: SessionId,
    },
}

/// A unit as it goes out.
#[derive(Clone)]
pub struct Unit {
    pub session: SessionId,
    pub parts: Vec<Rc<Part>>,
    pub settings: Rc<Settings>,
    pub account: pool::Account,
    /// The connection that holds its transaction.
    pub pin: Option<ServerId>,
    /// It is not to be repeated once it has left.
    pub once: bool,
}

#[derive(PartialEq, Clone, Copy)]
enum Stage {
    /// It waits for a connection, or for a cancel on its own to be over.
    Waits,
    Leaving,
    Out,
}

struct Execution {
    unit: Unit,
    place: Place,
    link: Option<ServerId>,
    stage: Stage,
    /// What has come of its answer and not gone on.
    back: Vec<u8>,
    /// Some of its answer has gone on.
    begun: bool,
    /// Its client does not take more for now.
    paused: bool,
}

struct Server {
    link: Link,
    engine: Engine,
    place: Place,
    up: bool,
    serves: Option<Sent>,
    /// The session whose transaction is open here.
    holds: Option<SessionId>,
    /// Up to where in the output the unit goes that leaves.
    leaving: usize,
    /// Requests to cancel that are on their way to it.
    cancels: usize,
    /// It ends with its unit: a request to cancel could still reach the next.
    last: bool,
    /// What comes belongs to a unit that was given up.
    discards: bool,
}

/// A connection that carries one request to cancel.
struct Cancel {
    link: Link,
    server: ServerId,
    by: Micros,
    /// What is over once the engine has taken it.
    ends: Option<(Sent, Ending)>,
}

struct Listed {
    id: String,
    at: SocketAddr,
    started: f64,
    up: bool,
    failing: bool,
    /// When it last said anything, and was last asked to.
    heard: Micros,
    asked: Micros,
}

pub struct Servers {
    handle: LoopHandle<'static, Changes>,
    allowed: Allowance,
    limits: SessionLimits,
    engines: BTreeMap<Place, Listed>,
    accounts: Vec<Account>,
    links: BTreeMap<ServerId, Server>,
    cancels: BTreeMap<u64, Cancel>,
    coming: BTreeMap<ServerId, Micros>,
    executions: HashMap<Sent, Execution>,
    pools: Pools<Sent>,
    dirty: BTreeSet<ServerId>,
    next: u64,
    most_links: usize,
    look: Micros,
    /// What engines tell of themselves, for the welcome of clients.
    pub parameters: Vec<(String, String)>,
    pub told: Vec<Told>,
}

impl Servers {
    pub fn new(handle: LoopHandle<'static, Changes>, allowed: Allowance, limits: SessionLimits) -> Self {
        let bounds = pool::Bounds {
            each_engine: limits.engine_connections,
            idle: limits.connection_idle,
            age: limits.connection_age,
        };
        Servers {
            handle,
            allowed,
            limits,
            engines: BTreeMap::new(),
            accounts: Vec::new(),
            links: BTreeMap::new(),
            cancels: BTreeMap::new(),
            coming: BTreeMap::new(),
            executions: HashMap::new(),
            pools: Pools::new(bounds),
            dirty: BTreeSet::new(),
            next: 0,
            most_links: usize::MAX,
            look: 0,
            parameters: Vec::new(),
            told: Vec::new(),
        }
    }

    /// Descriptors that it may use.
    pub fn limit(&mut self, descriptors: usize) {
        self.most_links = descriptors.max(1);
    }

    /// The number of an account at the engines.
    pub fn account(&mut self, account: Account) -> Option<pool::Account> {
        let known = self.accounts.iter().position(|a| *a == account);
        // Guards against names of databases without end.
        if known.is_none() && self.accounts.len() < MOST_ACCOUNTS {
            self.accounts.push(account);
            return Some(self.accounts.len() - 1);
        }
        known
    }

    /// Whether an execution is one of its own.
    pub fn has(&self, sent: Sent) -> bool {
        self.executions.contains_key(&sent)
    }

    /// The engine that a connection is to.
    pub fn place(&self, id: ServerId) -> Option<Place> {
        self.links.get(&id).map(|l| l.place)
    }

    /// An engine of the list: where it is, and whether anything may still be sent to it.
    pub fn list(&mut self, place: Place, id: &str, at: SocketAddr, started: f64, up: bool) {
        let known = self.engines.get(&place);
        let same = known.is_some_and(|e| e.id == id && e.at == at && e.started == started);
        let failing = same && known.is_some_and(|e| e.failing);
        let (heard, asked) = known.filter(|_| same).map_or((0, 0), |e| (e.heard, e.asked));
        if known.is_some() && (!same || !up) {
            self.retire(place);
        }
        let id = id.to_string();
        self.engines.insert(place, Listed { id, at, started, up, failing, heard, asked });
    }

    /// A whole list has come: engines that it does not name are gone.
    pub fn retire_but(&mut self, listed: &[Place]) {
        let places: Vec<Place> = self.engines.keys().copied().filter(|p| !listed.contains(p)).collect();
        places.into_iter().for_each(|place| self.retire(place));
    }

    /// What has not left for an engine stays here, open transactions that stand idle there are over; what is
    /// out may still be answered.
    pub fn retire(&mut self, place: Place) {
        if let Some(engine) = self.engines.get_mut(&place) {
            engine.up = false;
        }
        let (waited, resting) = self.pools.retire(place);
        waited.into_iter().for_each(|sent| self.ended(sent, Ending::Withdrawn));
        resting.into_iter().for_each(|id| self.close(id));
        let held = |(id, l): (&ServerId, &Server)| {
            let idle = match l.serves.and_then(|sent| self.executions.get(&sent)) {
                Some(x) => x.stage == Stage::Waits,
                None => true,
            };
            (l.place == place && l.holds.is_some() && idle).then_some(*id)
        };
        let held: Vec<ServerId> = self.links.iter().filter_map(held).collect();
        for id in held {
            let link = self.links.get(&id);
            let (session, waits) = link.map_or((None, None), |l| (l.holds, l.serves));
            self.close(id);
            waits.into_iter().for_each(|sent| self.ended(sent, Ending::Withdrawn));
            self.told.extend(session.map(|session| Told::Lost { session }));
        }
    }

    fn ended(&mut self, sent: Sent, ending: Ending) {
        self.executions.remove(&sent);
        self.told.push(Told::Ended { sent, ending });
    }

    /// Sends a unit over the connection that holds its transaction, else over one that its pool gives.
    pub fn send(&mut self, now: Micros, sent: Sent, place: Place, unit: Unit) {
        if !self.engines.get(&place).is_some_and(|e| e.up) {
            return self.told.push(Told::Ended { sent, ending: Ending::Withdrawn });
        }
        let (pin, account, settings) = (unit.pin, unit.account, unit.settings.clone());
        let x = Execution {
            unit,
            place,
            link: None,
            stage: Stage::Waits,
            back: Vec::new(),
            begun: false,
            paused: false,
        };
        match pin {
            Some(id) => match self.links.get_mut(&id).filter(|l| l.place == place && l.holds.is_some()) {
                Some(link) => {
                    self.executions.insert(sent, x);
                    link.serves = Some(sent);
                    if link.cancels == 0 {
                        self.start(sent, id);
                    }
                }
                None => self.told.push(Told::Ended { sent, ending: Ending::Withdrawn }),
            },
            None => {
                self.executions.insert(sent, x);
                let suits = |id: u64| self.links.get(&id).map_or(0, |l| u32::from(l.engine.suits(&settings)));
                let step = self.pools.submit(place, account, sent, suits);
                self.step(now, place, step);
            }
        }
    }

    /// Does what the pools have decided, and what follows from that.
    fn step(&mut self, now: Micros, place: Place, step: Option<Step<Sent>>) {
        let mut step = step;
        while let Some(next) = step.take() {
            match next {
                Step::Use { unit, link } => self.start(unit, link),
                Step::Dial { account, instead_of } => {
                    instead_of.into_iter().for_each(|id| self.close(id));
                    if self.links.len() + self.cancels.len() >= self.most_links {
                        match self.pools.spare() {
                            Some(id) => self.close(id),
                            // What waits is served as connections come free; with none at all it ends.
                            None if !self.links.is_empty() => return,
                            None => {}
                        }
                    }
                    if let Err(ending) = self.dial(now, place, account) {
                        let waited: Vec<Sent> = self.waiting(place, account);
                        for sent in waited {
                            self.pools.withdraw(place, sent);
                            self.ended(sent, ending);
                        }
                        return;
                    }
                    step = self.pools.next(place);
                }
            }
        }
    }

    fn waiting(&self, place: Place, account: pool::Account) -> Vec<Sent> {
        let waits = |x: &Execution| {
            x.place == place && x.link.is_none() && x.unit.pin.is_none() && x.unit.account == account
        };
        let mut all: Vec<Sent> = self.executions.iter().filter(|(_, x)| waits(x)).map(|(s, _)| *s).collect();
        all.sort_unstable();
        all
    }

    fn dial(&mut self, now: Micros, place: Place, account: pool::Account) -> Result<(), Ending> {
        let engine = self.engines.get(&place).ok_or(Ending::Withdrawn)?;
        let who = self.accounts.get(account).cloned().ok_or(Ending::Withdrawn)?;
        self.next += 1;
        let id = self.next;
        let mut link = match Link::dial(engine.at, &self.handle, Door::Server.party(id)) {
            Ok(link) => link,
            Err(e) => {
                log::warn!("engine {}: no connection can be made: {e}", engine.id);
                return Err(dialled(&e));
            }
        };
        let engine = Engine::new(who, self.limits.prepared, link.output());
        let dial_by = now + self.allowed.dial_timeout;
        self.pools.dialled(now, place, account, id);
        self.coming.insert(id, dial_by);
        let server = Server {
            link,
            engine,
            place,
            up: false,
            serves: None,
            holds: None,
            leaving: 0,
            cancels: 0,
            last: false,
            discards: false,
        };
        self.links.insert(id, server);
        Ok(())
    }

    /// Puts a unit on its way.
    fn start(&mut self, sent: Sent, id: ServerId) {
        let (Some(x), Some(link)) = (self.executions.get_mut(&sent), self.links.get_mut(&id)) else { return };
        link.serves = Some(sent);
        (x.link, x.stage) = (Some(id), Stage::Leaving);
        let own = x.unit.pin.is_some();
        for (n, part) in x.unit.parts.iter().enumerate() {
            link.engine.send(part, &x.unit.settings, own || n > 0, link.link.output(), &mut x.back);
        }
        link.leaving = link.link.output().len();
        self.dirty.insert(id);
    }

    /// More of a unit that is out has come.
    pub fn more(&mut self, sent: Sent, part: Rc<Part>) {
        let Some(x) = self.executions.get_mut(&sent) else { return };
        x.unit.parts.push(part.clone());
        let Some(id) = x.link else { return };
        let Some(link) = self.links.get_mut(&id) else { return };
        link.engine.send(&part, &x.unit.settings, true, link.link.output(), &mut x.back);
        link.leaving = link.link.output().len();
        x.stage = Stage::Leaving;
        self.dirty.insert(id);
        self.pass(sent, false);
    }

    /// Hands on what has come of an answer, if it is due: too much to hold, or a client that waits for it.
    fn pass(&mut self, sent: Sent, caught: bool) {
        let Some(x) = self.executions.get_mut(&sent) else { return };
        let flushed = x.unit.parts.last().is_some_and(|part| !part.ends);
        let due = x.begun || flushed || x.back.len() > self.limits.buffer_bytes || caught;
        if due && !x.back.is_empty() {
            x.begun = true;
            let bytes = std::mem::take(&mut x.back);
            let link = x.link.and_then(|id| self.links.get(&id));
            let whole = link.is_some_and(|l| l.engine.is_between_messages());
            self.told.push(Told::Part { sent, bytes, whole });
        }
    }

    /// A client is behind with its answer, or has caught up.
    pub fn pause(&mut self, sent: Sent, paused: bool) -> Option<ServerId> {
        let x = self.executions.get_mut(&sent)?;
        let resumes = x.paused && !paused;
        x.paused = paused;
        x.link.filter(|_| resumes)
    }

    /// Gives an execution up. It ends as told, or as withdrawn where nothing of it has left.
    pub fn stop(&mut self, now: Micros, sent: Sent, ending: Ending) {
        let Some(x) = self.executions.get(&sent) else { return };
        let (place, link) = (x.place, x.link);
        let Some(id) = link else {
            self.pools.withdraw(place, sent);
            // One that waits for a cancel to be over lets its transaction go, which it could not end.
            let pinned = x.unit.pin;
            self.ended(sent, if ending == Ending::TimeUp { ending } else { Ending::Withdrawn });
            pinned.into_iter().for_each(|id| self.close(id));
            return;
        };
        // Time that a client spent on taking its answer is not the engine's.
        let ending = if ending == Ending::TimeUp && x.paused { Ending::GivenUp } else { ending };
        self.executions.remove(&sent);
        let held = self.links.get(&id).is_some_and(|l| l.holds.is_some());
        if self.allowed.cancel || held {
            let asked = self.allowed.cancel && self.ask_to_cancel(now, id, Some((sent, ending)));
            self.close(id);
            // At once where a client is owed its answer; else when the engine has taken the request.
            if ending == Ending::TimeUp || !asked {
                self.told.push(Told::Ended { sent, ending });
            }
        } else {
            if let Some(link) = self.links.get_mut(&id) {
                (link.serves, link.discards) = (None, true);
            }
            self.told.push(Told::Ended { sent, ending });
        }
    }

    /// A client asks for the end of what is out. False if nothing can be done about it.
    pub fn cancel(&mut self, now: Micros, sent: Sent) -> bool {
        let Some(x) = self.executions.get(&sent).filter(|x| x.stage != Stage::Waits) else { return false };
        let Some(id) = x.link.filter(|_| self.allowed.cancel) else { return false };
        if let Some(link) = self.links.get_mut(&id) {
            link.last = true;
        }
        self.ask_to_cancel(now, id, None)
    }

    /// Sends a request to cancel over a connection of its own.
    fn ask_to_cancel(&mut self, now: Micros, id: ServerId, ends: Option<(Sent, Ending)>) -> bool {
        let Some(server) = self.links.get_mut(&id) else { return false };
        let Some(((process, secret), engine)) = server.engine.key.zip(self.engines.get(&server.place)) else {
            return false;
        };
        let number = self.next + 1;
        let Ok(mut link) = Link::dial(engine.at, &self.handle, Door::Cancel.party(number)) else {
            return false;
        };
        self.next = number;
        wire::write_cancel(link.output(), process, secret);
        server.cancels += 1;
        let by = now + 2 * self.allowed.dial_timeout;
        self.cancels.insert(number, Cancel { link, server: id, by, ends });
        true
    }

    /// A connection that carries a request to cancel has changed.
    pub fn read_cancel(&mut self, number: u64) {
        let Some(cancel) = self.cancels.get_mut(&number) else { return };
        match cancel.link.is_up() {
            Ok(false) => return,
            Ok(true) => {}
            Err(_) => return self.cancelled(number),
        }
        let sent = cancel.link.flush();
        let (_, broken) = cancel.link.read();
        if sent.is_err() || broken.is_some() || !cancel.link.input.is_empty() {
            self.cancelled(number);
        }
    }

    /// The engine has taken the request, or never will.
    fn cancelled(&mut self, number: u64) {
        let Some(cancel) = self.cancels.remove(&number) else { return };
        if let Some((sent, ending)) = cancel.ends.filter(|(_, ending)| *ending != Ending::TimeUp) {
            self.told.push(Told::Ended { sent, ending });
        }
        if let Some(link) = self.links.get_mut(&cancel.server) {
            link.cancels -= 1;
            let waits = |sent: &Sent| self.executions.get(sent).is_some_and(|x| x.stage == Stage::Waits);
            if let Some(sent) = link.serves.filter(waits).filter(|_| link.cancels == 0) {
                self.start(sent, cancel.server);
            }
        }
    }

    /// A session lets go of the connection that holds its transaction: the engine rolls it back.
    pub fn release(&mut self, now: Micros, id: ServerId) {
        if let Some(place) = self.place(id) {
            self.gone(now, id, place);
        }
    }

    /// Closes a connection that has nothing out that anyone waits for.
    fn close(&mut self, id: ServerId) {
        if let Some(mut server) = self.links.remove(&id) {
            if server.up && server.link.unsent() == 0 && server.serves.is_none() {
                server.link.output().extend_from_slice(wire::TERMINATE);
                // It ends whether the word of it gets through or not.
                let _ = server.link.flush();
            }
            self.forget(id);
        }
    }

    fn forget(&mut self, id: ServerId) -> Vec<Sent> {
        self.coming.remove(&id);
        self.dirty.remove(&id);
        self.pools.gone(id)
    }

    /// A connection has changed; true if there is more for another turn.
    pub fn read(&mut self, now: Micros, id: ServerId) -> bool {
        let Some(server) = self.links.get_mut(&id) else { return false };
        if !server.up {
            match server.link.is_up() {
                Ok(false) => return false,
                Ok(true) => {
                    server.up = true;
                    self.coming.insert(id, now + LOGIN);
                    if let Some(engine) = self.engines.get_mut(&server.place).filter(|e| e.failing) {
                        engine.failing = false;
                        log::info!("engine {}: reached again", engine.id);
                    }
                }
                Err(e) => {
                    self.end(now, id, dialled(&e));
                    return false;
                }
            }
        }
        self.dirty.insert(id);
        if let Some(engine) = self.engines.get_mut(&server.place) {
            engine.heard = now;
        }
        let execution = server.serves.and_then(|sent| self.executions.get_mut(&sent));
        if execution.as_ref().is_some_and(|x| x.paused) {
            return false;
        }
        let (more, broken) = server.link.read_some(ONE_READ);
        let mut input = std::mem::take(&mut server.link.input);
        let mut at = 0;
        let ended = loop {
            let Some(server) = self.links.get_mut(&id) else { return false };
            let sent = server.serves;
            let execution = sent.and_then(|sent| self.executions.get_mut(&sent));
            let mut dropped = Vec::new();
            let back = execution.map_or(&mut dropped, |x| &mut x.back);
            let room = self.limits.buffer_bytes;
            let read = server.engine.read(&input[at..], server.link.output(), back, room);
            match read {
                Err(what) => break Some(what),
                Ok((used, heard)) => {
                    at += used;
                    let over = heard.is_none() && used == 0;
                    if let Some(sent) = sent {
                        self.pass(sent, false);
                    }
                    if let Some(heard) = heard {
                        self.heard(now, id, heard);
                    }
                    if over || at == input.len() {
                        break None;
                    }
                }
            }
        };
        if let Some(what) = ended {
            if broken.is_none() {
                log::info!("engine {}: {what}; its connection is closed", self.name(id));
            }
            self.end(now, id, if broken.is_some() { Ending::Closed } else { Ending::Unreadable });
            return false;
        }
        if let Some(server) = self.links.get_mut(&id) {
            input.drain(..at);
            server.link.input = input;
        }
        match broken {
            Some(Broken::Closed) => self.end(now, id, Ending::Closed),
            Some(Broken::Reset) => self.end(now, id, Ending::Reset),
            None => return more,
        }
        false
    }

    fn name(&self, id: ServerId) -> &str {
        let place = self.links.get(&id).map(|l| l.place);
        place.and_then(|place| self.engines.get(&place)).map_or("?", |e| &e.id)
    }

    fn heard(&mut self, now: Micros, id: ServerId, heard: Heard) {
        let Some(server) = self.links.get_mut(&id) else { return };
        let place = server.place;
        match heard {
            Heard::Alive => self.alive(place),
            Heard::Up => {
                self.coming.remove(&id);
                if !server.engine.parameters.is_empty() {
                    self.parameters = std::mem::take(&mut server.engine.parameters);
                }
                self.alive(place);
                self.rests(now, id);
            }
            Heard::Refused { code, error } => {
                log::warn!("engine {}: no login: {code}", self.name(id));
                let lost = self.forget(id);
                self.links.remove(&id);
                for sent in lost {
                    match code.as_str() {
                        "53300" => self.ended(sent, Ending::TurnedAway),
                        code if is_engine_fault(code.as_bytes()) => self.ended(sent, Ending::Refused),
                        _ => self.refused(sent, error.clone()),
                    }
                }
                let step = self.pools.next(place);
                self.step(now, place, step);
            }
            Heard::SettingsRefused { error } => {
                let sent = server.serves.take();
                self.close(id);
                sent.into_iter().for_each(|sent| self.refused(sent, error.clone()));
                let step = self.pools.next(place);
                self.step(now, place, step);
            }
            Heard::Done(done) => self.done(now, id, done),
        }
    }

    /// An engine has answered: what is out there is not held up by its silence.
    fn alive(&mut self, place: Place) {
        let out = |x: &Execution| x.place == place && x.stage != Stage::Waits;
        let one = self.executions.iter().filter(|(_, x)| out(x)).map(|(sent, _)| *sent).min();
        self.told.extend(one.map(Told::Alive));
    }

    /// Asks engines that have units out and say nothing whether they are there. They send no notes of progress,
    /// and a long statement on an engine that does little else is not to be taken for a hung one.
    fn ask(&mut self, now: Micros) {
        let mut quiet: BTreeMap<Place, pool::Account> = BTreeMap::new();
        for x in self.executions.values().filter(|x| x.stage == Stage::Out) {
            let engine = self.engines.get(&x.place);
            if engine.is_some_and(|e| e.up && now - e.heard.max(e.asked) >= QUIET) {
                quiet.entry(x.place).or_insert(x.unit.account);
            }
        }
        for (place, account) in quiet {
            if let Some(engine) = self.engines.get_mut(&place) {
                engine.asked = now;
            }
            match self.pools.resting(place) {
                Some(id) => {
                    if let Some(server) = self.links.get_mut(&id) {
                        server.engine.ping(server.link.output());
                        self.dirty.insert(id);
                    }
                }
                // A login is an answer as well.
                None if self.pools.may_dial(place) => _ = self.dial(now, place, account),
                None => {}
            }
        }
    }

    fn refused(&mut self, sent: Sent, error: Vec<u8>) {
        self.executions.remove(&sent);
        self.told.push(Told::Refused { sent, error });
    }

    fn done(&mut self, now: Micros, id: ServerId, done: Done) {
        let Some(server) = self.links.get_mut(&id) else { return };
        let (place, sent, session) = (server.place, server.serves.take(), server.holds.take());
        server.discards = false;
        let open = done.status != b'I';
        let listed = self.engines.get(&place).is_some_and(|e| e.up);
        let x = sent.and_then(|sent| self.executions.remove(&sent));
        let Some((sent, x)) = sent.zip(x) else {
            // Of one that was given up, or of none: a transaction that it left open is nobody's.
            return if open { self.gone(now, id, place) } else { self.rests(now, id) };
        };
        if done.fault && !x.begun && x.unit.pin.is_none() {
            self.told.push(Told::Ended { sent, ending: Ending::EngineFailed });
            return if open { self.gone(now, id, place) } else { self.rests(now, id) };
        }
        let (holder, keeps) = (x.unit.session, open && listed);
        let held = keeps.then_some(id);
        self.told.push(Told::Answered { sent, bytes: x.back, done, held });
        if keeps {
            if let Some(server) = self.links.get_mut(&id) {
                server.holds = session.or(Some(holder));
            }
        } else if open {
            // Its engine drains: the transaction has no further statement there.
            self.told.push(Told::Lost { session: holder });
            self.gone(now, id, place);
        } else {
            self.rests(now, id);
        }
    }

    fn gone(&mut self, now: Micros, id: ServerId, place: Place) {
        self.close(id);
        let step = self.pools.next(place);
        self.step(now, place, step);
    }

    /// A connection is free: for the next unit, or to be closed.
    fn rests(&mut self, now: Micros, id: ServerId) {
        let Some(server) = self.links.get_mut(&id) else { return };
        let place = server.place;
        if server.last || server.cancels > 0 {
            return self.gone(now, id, place);
        }
        match self.pools.rests(now, id) {
            Freed::Rests => {}
            Freed::Step(step) => self.step(now, place, Some(step)),
            Freed::Close => self.gone(now, id, place),
        }
    }

    /// A connection is over: its execution ends by how much of it has left.
    fn end(&mut self, now: Micros, id: ServerId, ending: Ending) {
        let Some(server) = self.links.remove(&id) else { return };
        let waited = self.forget(id);
        let place = server.place;
        if let Some(engine) = self.engines.get_mut(&place) {
            if !server.engine.is_up() {
                if !std::mem::replace(&mut engine.failing, true) {
                    log::warn!("engine {}: can't be reached for sessions: {ending:?}", engine.id);
                }
            } else if server.serves.is_some() {
                log::warn!("engine {}: connection lost with a unit: {ending:?}", engine.id);
            }
        }
        for sent in waited {
            self.ended(
                sent,
                if server.up && ending == Ending::Unreadable { Ending::Refused } else { ending },
            );
        }
        if let Some(sent) = server.serves {
            let x = self.executions.get(&sent);
            let whole = server.link.has_left(server.leaving);
            let ending = match x.map(|x| x.stage) {
                Some(Stage::Waits) => Ending::Withdrawn,
                // Without its Sync nothing that it does is kept, but for a commit of its own.
                Some(Stage::Leaving) if !whole && !x.is_some_and(|x| x.unit.once) => Ending::HalfWritten,
                _ => ending,
            };
            self.ended(sent, ending);
        }
        self.told.extend(server.holds.map(|session| Told::Lost { session }));
        let step = self.pools.next(place);
        self.step(now, place, step);
    }

    /// Sends what is to leave.
    pub fn flush(&mut self, now: Micros) {
        for id in std::mem::take(&mut self.dirty) {
            let Some(server) = self.links.get_mut(&id).filter(|l| l.up) else { continue };
            let flushed = server.link.flush();
            let left = server.link.has_left(server.leaving);
            let sent = server.serves;
            let unsent = server.link.unsent();
            if let Some(x) = sent.and_then(|sent| self.executions.get_mut(&sent)) {
                if left && x.stage == Stage::Leaving {
                    x.stage = Stage::Out;
                    let once = x.unit.once || x.unit.pin.is_some();
                    self.told.extend(sent.filter(|_| once).map(Told::Irrevocable));
                }
            }
            if flushed.is_err() {
                self.end(now, id, Ending::Reset);
            } else if unsent > MOST_UNSENT {
                self.end(now, id, Ending::Unreadable);
            }
        }
    }

    /// When `expire` is next due.
    pub fn due(&self) -> Micros {
        let coming = self.coming.values().copied().min().unwrap_or(Micros::MAX);
        let cancels = self.cancels.values().map(|c| c.by).min().unwrap_or(Micros::MAX);
        let look = if self.pools.is_empty() { Micros::MAX } else { self.look };
        coming.min(cancels).min(look)
    }

    /// Ends what has waited too long: connections not up, logins, cancels, idle connections.
    pub fn expire(&mut self, now: Micros) {
        let late: Vec<ServerId> =
            self.coming.iter().filter(|(_, by)| **by <= now).map(|(id, _)| *id).collect();
        late.into_iter().for_each(|id| self.end(now, id, Ending::NeverUp));
        let late: Vec<u64> = self.cancels.iter().filter(|(_, c)| c.by <= now).map(|(n, _)| *n).collect();
        late.into_iter().for_each(|number| self.cancelled(number));
        if self.look <= now {
            self.look = now + LOOK;
            self.ask(now);
            for id in self.pools.idle(now) {
                self.close(id);
            }
            // What waits for descriptors that others have let go of.
            for place in self.engines.keys().copied().collect::<Vec<_>>() {
                let step = self.pools.next(place);
                self.step(now, place, step);
            }
        }
    }
}

fn dialled(e: &std::io::Error) -> Ending {
    match e.kind() {
        ErrorKind::ConnectionRefused => Ending::Refused,
        // Whoever resets a connection is there.
        ErrorKind::ConnectionReset | ErrorKind::BrokenPipe => Ending::BrokenNew,
        ErrorKind::HostUnreachable | ErrorKind::NetworkUnreachable | ErrorKind::TimedOut => Ending::NeverUp,
        _ => Ending::NoMeans,
    }
}
