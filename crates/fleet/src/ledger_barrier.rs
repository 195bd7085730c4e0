//! Holds executions back until this front holds the ledger entries that they require.
//!
//! The entries guarantee across all fronts that executions with the same order key run one at a time, that a
//! repeated statement is sent only to the engine group that deduplicates it, and that a non-idempotent
//! statement is started at most once. Statements that require no entries bypass the barrier. The barrier opens
//! no sockets and reads no clocks: it produces ledger requests and decisions on held executions.

mod claims;
mod driver;
mod key_state;
mod refusal;
mod requirements;

use std::collections::{BTreeMap, HashMap};

use hallmux_config::Settings;
use hallmux_dispatcher::{
    EngineIndex, LedgerEvent, Micros, Site, StatementArrived, StatementFinished, Terms, Ticket,
};
use hallmux_ledger::{self as ledger, Key, Kind, LedgerAnswer};

pub use driver::{BarrierDriver, LedgerClient, OrderedExecution};
use key_state::{KeyState, ShardState};
use requirements::{Requirement, Requirements};

/// Base of the barrier's ledger request numbers. The highest byte identifies the subsystem of the front that
/// made a request.
pub const REQUEST_NUMBER_BASE: u64 = 1 << 56;

/// Microseconds from the front's start during which a shard may still be starting or electing its leader.
const SHARD_STARTUP_GRACE: Micros = 10_000_000;
/// Microseconds that an execution waits at most for the first answer of its shard; the wait is also limited to
/// half of the time left until the execution's deadline.
const MAX_FIRST_ANSWER_WAIT: Micros = 3_000_000;

/// An execution ordered by the dispatcher, as the barrier holds it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PendingExecution {
    /// The statement that the execution belongs to.
    pub ticket: Ticket,
    /// The number of the execution among those of its statement.
    pub execution: usize,
    /// The engine that the execution is for.
    pub place: EngineIndex,
    /// The deadline and priority of the execution.
    pub terms: Terms,
    /// The location and cell of the engine.
    pub site: Site,
}

/// The barrier's decision on a held execution or its statement.
#[derive(Clone, Debug, PartialEq)]
pub enum BarrierDecision {
    /// All required entries are held. The execution must be sent immediately; a later send needs a new
    /// decision.
    Release(PendingExecution),
    /// A required entry can't be acquired now. Ends the statement; the client can retry it safely.
    Reject(Ticket),
    /// The statement was started before, on some front. Ends the statement; its outcome is unknown.
    Abort(Ticket),
}

/// A statement that requires ledger entries.
struct Statement {
    requirements: Vec<Requirement>,
    /// The execution of the statement that is held, if any.
    held: Option<PendingExecution>,
    /// When a held execution stops waiting for the first answer of a shard.
    wait_deadline: Micros,
}

/// Tracks the statements that require ledger entries, and the keys that they hold or claim.
pub struct LedgerBarrier {
    /// When this front started, in Unix milliseconds.
    started_ms: u64,
    /// For each shard, whether it has answered since the front started.
    shards_answered: Vec<bool>,
    requirements: Requirements,
    statements: HashMap<Ticket, Statement>,
    keys: BTreeMap<Key, KeyState>,
    /// The keys of unanswered requests, by request number.
    pending_requests: BTreeMap<u64, Key>,
    /// The number of the latest request; the next one has the number that follows.
    last_request_number: u64,
    /// When `tick` has to look at the keys next; can be early, as only `tick` moves it to a later time.
    due: Micros,
    requests: Vec<ledger::LedgerRequest>,
    decisions: Vec<BarrierDecision>,
    /// The number of statements rejected or aborted, by reason.
    pub refused: BTreeMap<&'static str, u64>,
}

impl LedgerBarrier {
    /// Creates a barrier without statements for a ledger of `shards` shards. `started_ms` is when this front
    /// started, in Unix milliseconds; the same value identifies this incarnation in the ledger.
    pub fn new(settings: &Settings, started_ms: u64, shards: u16) -> LedgerBarrier {
        LedgerBarrier {
            started_ms,
            shards_answered: vec![false; usize::from(shards)],
            requirements: Requirements::new(settings),
            statements: HashMap::new(),
            keys: BTreeMap::new(),
            pending_requests: BTreeMap::new(),
            last_request_number: REQUEST_NUMBER_BASE,
            due: Micros::MAX,
            requests: Vec::new(),
            decisions: Vec::new(),
            refused: BTreeMap::new(),
        }
    }

    /// Applies an event of the dispatcher about a statement or an order key. `id` returns the statement id that
    /// the client uses on every front where it retries the statement, or None if there is no such id.
    pub fn observe(
        &mut self,
        now: Micros,
        event: LedgerEvent,
        id: impl Fn(Ticket) -> Option<String>,
    ) {
        match event {
            LedgerEvent::Arrived(statement) => {
                let id = id(statement.ticket);
                self.add_statement(&statement, id);
            }
            LedgerEvent::KeyRetained(key) => self.retain_key(&key),
            LedgerEvent::KeyReleased { key, may_still_run } => {
                self.release_key(now, &key, may_still_run)
            }
            LedgerEvent::Finished(statement) => self.end_statement(now, statement),
        }
    }

    /// Records an admitted statement if it requires entries.
    fn add_statement(&mut self, statement: &StatementArrived, id: Option<String>) {
        // Without a client's id the statement gets one unique to this front: its entry only records the start.
        let id = id.unwrap_or_else(|| format!("{}-{}", self.started_ms, statement.ticket));
        let requirements = self.requirements.for_statement(statement, &id);
        if requirements.is_empty() {
            return;
        }
        let state = Statement {
            requirements,
            held: None,
            wait_deadline: 0,
        };
        self.statements.insert(statement.ticket, state);
    }

    /// Whether executions of a statement must wait for a decision of the barrier.
    pub fn requires_entries(&self, ticket: Ticket) -> bool {
        self.statements.contains_key(&ticket)
    }

    /// Holds an execution until the barrier decides on it. Does nothing if its statement requires no entries.
    pub fn hold(&mut self, now: Micros, pending: PendingExecution) {
        let Some(statement) = self.statements.get_mut(&pending.ticket) else {
            return;
        };
        let half_of_remaining_time = (pending.terms.deadline - now) / 2;
        statement.held = Some(pending);
        statement.wait_deadline = now + MAX_FIRST_ANSWER_WAIT.min(half_of_remaining_time);
        self.claim(now, pending.ticket);
    }

    /// Changes the priority of a statement's held execution, if there is one.
    pub fn set_priority(&mut self, ticket: Ticket, priority: u8) {
        let statement = self.statements.get_mut(&ticket);
        if let Some(held) = statement.and_then(|statement| statement.held.as_mut()) {
            held.terms.priority = priority;
        }
    }

    /// Cancels an execution. Returns true if the execution was held, so it was never sent.
    pub fn cancel(&mut self, now: Micros, ticket: Ticket, execution: usize) -> bool {
        let Some(statement) = self.statements.get_mut(&ticket) else {
            return false;
        };
        let cancelled = statement.held.take_if(|held| held.execution == execution);
        if cancelled.is_none() {
            return false;
        }
        self.withdraw_claims(now, ticket);
        true
    }

    /// Releases the keys of a statement that has ended and has no execution in flight.
    fn end_statement(&mut self, now: Micros, over: StatementFinished) {
        let Some(statement) = self.statements.remove(&over.ticket) else {
            return;
        };
        for Requirement { key, .. } in statement.requirements {
            if let Some(state) = self.keys.get_mut(&key) {
                state.end_statement(now, over);
            }
            self.advance(now, &key);
        }
    }

    /// Holds the order key of a transaction's statement until `release_key`.
    fn retain_key(&mut self, name: &str) {
        if let Some(state) = self.keys.get_mut(&order_key(name)) {
            state.retain_for_transaction();
        }
    }

    /// Releases an order key that a transaction held. Where the transaction may still run, the key stays
    /// reserved for a while.
    fn release_key(&mut self, now: Micros, name: &str, may_still_run: bool) {
        let key = order_key(name);
        if let Some(state) = self.keys.get_mut(&key) {
            state.release_transaction(now, may_still_run);
        }
        self.advance(now, &key);
    }

    /// Processes the ledger's answer to a request, or its notification that a key is available, which carries
    /// the number of an answered request.
    pub fn handle_answer(&mut self, now: Micros, done: LedgerAnswer) {
        let Some(key) = self.pending_requests.remove(&done.number) else {
            return self.key_available(now, done.number);
        };
        let shard = self.shard_state(now, &key, &done.outcome);
        let Some(state) = self.keys.get_mut(&key) else {
            return;
        };
        let verdict = state.handle_answer(now, done.outcome, shard);
        self.apply_verdict(now, &key, verdict);
    }

    /// Records that the shard of `key` gave `outcome`, and returns whether the shard may still be starting.
    fn shard_state(&mut self, now: Micros, key: &Key, outcome: &ledger::Outcome) -> ShardState {
        let shard = ledger::shard_of(key, self.shards_answered.len() as u16);
        let heard = match self.shards_answered.get_mut(usize::from(shard)) {
            None => true,
            Some(heard) => {
                *heard |= *outcome != ledger::Outcome::Unreachable;
                *heard
            }
        };
        let starting = now < self.started_ms as Micros * 1_000 + SHARD_STARTUP_GRACE;
        if !heard && starting {
            ShardState::Starting
        } else {
            ShardState::Started
        }
    }

    /// Claims a key again that another front has freed for this front. `number` is the number of this front's
    /// latest request for the key.
    fn key_available(&mut self, now: Micros, number: u64) {
        let available = self
            .keys
            .iter_mut()
            .find_map(|(key, state)| state.key_available(now, number).then(|| key.clone()));
        if let Some(key) = available {
            self.advance(now, &key);
        }
    }

    /// Makes the ledger requests that are due, and refuses executions that must no longer be sent.
    pub fn tick(&mut self, now: Micros) {
        if now < self.due {
            return;
        }
        let due: Vec<Key> = self
            .keys
            .iter()
            .filter(|(_, state)| state.due() <= now)
            .map(|(key, _)| key.clone())
            .collect();
        for key in &due {
            self.advance(now, key);
        }
        let next = self.keys.values().map(KeyState::due).min();
        self.due = next.unwrap_or(Micros::MAX);
    }

    /// When `tick` is next due, or 0 if requests or decisions are waiting to be taken.
    pub fn due(&self) -> Micros {
        if !self.requests.is_empty() || !self.decisions.is_empty() {
            return 0;
        }
        self.due
    }

    /// Whether all requests have been answered.
    pub fn is_idle(&self) -> bool {
        self.pending_requests.is_empty()
    }

    /// The held executions, in no particular order.
    pub fn held(&self) -> impl Iterator<Item = &PendingExecution> + '_ {
        self.statements
            .values()
            .filter_map(|statement| statement.held.as_ref())
    }

    /// Removes and returns the requests to pass to the ledger.
    pub fn take_requests(&mut self) -> Vec<ledger::LedgerRequest> {
        std::mem::take(&mut self.requests)
    }

    /// Removes and returns the decisions. Each must be carried out immediately: it holds only for the time that
    /// was passed to the barrier last.
    pub fn take_decisions(&mut self) -> Vec<BarrierDecision> {
        std::mem::take(&mut self.decisions)
    }
}

fn order_key(name: &str) -> Key {
    Key {
        kind: Kind::Order,
        name: name.to_string(),
    }
}

#[cfg(test)]
mod tests;
