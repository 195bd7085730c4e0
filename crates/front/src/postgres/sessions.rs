//! Connections of PostgreSQL clients: units in, one final answer out for each.

mod answering;
mod ending;
mod taking;

use std::collections::{BTreeSet, HashMap, VecDeque};
use std::rc::Rc;

use hallmux_agreement::User;
use hallmux_dispatcher::{Micros, Ticket};
use hallmux_postgres::pool::AccountId;
use hallmux_postgres::prepared::Catalogue;
use hallmux_postgres::session::{Bounds, Session, UnitPart};
use hallmux_postgres::startup::{Authentication, Startup};

use super::servers::{Sent, ServerId, SessionId};
use crate::link::Link;

const MOST_MARKS: usize = 32; // times kept of when input came; beyond them the earlier one holds

/// What happens at the door and needs the dispatcher or an engine.
pub enum Told {
    /// A unit is to be taken; its last byte came at the time given.
    Asked { session: SessionId, part: Rc<UnitPart>, since: Micros },
    /// More of the unit that is out.
    More { ticket: Ticket, part: Rc<UnitPart> },
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
    pub parts: Vec<Rc<UnitPart>>,
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
    pub account: AccountId,
    pub running: Option<Running>,
    /// The connection that holds its transaction, and the engine.
    pub pin: Option<(usize, ServerId)>,
    /// Order keys whose turn its transaction keeps.
    pub holds: Vec<String>,
    /// Groups of tables that its transaction may have written to, where loads are marked.
    pub touched: BTreeSet<u32>,
    /// The open unit has its answer; all up to its Sync is passed over.
    skipping: bool,
}

enum Stage {
    Entering(Box<Startup>),
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
pub struct Users(HashMap<String, (Rc<User>, Authentication)>);

impl Users {
    /// A verifier that can't be read shuts its user out.
    pub fn new(users: &std::collections::BTreeMap<String, User>) -> Users {
        let access = |user: &User| match &user.verifier {
            None => Some(Authentication::Trust),
            Some(text) => hallmux_postgres::scram::Verifier::read(text).map(Authentication::Scram),
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
}
