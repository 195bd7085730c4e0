//! Holds executions back until the ledger entries that they require are held: executions of one order key run
//! one at a time over all fronts, a repeat goes only to the group that drops it, and a non-idempotent
//! statement is begun at most once. Statements that require nothing never come here. Free of sockets and
//! clocks: it says what to ask the ledger and which executions may leave.

mod claims;
mod guard;
mod key_state;
mod refusal;
mod requirements;

use std::collections::{BTreeMap, HashMap};

use hallmux_config::Settings;
use hallmux_dispatcher::{
    EngineIndex, LedgerEvent, Micros, Site, StatementArrived, StatementFinished, Terms, Ticket,
};
use hallmux_ledger::{self as ledger, Key, Kind, LedgerAnswer};

pub use guard::{Guard, LedgerClient, OrderedExecution};
use key_state::{KeyState, ShardState};
use requirements::{Requirement, Requirements};

/// The gate's requests to the ledger are numbered from here: the highest byte tells the parts of one front apart.
pub const REQUEST_NUMBER_BASE: u64 = 1 << 56;

/// Microseconds from a front's start within which a shard may not have started yet, or its leader not be
/// known.
const SHARDS_START: Micros = 10_000_000;
/// Microseconds that an execution waits at most for the first answer of its shard; and half of its time at
/// most.
const MAX_FIRST_WAIT: Micros = 3_000_000;

/// An execution that the dispatcher has ordered.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PendingExecution {
    /// Its statement.
    pub ticket: Ticket,
    /// Its number among the statement's executions.
    pub execution: usize,
    /// The engine that it goes to.
    pub place: EngineIndex,
    /// Its deadline and priority.
    pub terms: Terms,
    /// Where that engine is.
    pub site: Site,
}

/// What becomes of an execution that was held.
#[derive(Clone, Debug, PartialEq)]
pub enum Ruling {
    /// Its entries are held: it leaves at once, or not under this ruling.
    Release(PendingExecution),
    /// An entry can't be had now: final, and a retry by the client is harmless.
    Reject(Ticket),
    /// Its statement was begun before, on some front: final, and its outcome is not known.
    Abort(Ticket),
}

/// A statement that requires entries.
struct Statement {
    requirements: Vec<Requirement>,
    /// Its execution that is held.
    held: Option<PendingExecution>,
    /// Until when it waits for the first answer of a shard.
    wait_until: Micros,
}

/// The statements that require ledger entries, and the keys that they hold or claim.
pub struct Gate {
    /// When this front started, in Unix milliseconds.
    started_ms: u64,
    /// By shard, whether it has answered since.
    shards_heard: Vec<bool>,
    requirements: Requirements,
    statements: HashMap<Ticket, Statement>,
    keys: BTreeMap<Key, KeyState>,
    /// The keys of the requests that are out, by number.
    requested: BTreeMap<u64, Key>,
    last_number: u64,
    /// When the first of the keys is due; computed anew only then.
    due: Micros,
    asks: Vec<ledger::LedgerRequest>,
    rulings: Vec<Ruling>,
    /// Statements that were rejected or aborted, by reason.
    pub refused: BTreeMap<&'static str, u64>,
}

impl Gate {
    /// `started_ms` is when this front started, in Unix milliseconds, as the ledger knows it.
    pub fn new(settings: &Settings, started_ms: u64, shards: u16) -> Gate {
        Gate {
            started_ms,
            shards_heard: vec![false; usize::from(shards)],
            requirements: Requirements::new(settings),
            statements: HashMap::new(),
            keys: BTreeMap::new(),
            requested: BTreeMap::new(),
            last_number: REQUEST_NUMBER_BASE,
            due: Micros::MAX,
            asks: Vec::new(),
            rulings: Vec::new(),
            refused: BTreeMap::new(),
        }
    }

    /// Takes in what the dispatcher reports of statements that require entries. `id` gives the name that such
    /// a statement has on whichever front it is retried, if it has one.
    pub fn observe(
        &mut self,
        now: Micros,
        event: LedgerEvent,
        id: impl Fn(Ticket) -> Option<String>,
    ) {
        match event {
            LedgerEvent::Arrived(statement) => {
                let id = id(statement.ticket);
                self.arrived(&statement, id);
            }
            LedgerEvent::KeyRetained(key) => self.retain_key(&key),
            LedgerEvent::KeyReleased { key, may_still_run } => {
                self.release_key(now, &key, may_still_run)
            }
            LedgerEvent::Finished(statement) => self.end(now, statement),
        }
    }

    /// A statement was admitted.
    fn arrived(&mut self, statement: &StatementArrived, id: Option<String>) {
        // A statement without a name is told apart by this front alone: its entry is for the record.
        let id = id.unwrap_or_else(|| format!("{}-{}", self.started_ms, statement.ticket));
        let requirements = self.requirements.of(statement, &id);
        if requirements.is_empty() {
            return;
        }
        let state = Statement {
            requirements,
            held: None,
            wait_until: 0,
        };
        self.statements.insert(statement.ticket, state);
    }

    /// Whether executions of a statement may leave only by a ruling.
    pub fn holds_back(&self, ticket: Ticket) -> bool {
        self.statements.contains_key(&ticket)
    }

    /// The dispatcher has ordered an execution of such a statement: it is held until a ruling.
    pub fn hold(&mut self, now: Micros, pending: PendingExecution) {
        let Some(statement) = self.statements.get_mut(&pending.ticket) else {
            return;
        };
        let half_of_its_time = (pending.terms.deadline - now) / 2;
        statement.held = Some(pending);
        statement.wait_until = now + MAX_FIRST_WAIT.min(half_of_its_time);
        self.claim(now, pending.ticket);
    }

    /// The priority of an execution has changed while it is held.
    pub fn set_priority(&mut self, ticket: Ticket, priority: u8) {
        let statement = self.statements.get_mut(&ticket);
        if let Some(held) = statement.and_then(|statement| statement.held.as_mut()) {
            held.terms.priority = priority;
        }
    }

    /// Withdraws an execution. True if it was held: it has never left.
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

    /// A statement has ended, and no execution of it is out.
    fn end(&mut self, now: Micros, over: StatementFinished) {
        let Some(statement) = self.statements.remove(&over.ticket) else {
            return;
        };
        for Requirement { key, .. } in statement.requirements {
            if let Some(state) = self.keys.get_mut(&key) {
                state.end(now, over);
            }
            self.advance(now, &key);
        }
    }

    /// A transaction holds the order key of one of its statements until `release_key`.
    fn retain_key(&mut self, name: &str) {
        if let Some(state) = self.keys.get_mut(&order_key(name)) {
            state.retain();
        }
    }

    fn release_key(&mut self, now: Micros, name: &str, may_still_run: bool) {
        let key = order_key(name);
        if let Some(state) = self.keys.get_mut(&key) {
            state.release(now, may_still_run);
        }
        self.advance(now, &key);
    }

    /// The ledger has answered a request, or notifies that a key is available.
    pub fn answered(&mut self, now: Micros, done: LedgerAnswer) {
        let Some(key) = self.requested.remove(&done.number) else {
            return self.key_available(now, done.number);
        };
        let shard = self.shard_state(now, &key, &done.outcome);
        let Some(state) = self.keys.get_mut(&key) else {
            return;
        };
        let verdict = state.answered(now, done.outcome, shard);
        self.apply_verdict(now, &key, verdict);
    }

    /// Whether the key's shard, which gave this outcome, has answered since the front's start.
    fn shard_state(&mut self, now: Micros, key: &Key, outcome: &ledger::Outcome) -> ShardState {
        let shard = ledger::shard_of(key, self.shards_heard.len() as u16);
        let heard = match self.shards_heard.get_mut(usize::from(shard)) {
            None => true,
            Some(heard) => {
                *heard |= *outcome != ledger::Outcome::Unreachable;
                *heard
            }
        };
        let starting = now < self.started_ms as Micros * 1_000 + SHARDS_START;
        if !heard && starting {
            ShardState::Starting
        } else {
            ShardState::Started
        }
    }

    /// A key that another front held is free, and this front is next: known by the number of the latest
    /// request for it.
    fn key_available(&mut self, now: Micros, number: u64) {
        let available = self
            .keys
            .iter_mut()
            .find_map(|(key, state)| state.key_available(now, number).then(|| key.clone()));
        if let Some(key) = available {
            self.advance(now, &key);
        }
    }

    /// Makes the requests that are due.
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

    /// When `tick` is next due, or 0 where asks or rulings wait to be taken.
    pub fn due(&self) -> Micros {
        if !self.asks.is_empty() || !self.rulings.is_empty() {
            return 0;
        }
        self.due
    }

    /// Whether every request was answered.
    pub fn is_idle(&self) -> bool {
        self.requested.is_empty()
    }

    /// The executions that are held.
    pub fn held(&self) -> impl Iterator<Item = &PendingExecution> + '_ {
        self.statements
            .values()
            .filter_map(|statement| statement.held.as_ref())
    }

    /// Takes the requests that are to be passed to the ledger.
    pub fn asks(&mut self) -> Vec<ledger::LedgerRequest> {
        std::mem::take(&mut self.asks)
    }

    /// Takes the rulings. Each is to be obeyed at once, and not later than the time passed in last.
    pub fn rulings(&mut self) -> Vec<Ruling> {
        std::mem::take(&mut self.rulings)
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
