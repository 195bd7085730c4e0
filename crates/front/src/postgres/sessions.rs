//! Connections of PostgreSQL clients: units in, one final answer out for each.

mod answers;
mod close;
mod input;

use std::collections::{BTreeSet, HashMap, VecDeque};
use std::rc::Rc;

use hallmux_config::User;
use hallmux_dispatcher::{Micros, Ticket};
use hallmux_postgres::pool::AccountId;
use hallmux_postgres::prepared::Catalogue;
use hallmux_postgres::session::{Bounds, Session, UnitPart};
use hallmux_postgres::startup::{Authentication, Startup};

use super::ids::{Pin, ServerId, SessionId};
use crate::execution::ExecutionId;
use crate::lingering::Lingering;
use crate::link::{Link, ReadOutcome};
use crate::unsent_answers::UnsentAnswers;

/// Times kept of when input came; beyond them the earlier one holds.
const MOST_ARRIVALS: usize = 32;

/// What sessions have come to that needs the dispatcher or an engine.
pub enum Event {
    /// A unit is to be taken; its last byte came at the time given.
    Unit {
        session: SessionId,
        part: Rc<UnitPart>,
        since: Micros,
    },
    /// More of the unit that is out.
    UnitPart { ticket: Ticket, part: Rc<UnitPart> },
    /// The client no longer waits.
    Abandoned(Ticket),
    /// A transaction is over: a connection that goes, the order keys that it kept.
    TransactionOver {
        pin: Option<ServerId>,
        keys: Vec<String>,
        may_go_on: bool,
    },
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
    pub execution_id: Option<ExecutionId>,
    pub key: Option<String>,
}

/// What a session is by its user.
pub struct OpenSession {
    pub session: Session,
    pub user: Rc<User>,
    pub account: AccountId,
    pub running: Option<Running>,
    /// What holds its transaction.
    pub pin: Option<Pin>,
    /// Order keys whose turn its transaction keeps.
    pub held_keys: Vec<String>,
    /// Groups of tables that its transaction may have written to, where loads are marked.
    pub touched: BTreeSet<u32>,
    /// The open unit has its answer; all up to its Sync is passed over.
    skipping: bool,
}

enum Stage {
    LoggingIn(Box<Startup>),
    Open(Box<OpenSession>),
}

/// Bytes of the input that came together.
struct Arrival {
    bytes: usize,
    at: Micros,
}

struct Connection {
    link: Link,
    stage: Stage,
    /// What a request to cancel has to know.
    secret: u32,
    /// When it was last of use.
    last_active: Micros,
    /// When the bytes of the input came, in order.
    arrivals: VecDeque<Arrival>,
    /// It ends once all has left.
    closing: bool,
}

/// All connections of PostgreSQL clients.
pub struct Sessions {
    connections: HashMap<SessionId, Connection>,
    tickets: HashMap<Ticket, SessionId>,
    pub catalogue: Catalogue,
    bounds: Bounds,
    login_timeout: Micros,
    transaction_idle: Micros,
    buffer: usize,
    held_bytes: usize,
    next: SessionId,
    chance: std::hash::RandomState,
    next_check: Micros,
    changed: BTreeSet<SessionId>,
    /// They have not taken all that is to leave.
    with_unsent: BTreeSet<SessionId>,
    /// Their engines are not read for now, as they do not take their answers.
    halted: BTreeSet<SessionId>,
    /// Not read for now: their input waits for units that are out.
    stalled: BTreeSet<SessionId>,
    lingering: Lingering,
    /// So many lingering connections have descriptors of their own.
    lingering_places: usize,
    pub events: Vec<Event>,
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
            Some(text) => hallmux_postgres::scram::Verifier::parse(text).map(Authentication::Scram),
        };
        let known = |(name, user): (&String, &User)| {
            Some((name.clone(), (Rc::new(user.clone()), access(user)?)))
        };
        Users(users.iter().filter_map(known).collect())
    }
}

impl Sessions {
    /// No sessions yet, within the limits of the operator's file.
    pub fn new(limits: &hallmux_config::SessionLimits) -> Self {
        let bounds = Bounds {
            statements: limits.statements,
            portals: limits.portals,
            settings: limits.settings,
            bytes: limits.message_bytes,
        };
        Sessions {
            connections: HashMap::new(),
            tickets: HashMap::new(),
            catalogue: Catalogue::default(),
            bounds,
            login_timeout: limits.start_up,
            transaction_idle: limits.transaction_idle,
            buffer: limits.buffer_bytes,
            held_bytes: 0,
            next: 0,
            chance: std::hash::RandomState::new(),
            next_check: 0,
            changed: BTreeSet::new(),
            with_unsent: BTreeSet::new(),
            halted: BTreeSet::new(),
            stalled: BTreeSet::new(),
            lingering: Lingering::default(),
            lingering_places: 0,
            events: Vec::new(),
            ready: Vec::new(),
        }
    }

    /// Connections that are not being closed.
    pub fn open_len(&self) -> usize {
        self.connections.len()
    }

    /// Connections that take descriptors of clients: those being closed too, beyond the ones that have
    /// descriptors of their own.
    pub fn len(&self) -> usize {
        self.connections.len() + self.lingering.len().saturating_sub(self.lingering_places)
    }

    /// Whether all connections are closed.
    pub fn is_done(&self) -> bool {
        self.connections.is_empty() && self.lingering.len() == 0
    }

    /// When the first of the connections that are being closed is dropped.
    pub fn due(&self) -> Micros {
        self.lingering.due()
    }

    /// The number of the next session.
    pub fn next_id(&mut self) -> SessionId {
        // Ids go out as process numbers, which have 31 bits.
        self.next = (self.next + 1) & 0x7fff_ffff;
        self.next
    }

    /// A number that nobody can foretell.
    fn secret(&self, of: &str, id: SessionId) -> u64 {
        use std::hash::BuildHasher;
        self.chance.hash_one((of, id, self.connections.len()))
    }

    /// A connection was accepted: its login begins.
    pub fn accept(&mut self, now: Micros, id: SessionId, link: Link) {
        let secret = self.secret("cancel", id) as u32;
        let connection = Connection {
            link,
            stage: Stage::LoggingIn(Box::default()),
            secret,
            last_active: now,
            arrivals: VecDeque::new(),
            closing: false,
        };
        self.connections.insert(id, connection);
    }

    /// Whether a statement is a session's.
    pub fn owns(&self, ticket: Ticket) -> bool {
        self.tickets.contains_key(&ticket)
    }

    /// A session, once its login is over.
    pub fn open_session(&mut self, id: SessionId) -> Option<&mut OpenSession> {
        match &mut self.connections.get_mut(&id)?.stage {
            Stage::Open(open_session) => Some(open_session),
            Stage::LoggingIn(_) => None,
        }
    }

    /// The session that a statement is of.
    pub fn by_ticket(&mut self, ticket: Ticket) -> Option<(SessionId, &mut OpenSession)> {
        let id = *self.tickets.get(&ticket)?;
        Some((id, self.open_session(id)?))
    }

    /// Bytes of the units that clients wait for, and of what they have sent beyond.
    pub fn held_bytes(&self) -> usize {
        self.held_bytes
    }

    /// The answers that clients have not taken yet.
    pub fn unsent(&self) -> UnsentAnswers {
        let unsent = |id: &SessionId| self.connections.get(id).map_or(0, |p| p.link.unsent());
        UnsentAnswers {
            bytes: self.with_unsent.iter().map(unsent).sum(),
            slowest: self.with_unsent.iter().copied().max_by_key(unsent),
        }
    }

    /// A connection has changed: takes what is there. True if there is more for another iteration.
    pub fn read(&mut self, now: Micros, id: SessionId) -> bool {
        if let Some(more) = self.lingering.read(id) {
            return more;
        }
        let most = self.bounds.bytes;
        let Some(connection) = self.connections.get_mut(&id) else {
            return false;
        };
        self.changed.insert(id);
        // Guards against input without end while a unit is out: the rest waits with the network.
        if connection.link.input.len() > most || connection.closing {
            self.stalled.insert(id);
            return false;
        }
        let before = connection.link.input.len();
        let ReadOutcome {
            has_more: more,
            broken,
        } = connection.link.read();
        let came = connection.link.input.len() - before;
        if came > 0 {
            self.held_bytes += came;
            let many = connection.arrivals.len() >= MOST_ARRIVALS;
            match connection.arrivals.back_mut().filter(|_| many) {
                Some(arrival) => arrival.bytes += came,
                None => connection.arrivals.push_back(Arrival {
                    bytes: came,
                    at: now,
                }),
            }
            self.ready.push(id);
        }
        if broken.is_some() {
            self.disconnect(id);
            return false;
        }
        more
    }

    /// Sends what is to leave; says which executions' clients have caught up.
    pub fn flush(&mut self, now: Micros) -> Vec<ExecutionId> {
        let mut caught_up = Vec::new();
        for id in std::mem::take(&mut self.changed) {
            let Some(connection) = self.connections.get_mut(&id) else {
                continue;
            };
            let flushed = connection.link.flush();
            let unsent = connection.link.unsent();
            if flushed.is_err() {
                self.disconnect(id);
                continue;
            }
            if connection.closing && unsent == 0 {
                self.close(now, id);
                continue;
            }
            if unsent <= self.buffer / 2 && self.halted.remove(&id) {
                if let Stage::Open(open_session) = &connection.stage {
                    caught_up.extend(open_session.running.as_ref().and_then(|r| r.execution_id));
                }
            }
            if unsent > 0 {
                self.with_unsent.insert(id);
            } else {
                self.with_unsent.remove(&id);
            }
        }
        caught_up
    }

    /// Sessions whose input waits with the network, and may be read again.
    pub fn unstalled(&mut self) -> Vec<SessionId> {
        let full = |id: &SessionId| {
            self.connections
                .get(id)
                .is_some_and(|p| p.link.input.len() > self.bounds.bytes)
        };
        let (full, ready): (BTreeSet<_>, BTreeSet<_>) = std::mem::take(&mut self.stalled)
            .into_iter()
            .partition(full);
        self.stalled = full;
        ready
            .into_iter()
            .chain(self.lingering.take_unread())
            .collect()
    }
}
