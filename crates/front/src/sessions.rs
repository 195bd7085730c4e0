//! Connections of PostgreSQL clients: units in, one final answer out for each.

use std::collections::{BTreeSet, HashMap, VecDeque};
use std::rc::Rc;

use hallmux_agreement::User;
use hallmux_dispatcher::{Micros, Ticket};
use hallmux_postgres::answer::Final;
use hallmux_postgres::engine::{self, Done};
use hallmux_postgres::entry::{Access, Entry, Step, Welcome};
use hallmux_postgres::pool::Account;
use hallmux_postgres::prepared::Catalogue;
use hallmux_postgres::session::{Bounds, Part, Read, Session, Transaction};
use hallmux_postgres::wire;

use crate::link::Link;
use crate::servers::{Sent, ServerId, Servers, SessionId};

const LOOK: Micros = 200_000; // microseconds between looks at sessions that stand still
const MOST_MARKS: usize = 32; // times kept of when input came; beyond them the earlier one holds
const AT_REST: Micros = 1_000_000; // microseconds after which a resting session lets go of its buffers
const GRACE: Micros = 2_000_000; // microseconds that an idle transaction has left once the front ends
const ONE_TURN: usize = 64; // units answered here for one session before others have their turn

/// What happens at the door and needs the dispatcher or an engine.
pub enum Told {
    /// A unit is to be taken; its last byte came at the time given.
    Asked { session: SessionId, part: Rc<Part>, since: Micros },
    /// More of the unit that is out.
    More { ticket: Ticket, part: Rc<Part> },
    /// The client no longer waits.
    Left(Ticket),
    /// A transaction is over: a connection that goes, the order keys that it kept.
    Freed { pin: Option<ServerId>, keys: Vec<String>, rests: bool },
    /// A client asks for the end of what this session has out.
    Cancel(SessionId),
}

/// A unit that is taken and not answered.
pub struct Running {
    pub ticket: Ticket,
    pub parts: Vec<Rc<Part>>,
    pub commits: bool,
    /// An execution of it may have run.
    pub ran: bool,
    pub time_up: bool,
    pub cancelled: bool,
    /// Some of its answer has gone on; `cut` if that stops within a message.
    pub begun: bool,
    cut: bool,
    pub sent: Option<Sent>,
    pub key: Option<String>,
}

/// What a session is by its user.
pub struct Inside {
    pub session: Session,
    pub user: Rc<User>,
    pub account: Account,
    pub running: Option<Running>,
    /// The connection that holds its transaction, and the engine.
    pub pin: Option<(usize, ServerId)>,
    /// Order keys whose turn its transaction keeps.
    pub holds: Vec<String>,
    /// The open unit has its answer; all up to its Sync is passed over.
    skipping: bool,
}

enum Stage {
    Entering(Box<Entry>),
    In(Box<Inside>),
}

struct Peer {
    link: Link,
    stage: Stage,
    /// What a request to cancel has to know.
    secret: u32,
    /// When it was last of use.
    heard: Micros,
    /// How many bytes of the input came until when.
    marks: VecDeque<(usize, Micros)>,
    /// It ends once all has left.
    ends: bool,
}

pub struct Sessions {
    peers: HashMap<SessionId, Peer>,
    tickets: HashMap<Ticket, SessionId>,
    pub catalogue: Catalogue,
    bounds: Bounds,
    start_up: Micros,
    transaction_idle: Micros,
    buffer: usize,
    held: usize,
    next: SessionId,
    chance: std::hash::RandomState,
    look: Micros,
    dirty: BTreeSet<SessionId>,
    /// They have not taken all that is to leave.
    behind: BTreeSet<SessionId>,
    /// Their engines are not read for now, as they do not take their answers.
    halted: BTreeSet<SessionId>,
    /// Not read for now: their input waits for units that are out.
    stalled: BTreeSet<SessionId>,
    pub told: Vec<Told>,
    /// Sessions with input that may make a unit.
    pub ready: Vec<SessionId>,
}

/// Who may come in: users of the operator's file, with how they prove it.
pub struct Users(HashMap<String, (Rc<User>, Access)>);

impl Users {
    /// A verifier that can't be read shuts its user out.
    pub fn new(users: &std::collections::BTreeMap<String, User>) -> Users {
        let access = |user: &User| match &user.verifier {
            None => Some(Access::Trusted),
            Some(text) => hallmux_postgres::scram::Verifier::read(text).map(Access::Verifier),
        };
        let known =
            |(name, user): (&String, &User)| Some((name.clone(), (Rc::new(user.clone()), access(user)?)));
        Users(users.iter().filter_map(known).collect())
    }
}

impl Sessions {
    pub fn new(limits: &hallmux_agreement::SessionLimits) -> Self {
        let bounds = Bounds {
            statements: limits.statements,
            portals: limits.portals,
            settings: limits.settings,
            bytes: limits.message_bytes,
        };
        Sessions {
            peers: HashMap::new(),
            tickets: HashMap::new(),
            catalogue: Catalogue::default(),
            bounds,
            start_up: limits.start_up,
            transaction_idle: limits.transaction_idle,
            buffer: limits.buffer_bytes,
            held: 0,
            next: 0,
            chance: std::hash::RandomState::new(),
            look: 0,
            dirty: BTreeSet::new(),
            behind: BTreeSet::new(),
            halted: BTreeSet::new(),
            stalled: BTreeSet::new(),
            told: Vec::new(),
            ready: Vec::new(),
        }
    }

    pub fn len(&self) -> usize {
        self.peers.len()
    }

    pub fn next_id(&mut self) -> SessionId {
        // Ids go out as process numbers, which have 31 bits.
        self.next = (self.next + 1) & 0x7fff_ffff;
        self.next
    }

    /// A number that nobody can foretell.
    fn secret(&self, of: &str, id: SessionId) -> u64 {
        use std::hash::BuildHasher;
        self.chance.hash_one((of, id, self.peers.len()))
    }

    pub fn accept(&mut self, now: Micros, id: SessionId, link: Link) {
        let secret = self.secret("cancel", id) as u32;
        let peer = Peer {
            link,
            stage: Stage::Entering(Box::default()),
            secret,
            heard: now,
            marks: VecDeque::new(),
            ends: false,
        };
        self.peers.insert(id, peer);
    }

    pub fn owns(&self, ticket: Ticket) -> bool {
        self.tickets.contains_key(&ticket)
    }

    pub fn inside(&mut self, id: SessionId) -> Option<&mut Inside> {
        match &mut self.peers.get_mut(&id)?.stage {
            Stage::In(inside) => Some(inside),
            Stage::Entering(_) => None,
        }
    }

    pub fn by_ticket(&mut self, ticket: Ticket) -> Option<(SessionId, &mut Inside)> {
        let id = *self.tickets.get(&ticket)?;
        Some((id, self.inside(id)?))
    }

    /// Bytes of the units that clients wait for, and of what they have said beyond.
    pub fn held(&self) -> usize {
        self.held
    }

    /// Bytes of the answers that clients have not taken yet, and the session that has left most.
    pub fn untaken(&self) -> (usize, Option<SessionId>) {
        let unsent = |id: &SessionId| self.peers.get(id).map_or(0, |p| p.link.unsent());
        (self.behind.iter().map(unsent).sum(), self.behind.iter().copied().max_by_key(unsent))
    }

    /// A connection has changed: takes what is there. True if there is more for another turn.
    pub fn read(&mut self, now: Micros, id: SessionId) -> bool {
        let most = self.bounds.bytes;
        let Some(peer) = self.peers.get_mut(&id) else { return false };
        self.dirty.insert(id);
        // Guards against input without end while a unit is out: the rest waits with the network.
        if peer.link.input.len() > most || peer.ends {
            self.stalled.insert(id);
            return false;
        }
        let before = peer.link.input.len();
        let (more, broken) = peer.link.read();
        let came = peer.link.input.len() - before;
        if came > 0 {
            self.held += came;
            let many = peer.marks.len() >= MOST_MARKS;
            match peer.marks.back_mut().filter(|_| many) {
                Some((bytes, _)) => *bytes += came,
                None => peer.marks.push_back((came, now)),
            }
            self.ready.push(id);
        }
        if broken.is_some() {
            self.end(id);
            return false;
        }
        more
    }

    /// Takes the units that have come, as far as they can be taken now.
    pub fn advance(&mut self, now: Micros, id: SessionId, users: &Users, servers: &mut Servers) {
        for _ in 0..ONE_TURN {
            let enters = matches!(self.peers.get(&id), Some(p) if matches!(p.stage, Stage::Entering(_)));
            let mut nonce = String::new();
            let mut hidden = [0; 8];
            if enters {
                let (first, second) = (self.secret("nonce", id), self.secret("the rest of it", id));
                nonce = format!("{first:016x}{second:016x}");
                hidden = self.chance_bytes();
            }
            let Some(peer) = self.peers.get_mut(&id) else { return };
            if peer.ends {
                return;
            }
            let input = std::mem::take(&mut peer.link.input);
            let (used, goes_on) = match &mut peer.stage {
                Stage::Entering(_) if input.is_empty() => (0, false),
                Stage::Entering(entry) => {
                    let access = |user: &str| users.0.get(user).map(|(_, access)| access.clone());
                    let out = peer.link.output();
                    match entry.read(&input, access, &hidden, &nonce, out) {
                        Err(what) => {
                            log::info!("session {id}: {what}; its connection is closed");
                            peer.ends = true;
                            (0, false)
                        }
                        Ok((used, Step::More)) => (used, false),
                        Ok((used, Step::Refused)) => {
                            peer.ends = true;
                            (used, false)
                        }
                        Ok((used, Step::Cancel { process, secret })) => {
                            peer.ends = true;
                            let meant = SessionId::from(process);
                            if self.peers.get(&meant).is_some_and(|p| p.secret == secret) {
                                self.told.push(Told::Cancel(meant));
                            }
                            (used, false)
                        }
                        Ok((used, Step::Welcome(welcome))) => {
                            let user = users.0.get(&welcome.user).map(|(user, _)| user.clone());
                            let account = user.as_ref().and_then(|user| account(servers, user, &welcome));
                            match user.zip(account) {
                                Some((user, account)) => {
                                    let session = Session::new(&welcome, &mut self.catalogue);
                                    let process = (id as u32, peer.secret);
                                    greet(peer.link.output(), &welcome, &servers.parameters, process);
                                    peer.heard = now;
                                    peer.stage = Stage::In(Box::new(Inside {
                                        session,
                                        user,
                                        account,
                                        running: None,
                                        pin: None,
                                        holds: Vec::new(),
                                        skipping: false,
                                    }));
                                    (used, true)
                                }
                                None => {
                                    Final::Full.write(peer.link.output(), true);
                                    peer.ends = true;
                                    (used, false)
                                }
                            }
                        }
                    }
                }
                Stage::In(inside) if inside.skipping => match inside.session.skip(&input) {
                    Err(why) => {
                        why.write(peer.link.output(), true);
                        peer.ends = true;
                        (0, false)
                    }
                    Ok((used, over)) => {
                        inside.skipping = !over;
                        if over {
                            inside.session.ready(peer.link.output());
                        }
                        (used, over)
                    }
                },
                // One unit after the other: each may hang on how the last one ended.
                Stage::In(inside) if inside.running.is_some() && !inside.session.is_within() => (0, false),
                Stage::In(inside) => match inside.session.read(&input, &mut self.catalogue, &self.bounds) {
                    Err(why) => {
                        log::info!("session {id}: {}; its connection is closed", why.code());
                        why.write(peer.link.output(), true);
                        peer.ends = true;
                        (0, false)
                    }
                    Ok((used, Read::More)) => (used, false),
                    Ok((used, Read::Goes)) => {
                        peer.ends = true;
                        (used, false)
                    }
                    Ok((used, Read::Part(part))) => {
                        let since = came(&peer.marks, used).unwrap_or(now);
                        match &mut inside.running {
                            Some(running) => {
                                running.parts.push(part.clone());
                                running.commits |= part.commits;
                                self.told.push(Told::More { ticket: running.ticket, part });
                                (used, true)
                            }
                            None => {
                                let out = peer.link.output();
                                let was = inside.session.transaction;
                                if inside.session.answers(&part, &mut self.catalogue, out) {
                                    (used, true)
                                } else if was == Transaction::Lost {
                                    Final::InFailedTransaction.write(out, false);
                                    inside.skipping = true;
                                    (used, true)
                                } else {
                                    self.told.push(Told::Asked { session: id, part, since });
                                    (used, false)
                                }
                            }
                        }
                    }
                },
            };
            self.dirty.insert(id);
            let Some(peer) = self.peers.get_mut(&id) else { return };
            peer.link.input = input;
            peer.link.taken(used);
            self.held -= used;
            taken(&mut peer.marks, used);
            if used > 0 {
                peer.heard = now;
            }
            if peer.ends {
                let left = peer.link.input.len();
                self.held -= left;
                peer.link.input = Vec::new();
                self.leave(id);
                return;
            }
            if !goes_on {
                return;
            }
        }
        // There may be more, after others have had their turn.
        self.ready.push(id);
    }

    fn chance_bytes(&self) -> [u8; 8] {
        use std::hash::BuildHasher;
        self.chance.hash_one("nobody").to_be_bytes()
    }

    /// A unit is taken under a ticket.
    pub fn opened(&mut self, id: SessionId, ticket: Ticket, part: Rc<Part>, key: Option<String>) {
        let Some(inside) = self.inside(id) else { return };
        let bytes = part.raw.len();
        inside.running = Some(Running {
            ticket,
            commits: part.commits,
            parts: vec![part],
            ran: false,
            time_up: false,
            cancelled: false,
            begun: false,
            cut: false,
            sent: None,
            key,
        });
        self.held += bytes;
        self.tickets.insert(ticket, id);
        // An open unit goes on.
        self.ready.push(id);
    }

    /// A unit that was not taken gets its answer.
    pub fn unfit(&mut self, id: SessionId, part: Rc<Part>, why: &Final) {
        let Some(peer) = self.peers.get_mut(&id) else { return };
        let Stage::In(inside) = &mut peer.stage else { return };
        inside.session.fails(&[part], why, peer.link.output());
        inside.skipping = inside.session.is_within();
        self.lost(id, false);
        self.dirty.insert(id);
        self.ready.push(id);
    }

    /// Whatever transaction the session had is over without a commit: its connection and keys are let go.
    fn lost(&mut self, id: SessionId, rests: bool) {
        let Some(inside) = self.inside(id) else { return };
        let (pin, keys) = (inside.pin.take().map(|(_, link)| link), std::mem::take(&mut inside.holds));
        if pin.is_some() || !keys.is_empty() {
            // What is rolled back by closing its connection may go on there for a moment.
            let rests = rests || pin.is_some();
            self.told.push(Told::Freed { pin, keys, rests });
        }
    }

    /// The engine that held a session's transaction has it no more.
    pub fn transaction_lost(&mut self, id: SessionId) {
        let Some(inside) = self.inside(id) else { return };
        // A unit that is out still has its own end to come.
        inside.session.lose();
        inside.pin = None;
        let keys = std::mem::take(&mut inside.holds);
        self.told.push(Told::Freed { pin: None, keys, rests: true });
    }

    fn let_go(&mut self, ticket: Ticket) -> Option<(SessionId, Running)> {
        let id = self.tickets.remove(&ticket)?;
        let running = self.inside(id)?.running.take()?;
        self.held -= running.parts.first().map_or(0, |p| p.raw.len());
        Some((id, running))
    }

    /// Part of an answer goes on. True if the client is behind with it.
    pub fn pass(&mut self, ticket: Ticket, bytes: &[u8], whole: bool) -> bool {
        let Some(&id) = self.tickets.get(&ticket) else { return false };
        let Some(peer) = self.peers.get_mut(&id) else { return false };
        peer.link.output().extend_from_slice(bytes);
        if let Stage::In(inside) = &mut peer.stage {
            if let Some(running) = &mut inside.running {
                (running.begun, running.cut) = (true, !whole);
            }
        }
        self.dirty.insert(id);
        let behind = peer.link.unsent() > self.buffer;
        if behind {
            self.halted.insert(id);
        }
        behind
    }

    /// A unit has its final answer, an engine's.
    pub fn answer(
        &mut self,
        now: Micros,
        ticket: Ticket,
        bytes: &[u8],
        done: &Done,
        pin: Option<(usize, ServerId)>,
    ) {
        let Some((id, running)) = self.let_go(ticket) else { return };
        let Some(peer) = self.peers.get_mut(&id) else { return };
        peer.link.output().extend_from_slice(bytes);
        peer.heard = now;
        let Stage::In(inside) = &mut peer.stage else { return };
        inside.session.done(&running.parts, done, &mut self.catalogue, &self.bounds);
        inside.pin = pin;
        if done.status == b'I' && !inside.holds.is_empty() {
            let keys = std::mem::take(&mut inside.holds);
            self.told.push(Told::Freed { pin: None, keys, rests: false });
        }
        self.dirty.insert(id);
        self.ready.push(id);
    }

    /// A unit has its final answer, the front's own, or the engine's on why it does not run.
    pub fn fail(&mut self, now: Micros, ticket: Ticket, why: &Final, said: Option<&[u8]>) {
        let Some((id, running)) = self.let_go(ticket) else { return };
        let Some(peer) = self.peers.get_mut(&id) else { return };
        peer.heard = now;
        let Stage::In(inside) = &mut peer.stage else { return };
        let out = peer.link.output();
        if running.cut {
            // Within a message nothing can be said: the end of the connection tells that it is not whole.
            peer.ends = true;
        } else {
            let mut own = Vec::new();
            inside.session.fails(&running.parts, why, &mut own);
            match said.and_then(|said| Some((said, wire::head(&own).ok()??.1))) {
                Some((said, len)) => {
                    out.extend_from_slice(said);
                    out.extend_from_slice(&own[len..]);
                }
                None => out.extend_from_slice(&own),
            }
            inside.skipping = inside.session.is_within();
        }
        let cut = running.cut;
        self.lost(id, running.ran);
        if cut {
            self.leave(id);
        }
        self.dirty.insert(id);
        self.ready.push(id);
    }

    /// A session has no more to ask: what it holds is let go; its connection ends once all has left.
    fn leave(&mut self, id: SessionId) {
        let Some(inside) = self.inside(id) else { return };
        let ticket = inside.running.as_ref().map(|r| r.ticket);
        let ran = inside.running.as_ref().is_some_and(|r| r.ran);
        if let Some(ticket) = ticket {
            self.let_go(ticket);
            self.told.push(Told::Left(ticket));
        }
        self.lost(id, ran);
    }

    /// A connection is over.
    pub fn end(&mut self, id: SessionId) {
        self.leave(id);
        if let Some(peer) = self.peers.remove(&id) {
            self.held -= peer.link.input.len();
        }
        self.dirty.remove(&id);
        self.behind.remove(&id);
        self.stalled.remove(&id);
        self.halted.remove(&id);
    }

    /// Ends a session with a last word.
    fn dismiss(&mut self, id: SessionId, why: &Final) {
        if let Some(peer) = self.peers.get_mut(&id) {
            why.write(peer.link.output(), true);
            peer.ends = true;
            self.dirty.insert(id);
            self.leave(id);
        }
    }

    /// Sends what is to leave; says which executions' clients have caught up.
    pub fn flush(&mut self) -> Vec<Sent> {
        let mut caught_up = Vec::new();
        for id in std::mem::take(&mut self.dirty) {
            let Some(peer) = self.peers.get_mut(&id) else { continue };
            let flushed = peer.link.flush();
            let unsent = peer.link.unsent();
            if flushed.is_err() || peer.ends && unsent == 0 {
                self.end(id);
                continue;
            }
            if unsent <= self.buffer / 2 && self.halted.remove(&id) {
                if let Stage::In(inside) = &peer.stage {
                    caught_up.extend(inside.running.as_ref().and_then(|r| r.sent));
                }
            }
            if unsent > 0 {
                self.behind.insert(id);
            } else {
                self.behind.remove(&id);
            }
        }
        caught_up
    }

    /// Sessions whose input waits with the network, and may be read again.
    pub fn unstalled(&mut self) -> Vec<SessionId> {
        let full =
            |id: &SessionId| self.peers.get(id).is_some_and(|p| p.link.input.len() > self.bounds.bytes);
        let (full, ready): (BTreeSet<_>, BTreeSet<_>) =
            std::mem::take(&mut self.stalled).into_iter().partition(full);
        self.stalled = full;
        ready.into_iter().collect()
    }

    /// Ends what has stood still too long. `shut` is since when the front ends.
    pub fn expire(&mut self, now: Micros, shut: Option<Micros>) {
        if now < self.look {
            return;
        }
        self.look = now + LOOK;
        let mut over: Vec<(SessionId, Option<Final>)> = Vec::new();
        for (id, peer) in &mut self.peers {
            match &peer.stage {
                Stage::Entering(_) if peer.heard + self.start_up <= now => over.push((*id, None)),
                Stage::Entering(_) => {}
                Stage::In(inside) => {
                    let idle = inside.running.is_none() && !peer.ends;
                    let open = inside.session.transaction.is_held();
                    let stands = now - peer.heard;
                    if idle && open && stands >= self.transaction_idle {
                        over.push((*id, Some(Final::IdleTransaction)));
                    } else if idle && open && shut.is_some_and(|since| since + GRACE <= now) {
                        over.push((*id, Some(Final::ShutDown)));
                    } else if peer.ends && stands >= self.start_up {
                        over.push((*id, None));
                    } else if idle && stands >= AT_REST {
                        peer.link.shrink();
                        peer.marks.shrink_to_fit();
                    }
                }
            }
        }
        for (id, why) in over {
            match why {
                Some(why) => self.dismiss(id, &why),
                None => self.end(id),
            }
        }
    }

    /// Makes room for a newcomer: of those that never came in the one that has waited longest, else of those
    /// that rest outside a transaction.
    pub fn make_room(&mut self, now: Micros) -> bool {
        let rank = |(id, p): (&SessionId, &Peer)| match &p.stage {
            Stage::Entering(_) => Some((false, p.heard, *id)),
            Stage::In(inside) => {
                let rests = inside.running.is_none()
                    && inside.session.transaction == Transaction::None
                    && p.link.input.is_empty()
                    && p.heard + AT_REST <= now;
                rests.then_some((true, p.heard, *id))
            }
        };
        let Some((_, _, id)) = self.peers.iter().filter_map(rank).min() else { return false };
        self.dismiss(id, &Final::ShutDown);
        if let Some(peer) = self.peers.get_mut(&id) {
            // Its last word goes as far as the network takes it at once.
            let _ = peer.link.flush();
        }
        self.end(id);
        true
    }

    /// Closes the sessions that have nothing out and no transaction open.
    pub fn close_idle(&mut self) {
        let idle = |(id, p): (&SessionId, &Peer)| match &p.stage {
            Stage::Entering(_) => Some(*id),
            Stage::In(inside) => {
                let rests = inside.running.is_none() && !inside.session.transaction.is_held() && !p.ends;
                (rests && !inside.session.is_within() && p.link.input.is_empty()).then_some(*id)
            }
        };
        let idle: Vec<SessionId> = self.peers.iter().filter_map(idle).collect();
        idle.into_iter().for_each(|id| self.dismiss(id, &Final::ShutDown));
    }
}

/// The account at the engines of one that came in, unless there are too many.
fn account(servers: &mut Servers, user: &User, welcome: &Welcome) -> Option<Account> {
    let who = engine::Account {
        user: user.engine_user.clone(),
        database: welcome.database.clone(),
        password: user.engine_password.clone(),
    };
    servers.account(who)
}

/// When the byte that ends so many bytes of the input came.
fn came(marks: &VecDeque<(usize, Micros)>, used: usize) -> Option<Micros> {
    let mut sum = 0;
    marks.iter().find_map(|(bytes, at)| {
        sum += bytes;
        (sum >= used).then_some(*at)
    })
}

fn taken(marks: &mut VecDeque<(usize, Micros)>, used: usize) {
    let mut left = used;
    while let Some((bytes, _)) = marks.front_mut() {
        let len = left.min(*bytes);
        *bytes -= len;
        left -= len;
        if *bytes > 0 {
            break;
        }
        marks.pop_front();
    }
}

/// What a client hears when it has come in.
fn greet(out: &mut Vec<u8>, welcome: &Welcome, parameters: &[(String, String)], key: (u32, u32)) {
    wire::write(out, b'R', |out| out.extend_from_slice(&0u32.to_be_bytes()));
    let usual = [
        ("server_version", "15.0"),
        ("server_encoding", "UTF8"),
        ("client_encoding", "UTF8"),
        ("DateStyle", "ISO, MDY"),
        ("IntervalStyle", "postgres"),
        ("TimeZone", "UTC"),
        ("integer_datetimes", "on"),
        ("standard_conforming_strings", "on"),
    ];
    let known = |name: &str| parameters.iter().any(|(n, _)| n == name);
    let told = usual.iter().filter(|(name, _)| !known(name)).copied();
    let told = told.chain(parameters.iter().map(|(n, v)| (n.as_str(), v.as_str())));
    for (name, value) in told {
        let own = welcome.parameters.get(&name.to_ascii_lowercase());
        let value = match name {
            "session_authorization" => &welcome.user,
            "is_superuser" => "off",
            _ => own.map_or(value, String::as_str),
        };
        wire::write_parameter(out, name, value);
    }
    wire::write_key(out, key.0, key.1);
    wire::write_ready(out, b'I');
}
