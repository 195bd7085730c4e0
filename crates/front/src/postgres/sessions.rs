//! Connections of PostgreSQL clients: units are received, and each gets one final answer.

mod answers;
mod close;
mod input;
mod input_memory;
mod open_session;
mod shutdown;
mod unit_checks;

use std::collections::{BTreeSet, HashMap, VecDeque};
use std::rc::Rc;

use hallmux_config::User;
use hallmux_dispatcher::{Micros, Ticket};
use hallmux_postgres::prepared::Catalogue;
use hallmux_postgres::session::{Bounds, UnitPart};
use hallmux_postgres::startup::{Authentication, Startup};

#[cfg(test)]
pub use self::open_session::PART_OVERHEAD_BYTES;
pub use self::open_session::{AdmittedTerms, OpenSession, RunningUnit};
use self::shutdown::Shutdown;
use super::ids::{ServerId, SessionId};
use crate::execution::ExecutionId;
use crate::lingering::Lingering;
use crate::link::{Link, ReadOutcome};
use crate::read_queue::read_share;
use crate::unsent_answers::UnsentAnswers;

/// Upper limit of the arrival times kept of a session's input; later input counts as received at
/// the last one kept. One more is kept when the front stops taking units.
const MAX_ARRIVALS: usize = 32;

/// Events of sessions that need the dispatcher or an engine.
pub enum Event {
    /// A unit to be admitted; `since` is when its last byte was received.
    Unit {
        session: SessionId,
        part: Rc<UnitPart>,
        since: Micros,
    },
    /// A further part of the unit in flight.
    UnitPart { ticket: Ticket, part: Rc<UnitPart> },
    /// The client no longer waits for the statement.
    Abandoned(Ticket),
    /// A transaction has ended: the connection to release, if any, and the order keys that it held.
    TransactionEnded {
        pin: Option<ServerId>,
        keys: Vec<String>,
        may_still_run: bool,
    },
    /// A client asks to cancel the unit that this session has in flight.
    Cancel(SessionId),
}

enum Stage {
    LoggingIn(Box<Startup>),
    Open(Box<OpenSession>),
}

/// Bytes of the input that were received together.
struct Arrival {
    bytes: usize,
    at: Micros,
}

struct Connection {
    link: Link,
    stage: Stage,
    /// The secret that a request to cancel must contain.
    secret: u32,
    /// When the connection was last used.
    last_active: Micros,
    /// When the last bytes were received, whether or not they were used.
    last_received: Micros,
    /// When the bytes of the input were received, in order.
    arrivals: VecDeque<Arrival>,
    /// The connection closes once its output is sent.
    closing: bool,
    /// Bytes still to come of a message that was answered before it was complete; they are dropped.
    bytes_to_drop: usize,
}

/// All connections of PostgreSQL clients.
pub struct Sessions {
    connections: HashMap<SessionId, Connection>,
    tickets: HashMap<Ticket, SessionId>,
    pub catalogue: Catalogue,
    bounds: Bounds,
    login_timeout: Micros,
    transaction_idle_timeout: Micros,
    buffer_bytes: usize,
    /// Bytes that one read of a connection may take.
    read_share: usize,
    held_bytes: usize,
    last_id: SessionId,
    random_state: std::hash::RandomState,
    next_idle_check: Micros,
    shutdown: Shutdown,
    changed: BTreeSet<SessionId>,
    /// Sessions that have not read all of their output.
    with_unsent: BTreeSet<SessionId>,
    /// Sessions whose answers are not read from their engines at present, because the clients lag
    /// behind in reading them.
    paused: BTreeSet<SessionId>,
    /// Sessions that are not read at present: their input waits for units in flight.
    unread: BTreeSet<SessionId>,
    lingering: Lingering,
    /// How many lingering connections have descriptors beside those of clients.
    lingering_descriptors: usize,
    pub events: Vec<Event>,
    /// Sessions with input that may contain a unit.
    pub ready: Vec<SessionId>,
}

/// The users of the operator's file, and how each authenticates.
pub struct Users(HashMap<String, (Rc<User>, Authentication)>);

impl Users {
    /// Reads the users of the operator's file. A user whose verifier can't be read is not admitted.
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
            statements: limits.prepared_statements,
            portals: limits.portals,
            settings: limits.settings,
            bytes: limits.message_bytes,
        };
        Sessions {
            connections: HashMap::new(),
            tickets: HashMap::new(),
            catalogue: Catalogue::default(),
            bounds,
            login_timeout: limits.login_timeout,
            transaction_idle_timeout: limits.transaction_idle_timeout,
            buffer_bytes: limits.buffer_bytes,
            read_share: read_share(1),
            held_bytes: 0,
            last_id: 0,
            random_state: std::hash::RandomState::new(),
            next_idle_check: 0,
            shutdown: Shutdown::default(),
            changed: BTreeSet::new(),
            with_unsent: BTreeSet::new(),
            paused: BTreeSet::new(),
            unread: BTreeSet::new(),
            lingering: Lingering::default(),
            lingering_descriptors: 0,
            events: Vec::new(),
            ready: Vec::new(),
        }
    }

    /// The number of connections that are not being closed.
    pub fn open_count(&self) -> usize {
        self.connections.len()
    }

    /// The number of connections that use descriptors of clients, including the lingering ones in
    /// excess of `lingering_descriptors`.
    pub fn len(&self) -> usize {
        self.connections.len()
            + self
                .lingering
                .len()
                .saturating_sub(self.lingering_descriptors)
    }

    /// Whether all connections are closed, lingering ones included.
    pub fn is_done(&self) -> bool {
        self.connections.is_empty() && self.lingering.len() == 0
    }

    /// When the first lingering connection is dropped; `Micros::MAX` if there is none.
    pub fn due(&self) -> Micros {
        self.lingering.due()
    }

    /// The number of the next session.
    pub fn next_id(&mut self) -> SessionId {
        // Ids are sent to clients as process numbers, which have 31 bits.
        self.last_id = (self.last_id + 1) & 0x7fff_ffff;
        self.last_id
    }

    /// An unpredictable number.
    fn secret(&self, of: &str, id: SessionId) -> u64 {
        use std::hash::BuildHasher;
        self.random_state.hash_one((of, id, self.connections.len()))
    }

    /// Adds an accepted connection; its login starts.
    pub fn accept(&mut self, now: Micros, id: SessionId, link: Link) {
        let secret = self.secret("cancel", id) as u32;
        let connection = Connection {
            link,
            stage: Stage::LoggingIn(Box::default()),
            secret,
            last_active: now,
            last_received: now,
            arrivals: VecDeque::new(),
            closing: false,
            bytes_to_drop: 0,
        };
        self.connections.insert(id, connection);
    }

    /// Whether a statement belongs to a session.
    pub fn owns(&self, ticket: Ticket) -> bool {
        self.tickets.contains_key(&ticket)
    }

    /// A session whose login is over; None if the session is gone or still logs in.
    pub fn open_session(&mut self, id: SessionId) -> Option<&mut OpenSession> {
        match &mut self.connections.get_mut(&id)?.stage {
            Stage::Open(open_session) => Some(open_session),
            Stage::LoggingIn(_) => None,
        }
    }

    /// The session that a statement belongs to.
    pub fn by_ticket(&mut self, ticket: Ticket) -> Option<(SessionId, &mut OpenSession)> {
        let id = *self.tickets.get(&ticket)?;
        Some((id, self.open_session(id)?))
    }

    /// Bytes of the units that clients wait for, and of the input beyond them.
    pub fn held_bytes(&self) -> usize {
        self.held_bytes
    }

    /// The answers that clients have not read yet.
    pub fn unsent(&self) -> UnsentAnswers {
        let unsent = |id: &SessionId| {
            self.connections
                .get(id)
                .map_or(0, |connection| connection.link.unsent())
        };
        UnsentAnswers::new(self.with_unsent.iter().map(|id| (*id, unsent(id))))
    }

    /// Sets how many bytes one read of a connection may take.
    pub fn set_read_share(&mut self, bytes: usize) {
        self.read_share = bytes;
    }

    /// Reads a connection that is ready. Returns true if there is more for another iteration.
    pub fn read(&mut self, now: Micros, id: SessionId) -> bool {
        if let Some(more) = self.lingering.read(id) {
            return more;
        }
        let max_input = self.bounds.bytes;
        let Some(connection) = self.connections.get_mut(&id) else {
            return false;
        };
        self.changed.insert(id);
        // Bounds the input buffered while a unit is in flight: the rest stays in the socket.
        if connection.link.input.len() > max_input || connection.closing {
            self.unread.insert(id);
            return false;
        }
        let before = connection.link.input.len();
        let ReadOutcome {
            has_more: more,
            broken,
        } = connection.link.read_some(self.read_share);
        let dropped = connection
            .bytes_to_drop
            .min(connection.link.input.len() - before);
        connection.bytes_to_drop -= dropped;
        connection.link.consume(dropped);
        let received = connection.link.input.len() - before;
        if received > 0 {
            self.held_bytes += received;
            connection.last_received = now;
            let many = connection.arrivals.len() >= MAX_ARRIVALS;
            let shutdown = self.shutdown;
            // Late input never counts as input that came in time.
            let may_join =
                |last: &&mut Arrival| many && shutdown.is_late(last.at) == shutdown.is_late(now);
            match connection.arrivals.back_mut().filter(may_join) {
                Some(arrival) => arrival.bytes += received,
                None => connection.arrivals.push_back(Arrival {
                    bytes: received,
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

    /// Flushes the output to clients. Returns the executions whose clients have caught up with
    /// their answers.
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
            if unsent <= self.buffer_bytes / 2 && self.paused.remove(&id) {
                if let Stage::Open(open_session) = &connection.stage {
                    caught_up.extend(
                        open_session
                            .running
                            .as_ref()
                            .and_then(|running| running.execution_id),
                    );
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

    /// Sessions whose input was left in the socket, and that may be read again.
    pub fn take_readable(&mut self) -> Vec<SessionId> {
        let full = |id: &SessionId| {
            self.connections
                .get(id)
                .is_some_and(|connection| connection.link.input.len() > self.bounds.bytes)
        };
        let (full, ready): (BTreeSet<_>, BTreeSet<_>) =
            std::mem::take(&mut self.unread).into_iter().partition(full);
        self.unread = full;
        ready
            .into_iter()
            .chain(self.lingering.take_unread())
            .collect()
    }
}
