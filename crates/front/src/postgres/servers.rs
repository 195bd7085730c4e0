//! Connections to engines that speak PostgreSQL, their pools, the units sent over them and the
//! answers received.

mod close;
mod engine_list;
mod replies;
mod send;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;

use calloop::LoopHandle;
use hallmux_config::{NetworkSettings, SessionLimits};
use hallmux_dispatcher::{Ending, EngineIndex, Micros, Terms};
use hallmux_postgres::engine::{Account, EngineConnection, UnitOutcome};
use hallmux_postgres::pool::{self, Pools};
use hallmux_postgres::prepared::SessionSettings;
use hallmux_postgres::session::{commits_transaction, UnitPart};

use super::ids::{ServerId, SessionId};
use crate::dial_pacer::{self, DialPacer};
use crate::events::LoopEvents;
use crate::execution::ExecutionId;
use crate::link::Link;

/// Microseconds between two checks for silent engines and idle connections.
const CHECK_INTERVAL: Micros = 100_000;
/// Upper limit of the accounts at engines, one per user and database; sessions with further ones
/// are rejected.
const MAX_ACCOUNTS: usize = 1_000;

/// Replies of engines, and endings of executions.
pub enum Event {
    /// The execution may take effect from now on, even if its connection is lost: it is not
    /// retried.
    Irrevocable(ExecutionId),
    /// Part of an answer; `ends_message` if it ends at a message boundary.
    PartialAnswer {
        execution_id: ExecutionId,
        bytes: Vec<u8>,
        ends_message: bool,
    },
    /// The rest of an answer, and the connection that holds the session's transaction, if one is
    /// open.
    Answered {
        execution_id: ExecutionId,
        bytes: Vec<u8>,
        done: UnitOutcome,
        held: Option<ServerId>,
    },
    /// The engine has not executed the unit, for the error given.
    Refused {
        execution_id: ExecutionId,
        error: Vec<u8>,
    },
    Ended {
        execution_id: ExecutionId,
        ending: Ending,
    },
    /// The engine of this execution has replied to something, though not to this execution.
    Alive(ExecutionId),
    /// The open transaction of a session was lost with its connection.
    TransactionLost { session: SessionId },
}

/// A unit to be sent to an engine.
#[derive(Clone)]
pub struct Unit {
    pub session: SessionId,
    pub parts: Vec<Rc<UnitPart>>,
    pub settings: Rc<SessionSettings>,
    pub account: pool::AccountId,
    /// The connection that holds the session's transaction, if one is open.
    pub pin: Option<ServerId>,
    /// Until when the unit may be sent.
    pub terms: Terms,
}

impl Unit {
    /// Whether the unit must not be retried once it has been sent. Derived from the parts: any of
    /// them may contain the commit, also one that comes after a Flush.
    fn is_sent_once(&self) -> bool {
        self.pin.is_some() || commits_transaction(&self.parts)
    }
}

#[derive(PartialEq, Clone, Copy)]
enum Stage {
    /// Waits for a connection, or for the cancel requests on its pinned connection to be over.
    Waiting,
    Writing,
    Sent,
}

struct Execution {
    unit: Unit,
    engine_index: EngineIndex,
    connection: Option<ServerId>,
    stage: Stage,
    /// Bytes of the answer that were received and not yet forwarded.
    unsent_answer: Vec<u8>,
    /// Part of the answer has been forwarded.
    answer_started: bool,
    /// The client reads its answer too slowly: no more of it is read from the engine.
    paused: bool,
}

struct Server {
    link: Link,
    engine: EngineConnection,
    engine_index: EngineIndex,
    up: bool,
    serving: Option<ExecutionId>,
    /// The session whose transaction is open on this connection.
    transaction_of: Option<SessionId>,
    /// Where the unit being sent begins, as an offset in all bytes of the connection.
    write_start: usize,
    /// Position in the output at which the unit being sent ends.
    write_end: usize,
    /// Requests to cancel in flight for this connection.
    cancels: usize,
    /// The connection closes with its unit: a request to cancel could still reach the next unit.
    closes_after_unit: bool,
    /// The replies belong to a unit that was cancelled.
    discards_replies: bool,
}

impl Server {
    /// Whether nothing has left of the unit that was written to the connection: its output was not
    /// sent, or it waits for its settings.
    fn is_unit_unsent(&self) -> bool {
        !self.link.has_sent_up_to(self.write_start + 1) || self.engine.is_applying_settings()
    }
}

/// A connection that carries one request to cancel.
struct Cancel {
    link: Link,
    server: ServerId,
    deadline: Micros,
    /// The execution that ends once the engine has accepted the request.
    pending_end: Option<PendingEnd>,
}

/// An execution that ends once its engine has accepted the request to cancel it, and how it ends.
#[derive(Clone, Copy)]
struct PendingEnd {
    execution_id: ExecutionId,
    ending: Ending,
}

struct EngineEntry {
    id: String,
    address: SocketAddr,
    started: f64,
    up: bool,
    failing: bool,
    /// When the engine last replied to anything, and when it was last pinged.
    last_reply: Micros,
    last_ping: Micros,
}

/// The connections to engines that speak PostgreSQL, and the executions on them.
pub struct Servers {
    handle: LoopHandle<'static, LoopEvents>,
    network: NetworkSettings,
    limits: SessionLimits,
    engines: BTreeMap<EngineIndex, EngineEntry>,
    accounts: Vec<Account>,
    connections: BTreeMap<ServerId, Server>,
    cancels: BTreeMap<u64, Cancel>,
    connecting: BTreeMap<ServerId, Micros>,
    executions: HashMap<ExecutionId, Execution>,
    pools: Pools<ExecutionId>,
    flush_pending: BTreeSet<ServerId>,
    last_id: u64,
    max_connections: usize,
    /// Limits when connections may be opened; unlimited until it is replaced.
    pub dials: DialPacer,
    next_check: Micros,
    /// Parameters that engines report at login, for the welcome of clients.
    pub parameters: Vec<(String, String)>,
    pub events: Vec<Event>,
}

impl Servers {
    /// No engines yet. `set_connection_limit` and `update_engine` are called before anything is
    /// sent.
    pub fn new(
        handle: LoopHandle<'static, LoopEvents>,
        network: NetworkSettings,
        limits: SessionLimits,
    ) -> Self {
        let bounds = pool::Bounds {
            per_engine: limits.engine_connections,
            idle_timeout_us: limits.connection_idle_timeout,
            max_age_us: limits.max_connection_age,
        };
        Servers {
            handle,
            network,
            limits,
            engines: BTreeMap::new(),
            accounts: Vec::new(),
            connections: BTreeMap::new(),
            cancels: BTreeMap::new(),
            connecting: BTreeMap::new(),
            executions: HashMap::new(),
            pools: Pools::new(bounds),
            flush_pending: BTreeSet::new(),
            last_id: 0,
            max_connections: usize::MAX,
            dials: dial_pacer::unlimited(),
            next_check: 0,
            parameters: Vec::new(),
            events: Vec::new(),
        }
    }

    /// Sets how many descriptors the connections may use.
    pub fn set_connection_limit(&mut self, descriptors: usize) {
        self.max_connections = descriptors.max(1);
    }

    /// How many units can be sent to an engine now: over idle or connecting connections, or over
    /// one that may be opened now.
    pub fn capacity(&self, now: Micros, engine_index: EngineIndex) -> usize {
        let dials = self.pools.has_capacity(engine_index)
            && self.dials.borrow().next_slot_at(now, engine_index) <= now;
        self.pools.available(engine_index)
            + usize::from(
                dials
                    && self
                        .engines
                        .get(&engine_index)
                        .is_some_and(|engine| engine.up),
            )
    }

    /// The number of an account at the engines. `None` if it is new and there are too many.
    pub fn account(&mut self, account: Account) -> Option<pool::AccountId> {
        let known = self.accounts.iter().position(|a| *a == account);
        // Bounds the accounts that clients create by naming ever new databases.
        if known.is_none() && self.accounts.len() < MAX_ACCOUNTS {
            self.accounts.push(account);
            return Some(self.accounts.len() - 1);
        }
        known
    }

    /// Whether an execution is in flight here, or only waits for its request to cancel.
    pub fn has_execution(&self, execution_id: ExecutionId) -> bool {
        let ends = |cancel: &Cancel| {
            cancel
                .pending_end
                .is_some_and(|end| end.execution_id == execution_id)
        };
        self.executions.contains_key(&execution_id) || self.cancels.values().any(ends)
    }

    /// Whether some of an execution that has not ended may have left for its engine.
    pub fn may_have_left(&self, execution_id: ExecutionId) -> bool {
        let Some(execution) = self.executions.get(&execution_id) else {
            // An execution that is being cancelled was sent.
            return self.has_execution(execution_id);
        };
        execution
            .connection
            .and_then(|id| self.connections.get(&id))
            .is_some_and(|server| !server.is_unit_unsent())
    }

    /// The engine of a connection.
    pub fn engine_index(&self, id: ServerId) -> Option<EngineIndex> {
        self.connections.get(&id).map(|server| server.engine_index)
    }

    fn report_end(&mut self, execution_id: ExecutionId, ending: Ending) {
        self.executions.remove(&execution_id);
        self.events.push(Event::Ended {
            execution_id,
            ending,
        });
    }

    fn engine_name(&self, id: ServerId) -> &str {
        let engine_index = self.connections.get(&id).map(|server| server.engine_index);
        engine_index
            .and_then(|engine_index| self.engines.get(&engine_index))
            .map_or("?", |engine| &engine.id)
    }

    /// When `expire` is next due.
    pub fn due(&self) -> Micros {
        let connecting = self
            .connecting
            .values()
            .copied()
            .min()
            .unwrap_or(Micros::MAX);
        let cancels = self
            .cancels
            .values()
            .map(|cancel| cancel.deadline)
            .min()
            .unwrap_or(Micros::MAX);
        let next_check = if self.pools.is_empty() {
            Micros::MAX
        } else {
            self.next_check
        };
        connecting.min(cancels).min(next_check)
    }

    /// Ends what has exceeded its time limit: dials, logins, cancel requests and idle connections.
    /// Returns the connections that hold more input than one iteration reads.
    pub fn expire(&mut self, now: Micros) -> Vec<ServerId> {
        let unfinished = self.expire_connecting(now);
        let overdue: Vec<u64> = self
            .cancels
            .iter()
            .filter(|(_, cancel)| cancel.deadline <= now)
            .map(|(n, _)| *n)
            .collect();
        overdue
            .into_iter()
            .for_each(|number| self.cancel_overdue(now, number));
        if self.next_check <= now {
            self.next_check = now + CHECK_INTERVAL;
            self.ping_silent(now);
            for id in self.pools.expired(now) {
                self.close(id);
            }
            self.withdraw_late_repeats(now);
            // Serves executions that wait for descriptors which other pools have released.
            for engine_index in self.engines.keys().copied().collect::<Vec<_>>() {
                let action = self.pools.next_action(engine_index);
                self.run_pool_action(now, engine_index, action);
            }
        }
        unfinished
    }

    /// Closes connections that were not up, or whose login was not over, in time. Returns those of
    /// the remaining ones that hold more to read.
    fn expire_connecting(&mut self, now: Micros) -> Vec<ServerId> {
        let overdue: Vec<ServerId> = self
            .connecting
            .iter()
            .filter(|(_, by)| **by <= now)
            .map(|(id, _)| *id)
            .collect();
        let mut unfinished = Vec::new();
        for id in overdue {
            // Guards against a stall of the front between its last read of the connection and this
            // check: a connection or login that was completed meanwhile is found before it counts
            // as late.
            let more = self.read(now, id);
            if self.connecting.get(&id).is_some_and(|by| *by <= now) {
                self.connection_lost(now, id, Ending::ConnectTimeout);
            } else if more {
                unfinished.push(id);
            }
        }
        unfinished
    }
}

#[cfg(test)]
#[path = "servers_tests.rs"]
mod tests;
