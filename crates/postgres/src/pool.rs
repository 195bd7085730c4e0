//! Which connection to an engine a unit gets: an idle one, a new one, or none for now. Connections belong to
//! an engine and an account there; an engine takes so many in all, whoever's they are.

use std::collections::{BTreeMap, VecDeque};

/// An engine, as the dispatcher numbers it.
pub type EngineIndex = usize;
/// A connection, as its owner numbers it.
pub type ConnectionId = u64;
/// An account at the engines, as the owner numbers it.
pub type AccountId = usize;

#[derive(Clone, Copy, PartialEq)]
enum State {
    /// It is being made, or is logging in.
    Connecting,
    Idle {
        since: i64,
    },
    /// A unit is out on it, or a transaction is open.
    InUse,
}

/// A connection of a pool.
struct PooledConnection {
    engine: EngineIndex,
    account: AccountId,
    state: State,
    /// When it was made, in microseconds.
    started_at: i64,
    /// It is not used again, as its engine is retired.
    retired: bool,
}

/// What is to be done for a unit that was submitted, or for those that wait.
#[derive(Debug, PartialEq, Eq)]
pub enum PoolAction<U> {
    /// A unit goes out on a connection.
    Use {
        /// The unit.
        unit: U,
        /// The connection.
        connection: ConnectionId,
    },
    /// A connection is to be made.
    Dial {
        /// The account to log in with.
        account: AccountId,
        /// A connection to close first, as the engine takes no more.
        replacing: Option<ConnectionId>,
    },
}

/// What becomes of a connection that is free.
#[derive(Debug, PartialEq, Eq)]
pub enum Released<U> {
    /// It is idle.
    Idle,
    /// Something is to be done for those that wait.
    Action(PoolAction<U>),
    /// It is too old to be taken again.
    Close,
}

/// Bounds on connections.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Connections to an engine.
    pub per_engine: usize,
    /// Microseconds after which an idle connection is closed.
    pub idle_timeout_us: i64,
    /// Microseconds after which a connection is not used again.
    pub max_age_us: i64,
}

/// A unit that waits for a connection.
struct WaitingUnit<U> {
    unit: U,
    account: AccountId,
}

/// The pools of connections to all engines, and the units `U` that wait for one.
pub struct Pools<U> {
    bounds: Bounds,
    connections: BTreeMap<ConnectionId, PooledConnection>,
    waiting: BTreeMap<EngineIndex, VecDeque<WaitingUnit<U>>>,
}

impl<U: Copy + PartialEq> Pools<U> {
    /// Pools without connections.
    pub fn new(bounds: Bounds) -> Self {
        Pools {
            bounds,
            connections: BTreeMap::new(),
            waiting: BTreeMap::new(),
        }
    }

    /// How many connections there are, those that are being made included.
    pub fn len(&self) -> usize {
        self.connections.len()
    }

    /// Whether there is no connection.
    pub fn is_empty(&self) -> bool {
        self.connections.is_empty()
    }

    fn connections_to(
        &self,
        engine: EngineIndex,
    ) -> impl Iterator<Item = (&ConnectionId, &PooledConnection)> {
        self.connections
            .iter()
            .filter(move |(_, m)| m.engine == engine)
    }

    /// A unit wants a connection to an engine; `suits` ranks the idle ones, the highest first.
    pub fn submit(
        &mut self,
        engine: EngineIndex,
        account: AccountId,
        unit: U,
        rank: impl Fn(ConnectionId) -> u32,
    ) -> Option<PoolAction<U>> {
        let has_waiting = self
            .waiting
            .get(&engine)
            .is_some_and(|queue| !queue.is_empty());
        // The one used last first, so that the others may end as idle.
        let idle = |(connection, m): (&ConnectionId, &PooledConnection)| match m.state {
            State::Idle { since } if m.account == account && !m.retired => {
                Some((rank(*connection), since, *connection))
            }
            _ => None,
        };
        let best = self.connections_to(engine).filter_map(idle).max();
        if let Some((_, _, connection)) = best.filter(|_| !has_waiting) {
            self.connections
                .entry(connection)
                .and_modify(|m| m.state = State::InUse);
            return Some(PoolAction::Use { unit, connection });
        }
        self.waiting
            .entry(engine)
            .or_default()
            .push_back(WaitingUnit { unit, account });
        self.next_action(engine)
    }

    /// The account of the first that waits at an engine with no connection on its way for it: each one that
    /// comes up serves the first of its account.
    fn account_to_dial_for(&self, engine: EngineIndex) -> Option<AccountId> {
        let mut connecting: BTreeMap<AccountId, usize> = BTreeMap::new();
        for (_, m) in self
            .connections_to(engine)
            .filter(|(_, m)| m.state == State::Connecting && !m.retired)
        {
            *connecting.entry(m.account).or_default() += 1;
        }
        let mut served = |account: &AccountId| match connecting.get_mut(account) {
            Some(remaining) if *remaining > 0 => {
                *remaining -= 1;
                true
            }
            _ => false,
        };
        let mut queue = self
            .waiting
            .get(&engine)?
            .iter()
            .map(|waiting| &waiting.account);
        queue.find(|account| !served(account)).copied()
    }

    /// What is to be done for the units that wait at an engine: the connection to make for them, if any.
    pub fn next_action(&self, engine: EngineIndex) -> Option<PoolAction<U>> {
        let account = self.account_to_dial_for(engine)?;
        if self.connections_to(engine).count() < self.bounds.per_engine {
            return Some(PoolAction::Dial {
                account,
                replacing: None,
            });
        }
        // Guards against one account that holds all connections while it rests.
        let idle = |(connection, m): (&ConnectionId, &PooledConnection)| match m.state {
            State::Idle { since } if m.account != account => Some((since, *connection)),
            _ => None,
        };
        let (_, connection) = self.connections_to(engine).filter_map(idle).min()?;
        Some(PoolAction::Dial {
            account,
            replacing: Some(connection),
        })
    }

    /// A connection is being made.
    pub fn connecting(
        &mut self,
        now: i64,
        engine: EngineIndex,
        account: AccountId,
        connection: ConnectionId,
    ) {
        let member = PooledConnection {
            engine,
            account,
            state: State::Connecting,
            started_at: now,
            retired: false,
        };
        self.connections.insert(connection, member);
    }

    /// A connection has come up, or its unit and transaction are over.
    pub fn release(&mut self, now: i64, connection: ConnectionId) -> Released<U> {
        let age = self.bounds.max_age_us;
        let Some(member) = self.connections.get_mut(&connection) else {
            return Released::Close;
        };
        if member.retired || now - member.started_at >= age {
            return Released::Close;
        }
        member.state = State::Idle { since: now };
        let (engine, account) = (member.engine, member.account);
        // In order: another account's unit that is first, and can have no other connection, gets this one's place.
        let first = self.account_to_dial_for(engine);
        let full = self.connections_to(engine).count() >= self.bounds.per_engine;
        if !full || first.is_none_or(|first| first == account) {
            let queue = self.waiting.entry(engine).or_default();
            let next = queue
                .iter()
                .position(|waiting| waiting.account == account)
                .and_then(|at| queue.remove(at));
            if let Some(WaitingUnit { unit, .. }) = next {
                self.connections
                    .entry(connection)
                    .and_modify(|m| m.state = State::InUse);
                return Released::Action(PoolAction::Use { unit, connection });
            }
        }
        self.next_action(engine)
            .map_or(Released::Idle, Released::Action)
    }

    /// A connection is gone. Returns the units that waited for it alone, as there is no other of their
    /// account.
    pub fn remove(&mut self, connection: ConnectionId) -> Vec<U> {
        let Some(member) = self.connections.remove(&connection) else {
            return Vec::new();
        };
        if member.state != State::Connecting {
            return Vec::new();
        }
        let Some(queue) = self.waiting.get_mut(&member.engine) else {
            return Vec::new();
        };
        let (engine, account) = (member.engine, member.account);
        let has_others = self
            .connections
            .values()
            .any(|m| m.engine == engine && m.account == account && !m.retired);
        let mut lost = Vec::new();
        // With none left all end, else one: the others are still served.
        queue.retain(|waiting| {
            let is_lost = waiting.account == account && (!has_others || lost.is_empty());
            if is_lost {
                lost.push(waiting.unit);
            }
            !is_lost
        });
        lost
    }

    /// A unit no longer waits. True if it did.
    pub fn withdraw(&mut self, engine: EngineIndex, unit: U) -> bool {
        let Some(queue) = self.waiting.get_mut(&engine) else {
            return false;
        };
        let before = queue.len();
        queue.retain(|waiting| waiting.unit != unit);
        queue.len() < before
    }

    /// An engine takes nothing new any more. Returns the units that waited for it, and its idle connections.
    pub fn retire_engine(&mut self, engine: EngineIndex) -> (Vec<U>, Vec<ConnectionId>) {
        let mut idle = Vec::new();
        for (connection, member) in self
            .connections
            .iter_mut()
            .filter(|(_, m)| m.engine == engine)
        {
            member.retired = true;
            if matches!(member.state, State::Idle { .. }) {
                idle.push(*connection);
            }
        }
        let waiting_units = self.waiting.remove(&engine).unwrap_or_default();
        (
            waiting_units
                .into_iter()
                .map(|waiting| waiting.unit)
                .collect(),
            idle,
        )
    }

    /// Connections that have been idle for so long, or are so old, that they are to be closed.
    pub fn expired(&self, now: i64) -> Vec<ConnectionId> {
        let is_expired = |m: &PooledConnection| match m.state {
            State::Idle { since } => {
                m.retired
                    || now - since >= self.bounds.idle_timeout_us
                    || now - m.started_at >= self.bounds.max_age_us
            }
            _ => false,
        };
        self.connections
            .iter()
            .filter(|(_, m)| is_expired(m))
            .map(|(connection, _)| *connection)
            .collect()
    }

    /// An idle connection to an engine, if there is one.
    pub fn idle_connection(&self, engine: EngineIndex) -> Option<ConnectionId> {
        self.connections_to(engine)
            .find(|(_, m)| matches!(m.state, State::Idle { .. }))
            .map(|(connection, _)| *connection)
    }

    /// Whether an engine takes another connection, and none is on its way.
    pub fn may_dial(&self, engine: EngineIndex) -> bool {
        let is_connecting = self
            .connections_to(engine)
            .any(|(_, m)| m.state == State::Connecting);
        !is_connecting && self.has_capacity(engine)
    }

    /// Whether an engine takes another connection.
    pub fn has_capacity(&self, engine: EngineIndex) -> bool {
        self.connections_to(engine).count() < self.bounds.per_engine
    }

    /// Connections to an engine that are idle or being made, beyond those that units wait for.
    pub fn available(&self, engine: EngineIndex) -> usize {
        let free = self
            .connections_to(engine)
            .filter(|(_, m)| m.state != State::InUse && !m.retired)
            .count();
        free.saturating_sub(self.waiting.get(&engine).map_or(0, VecDeque::len))
    }

    /// The connection that has been idle longest, which can be closed in favour of others.
    pub fn oldest_idle(&self) -> Option<ConnectionId> {
        let idle = |(connection, m): (&ConnectionId, &PooledConnection)| match m.state {
            State::Idle { since } => Some((since, *connection)),
            _ => None,
        };
        self.connections
            .iter()
            .filter_map(idle)
            .min()
            .map(|(_, connection)| connection)
    }
}

#[cfg(test)]
#[path = "pool_tests.rs"]
mod tests;
