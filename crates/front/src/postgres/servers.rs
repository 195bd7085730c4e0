//! Connections to engines that speak PostgreSQL: units out, answers back to whoever has asked, pools of them.

mod close;
mod replies;
mod send;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;

use calloop::LoopHandle;
use hallmux_config::{NetworkSettings, SessionLimits};
use hallmux_dispatcher::{Ending, EngineIndex, Micros};
use hallmux_postgres::engine::{Account, EngineConnection, UnitOutcome};
use hallmux_postgres::pool::{self, Pools};
use hallmux_postgres::prepared::SessionSettings;
use hallmux_postgres::session::UnitPart;

use super::ids::{ServerId, SessionId};
use crate::dial_pacer::{self, DialPacer};
use crate::events::LoopEvents;
use crate::execution::ExecutionId;
use crate::link::Link;
use crate::listed_engine::ListedEngine;

/// Microseconds between checks of connections that have been idle for long.
const CHECK_INTERVAL: Micros = 100_000;
/// Accounts at the engines, by user and database; beyond them none come in.
const MOST_ACCOUNTS: usize = 1_000;

/// Replies of engines, and how executions have ended.
pub enum Event {
    /// It may have taken effect from now on, whatever becomes of its connection: it is not repeated.
    Irrevocable(ExecutionId),
    /// Part of its answer; `whole` if that ends with a message.
    PartialAnswer {
        execution_id: ExecutionId,
        bytes: Vec<u8>,
        whole: bool,
    },
    /// The rest of its answer, and the connection that holds its transaction, if one is open.
    Answered {
        execution_id: ExecutionId,
        bytes: Vec<u8>,
        done: UnitOutcome,
        held: Option<ServerId>,
    },
    /// Not executed, with the error that the engine gives.
    Refused {
        execution_id: ExecutionId,
        error: Vec<u8>,
    },
    Ended {
        execution_id: ExecutionId,
        ending: Ending,
    },
    /// The engine that this is out on has replied to something, if not to it.
    Alive(ExecutionId),
    /// The open transaction of a session is gone with its connection.
    TransactionLost { session: SessionId },
}

/// A unit as it goes out.
#[derive(Clone)]
pub struct Unit {
    pub session: SessionId,
    pub parts: Vec<Rc<UnitPart>>,
    pub settings: Rc<SessionSettings>,
    pub account: pool::AccountId,
    /// The connection that holds its transaction.
    pub pin: Option<ServerId>,
    /// It is not to be repeated once it has left.
    pub once: bool,
}

#[derive(PartialEq, Clone, Copy)]
enum Stage {
    /// It waits for a connection, or for a cancel on its own to be over.
    Waiting,
    Writing,
    Out,
}

struct Execution {
    unit: Unit,
    place: EngineIndex,
    link: Option<ServerId>,
    stage: Stage,
    /// What has come of its answer and not gone on.
    unsent_answer: Vec<u8>,
    /// Some of its answer has gone on.
    begun: bool,
    /// Its client does not take more for now.
    paused: bool,
}

struct Server {
    link: Link,
    engine: EngineConnection,
    place: EngineIndex,
    up: bool,
    serves: Option<ExecutionId>,
    /// The session whose transaction is open here.
    holds: Option<SessionId>,
    /// Up to where in the output the unit goes that leaves.
    write_end: usize,
    /// Requests to cancel that are on their way to it.
    cancels: usize,
    /// It ends with its unit: a request to cancel could still reach the next.
    closes_after_unit: bool,
    /// What comes belongs to a unit that was given up.
    discards: bool,
}

/// A connection that carries one request to cancel.
struct Cancel {
    link: Link,
    server: ServerId,
    by: Micros,
    /// What is over once the engine has taken it.
    ends: Option<PendingEnd>,
}

/// An execution that is over once its engine has taken the request to cancel it, and how it ends.
#[derive(Clone, Copy)]
struct PendingEnd {
    execution_id: ExecutionId,
    ending: Ending,
}

struct EngineEntry {
    id: String,
    at: SocketAddr,
    started: f64,
    up: bool,
    failing: bool,
    /// When it last replied to anything, and when it was last pinged.
    last_reply: Micros,
    last_ping: Micros,
}

/// The connections to engines that speak PostgreSQL, and the executions on them.
pub struct Servers {
    handle: LoopHandle<'static, LoopEvents>,
    allowance: NetworkSettings,
    limits: SessionLimits,
    engines: BTreeMap<EngineIndex, EngineEntry>,
    accounts: Vec<Account>,
    links: BTreeMap<ServerId, Server>,
    cancels: BTreeMap<u64, Cancel>,
    connecting: BTreeMap<ServerId, Micros>,
    executions: HashMap<ExecutionId, Execution>,
    pools: Pools<ExecutionId>,
    changed: BTreeSet<ServerId>,
    next: u64,
    max_links: usize,
    /// When connections may be made; any time where nothing else is set.
    pub dials: DialPacer,
    next_check: Micros,
    /// What engines tell of themselves, for the welcome of clients.
    pub parameters: Vec<(String, String)>,
    pub events: Vec<Event>,
}

impl Servers {
    /// No engines yet; `limit` and `list` come before anything is sent.
    pub fn new(
        handle: LoopHandle<'static, LoopEvents>,
        allowance: NetworkSettings,
        limits: SessionLimits,
    ) -> Self {
        let bounds = pool::Bounds {
            per_engine: limits.engine_connections,
            idle_timeout_us: limits.connection_idle,
            max_age_us: limits.connection_age,
        };
        Servers {
            handle,
            allowance,
            limits,
            engines: BTreeMap::new(),
            accounts: Vec::new(),
            links: BTreeMap::new(),
            cancels: BTreeMap::new(),
            connecting: BTreeMap::new(),
            executions: HashMap::new(),
            pools: Pools::new(bounds),
            changed: BTreeSet::new(),
            next: 0,
            max_links: usize::MAX,
            dials: dial_pacer::unlimited(),
            next_check: 0,
            parameters: Vec::new(),
            events: Vec::new(),
        }
    }

    /// Descriptors that it may use.
    pub fn limit(&mut self, descriptors: usize) {
        self.max_links = descriptors.max(1);
    }

    /// Units that can leave for an engine over connections at rest or on their way, or one that may be made now.
    pub fn capacity(&self, now: Micros, place: EngineIndex) -> usize {
        let dials =
            self.pools.has_capacity(place) && self.dials.borrow().next_slot_at(now, place) <= now;
        self.pools.available(place)
            + usize::from(dials && self.engines.get(&place).is_some_and(|e| e.up))
    }

    /// The number of an account at the engines.
    pub fn account(&mut self, account: Account) -> Option<pool::AccountId> {
        let known = self.accounts.iter().position(|a| *a == account);
        // Guards against names of databases without end.
        if known.is_none() && self.accounts.len() < MOST_ACCOUNTS {
            self.accounts.push(account);
            return Some(self.accounts.len() - 1);
        }
        known
    }

    /// Whether an execution is one of its own, also where it only waits for its request to cancel.
    pub fn has(&self, execution_id: ExecutionId) -> bool {
        let ends = |cancel: &Cancel| {
            cancel
                .ends
                .is_some_and(|end| end.execution_id == execution_id)
        };
        self.executions.contains_key(&execution_id) || self.cancels.values().any(ends)
    }

    /// The engine that a connection is to.
    pub fn place(&self, id: ServerId) -> Option<EngineIndex> {
        self.links.get(&id).map(|l| l.place)
    }

    /// An engine of the list: where it is, and whether anything may still be sent to it.
    pub fn list(&mut self, place: EngineIndex, listed: ListedEngine) {
        let ListedEngine {
            id,
            address: at,
            started_ms: started,
            available: up,
        } = listed;
        let known = self.engines.get(&place);
        let same = known.is_some_and(|e| e.id == id && e.at == at && e.started == started);
        let failing = same && known.is_some_and(|e| e.failing);
        let (last_reply, last_ping) = known
            .filter(|_| same)
            .map_or((0, 0), |e| (e.last_reply, e.last_ping));
        if known.is_some() && (!same || !up) {
            self.retire(place);
        }
        let id = id.to_string();
        self.engines.insert(
            place,
            EngineEntry {
                id,
                at,
                started,
                up,
                failing,
                last_reply,
                last_ping,
            },
        );
    }

    /// A whole list has come: engines that it does not name are gone.
    pub fn retire_others(&mut self, listed: &[EngineIndex]) {
        let places: Vec<EngineIndex> = self
            .engines
            .keys()
            .copied()
            .filter(|p| !listed.contains(p))
            .collect();
        places.into_iter().for_each(|place| self.retire(place));
    }

    /// What has not left for an engine stays here, open transactions that stand idle there are over; what is
    /// out may still be answered.
    pub fn retire(&mut self, place: EngineIndex) {
        if let Some(engine) = self.engines.get_mut(&place) {
            engine.up = false;
        }
        let (waited, resting) = self.pools.retire_engine(place);
        waited
            .into_iter()
            .for_each(|execution_id| self.report_end(execution_id, Ending::Withdrawn));
        resting.into_iter().for_each(|id| self.close(id));
        // What waits for its settings there has not left either.
        let setting = |(id, l): (&ServerId, &Server)| {
            (l.place == place && l.engine.is_applying_settings()).then_some((*id, l.serves))
        };
        let setting: Vec<(ServerId, Option<ExecutionId>)> =
            self.links.iter().filter_map(setting).collect();
        for (id, waits) in setting {
            self.close(id);
            waits
                .into_iter()
                .for_each(|execution_id| self.report_end(execution_id, Ending::Withdrawn));
        }
        let held = |(id, l): (&ServerId, &Server)| {
            let idle = match l
                .serves
                .and_then(|execution_id| self.executions.get(&execution_id))
            {
                Some(execution) => execution.stage == Stage::Waiting,
                None => true,
            };
            (l.place == place && l.holds.is_some() && idle).then_some(*id)
        };
        let held: Vec<ServerId> = self.links.iter().filter_map(held).collect();
        for id in held {
            let link = self.links.get(&id);
            let (session, waits) = link.map_or((None, None), |l| (l.holds, l.serves));
            self.close(id);
            waits
                .into_iter()
                .for_each(|execution_id| self.report_end(execution_id, Ending::Withdrawn));
            self.events
                .extend(session.map(|session| Event::TransactionLost { session }));
        }
    }

    fn report_end(&mut self, execution_id: ExecutionId, ending: Ending) {
        self.executions.remove(&execution_id);
        self.events.push(Event::Ended {
            execution_id,
            ending,
        });
    }

    fn engine_name(&self, id: ServerId) -> &str {
        let place = self.links.get(&id).map(|l| l.place);
        place
            .and_then(|place| self.engines.get(&place))
            .map_or("?", |e| &e.id)
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
            .map(|c| c.by)
            .min()
            .unwrap_or(Micros::MAX);
        let next_check = if self.pools.is_empty() {
            Micros::MAX
        } else {
            self.next_check
        };
        connecting.min(cancels).min(next_check)
    }

    /// Ends what has waited too long: connections not up, logins, cancels, idle connections. Says which
    /// connections have more to read than one iteration takes.
    pub fn expire(&mut self, now: Micros) -> Vec<ServerId> {
        let unfinished = self.expire_connecting(now);
        let late: Vec<u64> = self
            .cancels
            .iter()
            .filter(|(_, c)| c.by <= now)
            .map(|(n, _)| *n)
            .collect();
        late.into_iter()
            .for_each(|number| self.cancel_overdue(now, number));
        if self.next_check <= now {
            self.next_check = now + CHECK_INTERVAL;
            self.ping_silent(now);
            for id in self.pools.expired(now) {
                self.close(id);
            }
            // What waits for descriptors that others have let go of.
            for place in self.engines.keys().copied().collect::<Vec<_>>() {
                let step = self.pools.next_action(place);
                self.step(now, place, step);
            }
        }
        unfinished
    }

    /// Ends connections that did not come up, or did not let the front in, in time. Says which of those that
    /// stay have more to read.
    fn expire_connecting(&mut self, now: Micros) -> Vec<ServerId> {
        let late: Vec<ServerId> = self
            .connecting
            .iter()
            .filter(|(_, by)| **by <= now)
            .map(|(id, _)| *id)
            .collect();
        let mut unfinished = Vec::new();
        for id in late {
            // Guards against a front that stood still between its look at the connections and this one: what has
            // come up, or let it in, meanwhile is found before it is judged.
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
