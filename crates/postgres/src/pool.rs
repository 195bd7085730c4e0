//! Assigns engine connections to units: an idle connection, a new one, or a place in the queue. A
//! connection belongs to an engine and to an account there; the limit of connections to an engine
//! counts those of all accounts.

use std::collections::{BTreeMap, VecDeque};

/// The index of an engine, as the dispatcher numbers them.
pub type EngineIndex = usize;
/// The id of a connection, assigned by the caller.
pub type ConnectionId = u64;
/// The id of an account at the engines, assigned by the caller.
pub type AccountId = usize;

#[derive(Clone, Copy, PartialEq)]
enum State {
    /// The connection is being established or is logging in.
    Connecting,
    Idle {
        since: i64,
    },
    /// A unit is in flight on the connection, or a transaction is open.
    InUse,
}

/// A connection of a pool.
struct PooledConnection {
    engine: EngineIndex,
    account: AccountId,
    state: State,
    /// When the connection was started, in microseconds.
    started_at: i64,
    /// The connection is not used again, as its engine is retired.
    retired: bool,
}

/// An action that the caller takes for a submitted unit or for the waiting ones.
#[derive(Debug, PartialEq, Eq)]
pub enum PoolAction<U> {
    /// Send a unit on a connection.
    Use {
        /// The unit.
        unit: U,
        /// The connection.
        connection: ConnectionId,
    },
    /// Establish a connection.
    Dial {
        /// The account to log in with.
        account: AccountId,
        /// A connection to close first, as the engine is at its limit of connections.
        replacing: Option<ConnectionId>,
    },
}

/// What happens to a connection that was released.
#[derive(Debug, PartialEq, Eq)]
pub enum Released<U> {
    /// The connection is idle.
    Idle,
    /// The caller takes an action for the waiting units.
    Action(PoolAction<U>),
    /// The caller closes the connection, which is too old, retired or unknown.
    Close,
}

/// Limits on connections.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// The maximum number of connections to an engine.
    pub per_engine: usize,
    /// Microseconds after which an idle connection is closed.
    pub idle_timeout_us: i64,
    /// Microseconds after which a connection is not used again.
    pub max_age_us: i64,
}

/// A unit waiting for a connection.
struct WaitingUnit<U> {
    unit: U,
    account: AccountId,
}

/// The connection pools of all engines, and the units `U` that wait for a connection.
pub struct Pools<U> {
    bounds: Bounds,
    connections: BTreeMap<ConnectionId, PooledConnection>,
    waiting: BTreeMap<EngineIndex, VecDeque<WaitingUnit<U>>>,
}

impl<U: Copy + PartialEq> Pools<U> {
    /// Creates pools without connections.
    pub fn new(bounds: Bounds) -> Self {
        Pools {
            bounds,
            connections: BTreeMap::new(),
            waiting: BTreeMap::new(),
        }
    }

    /// Returns the number of connections, including those being established.
    pub fn len(&self) -> usize {
        self.connections.len()
    }

    /// Whether the pools hold no connection.
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

    /// Submits a unit that needs a connection to an engine. `rank` orders the idle connections; the
    /// highest is used. Returns the action to take; None if the unit has to wait.
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
        // Of equal ranks the connection used last is taken, so that the others can reach the idle
        // timeout.
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

    /// Returns the account of the first waiting unit for which no connection is being established:
    /// each new connection serves the first waiting unit of its account.
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

    /// Returns the connection to establish for the units waiting at an engine, if any.
    pub fn next_action(&self, engine: EngineIndex) -> Option<PoolAction<U>> {
        let account = self.account_to_dial_for(engine)?;
        if self.connections_to(engine).count() < self.bounds.per_engine {
            return Some(PoolAction::Dial {
                account,
                replacing: None,
            });
        }
        // Idle connections of one account must not block another account's units.
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

    /// Adds a connection that is being established.
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

    /// Releases a connection that has logged in, or whose unit and transaction are over.
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
        // Units are served in order: if the first waiting unit is of another account and the engine
        // is at its limit, this connection is replaced by one of that account.
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

    /// Removes a closed connection. Returns the units that waited for it and can't be served by
    /// another connection of their account.
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
        // Without another connection all waiting units of the account are returned; otherwise only
        // the first, as the others are still served.
        queue.retain(|waiting| {
            let is_lost = waiting.account == account && (!has_others || lost.is_empty());
            if is_lost {
                lost.push(waiting.unit);
            }
            !is_lost
        });
        lost
    }

    /// Removes a unit from the queue of an engine. True if the unit was waiting.
    pub fn withdraw(&mut self, engine: EngineIndex, unit: U) -> bool {
        let Some(queue) = self.waiting.get_mut(&engine) else {
            return false;
        };
        let before = queue.len();
        queue.retain(|waiting| waiting.unit != unit);
        queue.len() < before
    }

    /// Retires the connections of an engine that accepts no more units. Returns the units that
    /// waited for it, and its idle connections.
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

    /// Returns the idle connections to close: those past the idle timeout or the maximum age, and
    /// the retired ones.
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

    /// Returns an idle connection to an engine, if there is one.
    pub fn idle_connection(&self, engine: EngineIndex) -> Option<ConnectionId> {
        self.connections_to(engine)
            .find(|(_, m)| matches!(m.state, State::Idle { .. }))
            .map(|(connection, _)| *connection)
    }

    /// Whether another connection to an engine may be started: the engine is below its limit and
    /// none is being established.
    pub fn may_dial(&self, engine: EngineIndex) -> bool {
        let is_connecting = self
            .connections_to(engine)
            .any(|(_, m)| m.state == State::Connecting);
        !is_connecting && self.has_capacity(engine)
    }

    /// Whether an engine is below its limit of connections.
    pub fn has_capacity(&self, engine: EngineIndex) -> bool {
        self.connections_to(engine).count() < self.bounds.per_engine
    }

    /// Returns how many connections to an engine are idle or being established, beyond those that
    /// waiting units need.
    pub fn available(&self, engine: EngineIndex) -> usize {
        let free = self
            .connections_to(engine)
            .filter(|(_, m)| m.state != State::InUse && !m.retired)
            .count();
        free.saturating_sub(self.waiting.get(&engine).map_or(0, VecDeque::len))
    }

    /// Returns the connection that has been idle longest, which may be closed to make room for
    /// others.
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
