//! Holds executions back until the ledger entries that they require are held: executions of one order key run
//! one at a time over all fronts, a repeat goes only to the group that drops it, and a non-idempotent
//! statement is begun at most once. Statements that require nothing never come here. Free of sockets and
//! clocks: it says what to ask the ledger and which executions may leave.

mod guard;
mod key_state;
mod requirements;

use std::collections::{BTreeMap, HashMap};

use hallmux_config::Settings;
use hallmux_dispatcher::{
    Micros, Place, PromiseEvent, Site, StatementArrived, StatementOver, Terms, Ticket,
};
use hallmux_ledger::{self as ledger, Done, Key, Kind};

pub use guard::{Guard, LedgerClient, OrderedExecution};
use key_state::{Claim, KeyState, Verdict};
use requirements::{EntryMark, Requirement, Requirements};

/// Added to the numbers of this part's asks: the highest byte tells the parts of one front apart.
pub const NUMBERS: u64 = 1 << 56;

/// Microseconds from a front's start within which a shard may not have started yet, or its owner not be
/// known.
const SHARDS_START: Micros = 10_000_000;
/// Most microseconds that an execution waits for the first answer of its shard; and half of its time at most.
const MAX_FIRST_WAIT: Micros = 3_000_000;

/// An execution that the dispatcher has ordered.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PendingExecution {
    /// Its statement.
    pub ticket: Ticket,
    /// Its number among the statement's executions.
    pub execution: usize,
    /// The engine that it goes to.
    pub place: Place,
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

struct Statement {
    requirements: Vec<Requirement>,
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
    /// The keys of the asks that are out, by number.
    asked: BTreeMap<u64, Key>,
    last_number: u64,
    /// When the first of the holds is due; computed anew only then.
    due: Micros,
    asks: Vec<ledger::Ask>,
    rulings: Vec<Ruling>,
    /// Statements that were rejected or aborted, by reason.
    pub refused: BTreeMap<&'static str, u64>,
}

impl Gate {
    /// `started_ms` is when this front started, in Unix milliseconds, as the ledger knows it.
    pub fn new(contract: &Settings, started_ms: u64, shards: u16) -> Gate {
        Gate {
            started_ms,
            shards_heard: vec![false; usize::from(shards)],
            requirements: Requirements::new(contract),
            statements: HashMap::new(),
            keys: BTreeMap::new(),
            asked: BTreeMap::new(),
            last_number: NUMBERS,
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
        word: PromiseEvent,
        id: impl Fn(Ticket) -> Option<String>,
    ) {
        match word {
            PromiseEvent::Arrived(taken) => {
                let id = id(taken.ticket);
                self.taken(&taken, id);
            }
            PromiseEvent::KeyKept(key) => self.retain_key(&key),
            PromiseEvent::KeyFreed { key, rests } => self.release_key(now, &key, rests),
            PromiseEvent::Over(gone) => self.end(now, gone),
        }
    }

    /// A statement was admitted.
    fn taken(&mut self, taken: &StatementArrived, id: Option<String>) {
        // A statement without a name is told apart by this front alone: its entry is for the record.
        let own = || format!("{}-{}", self.started_ms, taken.ticket);
        let requirements = self.requirements.of(taken, &id.unwrap_or_else(own));
        if !requirements.is_empty() {
            self.statements.insert(
                taken.ticket,
                Statement {
                    requirements,
                    held: None,
                    wait_until: 0,
                },
            );
        }
    }

    /// Whether executions of a statement may leave only by a ruling.
    pub fn holds_back(&self, ticket: Ticket) -> bool {
        self.statements.contains_key(&ticket)
    }

    /// The dispatcher has ordered an execution of such a statement: it is held until a ruling.
    pub fn hold(&mut self, now: Micros, pending: PendingExecution) {
        let Some(s) = self.statements.get_mut(&pending.ticket) else {
            return;
        };
        s.held = Some(pending);
        s.wait_until = now + MAX_FIRST_WAIT.min((pending.terms.ends - now) / 2);
        self.claim(now, pending.ticket);
    }

    /// The priority of an execution has changed while it is held.
    pub fn set_priority(&mut self, ticket: Ticket, priority: u8) {
        if let Some(held) = self
            .statements
            .get_mut(&ticket)
            .and_then(|s| s.held.as_mut())
        {
            held.terms.priority = priority;
        }
    }

    /// Withdraws an execution. True if it was held: it has never left.
    pub fn cancel(&mut self, now: Micros, ticket: Ticket, execution: usize) -> bool {
        let Some(s) = self.statements.get_mut(&ticket) else {
            return false;
        };
        if s.held.take_if(|held| held.execution == execution).is_none() {
            return false;
        }
        for key in s
            .requirements
            .iter()
            .map(|requirement| requirement.key.clone())
            .collect::<Vec<_>>()
        {
            self.keys
                .get_mut(&key)
                .map(|hold| hold.waiting.remove(&ticket));
            self.advance(now, &key);
        }
        true
    }

    /// A statement has ended, and no execution of it is out.
    fn end(&mut self, now: Micros, gone: StatementOver) {
        let Some(s) = self.statements.remove(&gone.ticket) else {
            return;
        };
        for Requirement { key, .. } in s.requirements {
            self.keys
                .get_mut(&key)
                .into_iter()
                .for_each(|hold| hold.end(now, gone));
            self.advance(now, &key);
        }
    }

    /// A transaction holds the order key of one of its statements until `release_key`.
    fn retain_key(&mut self, name: &str) {
        let key = Key {
            kind: Kind::Order,
            name: name.to_string(),
        };
        self.keys
            .get_mut(&key)
            .into_iter()
            .for_each(KeyState::retain);
    }

    fn release_key(&mut self, now: Micros, name: &str, rests: bool) {
        let key = Key {
            kind: Kind::Order,
            name: name.to_string(),
        };
        self.keys
            .get_mut(&key)
            .into_iter()
            .for_each(|hold| hold.release(now, rests));
        self.advance(now, &key);
    }

    /// The ledger has answered an ask, or notifies that a key is available.
    pub fn answered(&mut self, now: Micros, done: Done) {
        let Some(key) = self.asked.remove(&done.number) else {
            return self.key_available(now, done.number);
        };
        let shard = usize::from(ledger::shard_of(&key, self.shards_heard.len() as u16));
        let heard = self.shards_heard.get_mut(shard).is_none_or(|heard| {
            *heard |= done.outcome != ledger::Outcome::Unreachable;
            *heard
        });
        let first = !heard && now < self.started_ms as Micros * 1_000 + SHARDS_START;
        let Some(hold) = self.keys.get_mut(&key) else {
            return;
        };
        let verdict = hold.answered(now, done.outcome, first);
        self.apply_verdict(now, &key, verdict);
    }

    /// A key that another front held is free, and this front is next: known by the number of the latest ask
    /// for it.
    fn key_available(&mut self, now: Micros, number: u64) {
        let next = self
            .keys
            .iter_mut()
            .find_map(|(key, hold)| hold.key_available(now, number).then(|| key.clone()));
        next.into_iter().for_each(|key| self.advance(now, &key));
    }

    /// Makes the asks that are due.
    pub fn tick(&mut self, now: Micros) {
        if now < self.due {
            return;
        }
        let due = |(_, hold): &(&Key, &KeyState)| hold.due() <= now;
        let due: Vec<Key> = self
            .keys
            .iter()
            .filter(due)
            .map(|(key, _)| key.clone())
            .collect();
        due.iter().for_each(|key| self.advance(now, key));
        self.due = self
            .keys
            .values()
            .map(KeyState::due)
            .min()
            .unwrap_or(Micros::MAX);
    }

    /// When `tick` is next due, or 0 where asks or rulings wait to be taken.
    pub fn due(&self) -> Micros {
        if !self.asks.is_empty() || !self.rulings.is_empty() {
            return 0;
        }
        self.due
    }

    /// Whether every ask was answered.
    pub fn is_idle(&self) -> bool {
        self.asked.is_empty()
    }

    /// The executions that are held, by ticket and number.
    pub fn held(&self) -> impl Iterator<Item = (Ticket, usize)> + '_ {
        self.statements
            .values()
            .filter_map(|s| s.held.map(|held| (held.ticket, held.execution)))
    }

    /// Takes the asks that are to be passed to the ledger.
    pub fn asks(&mut self) -> Vec<ledger::Ask> {
        std::mem::take(&mut self.asks)
    }

    /// Takes the rulings. Each is to be obeyed at once, and not later than the time passed in last.
    pub fn rulings(&mut self) -> Vec<Ruling> {
        std::mem::take(&mut self.rulings)
    }

    /// A held execution claims its entries in order: none behind one that another front holds, so that fronts
    /// that claim the same ones do not wait for each other.
    fn claim(&mut self, now: Micros, ticket: Ticket) {
        let Some(s) = self.statements.get(&ticket) else {
            return;
        };
        let (Some(held), wait_until) = (s.held, s.wait_until) else {
            return;
        };
        let mut behind = false;
        for requirement in s.requirements.clone() {
            let hold = self
                .keys
                .entry(requirement.key.clone())
                .or_insert_with(|| KeyState::new(requirement.key.kind, requirement.after_end));
            let claim = Claim {
                wait_until,
                ..claim_on(&requirement, &held)
            };
            let verdict = match behind {
                true => {
                    hold.waiting.remove(&ticket);
                    Verdict::Recheck
                }
                false => hold.claim(now, ticket, claim),
            };
            behind |= hold.blocked;
            if verdict != Verdict::Recheck {
                return self.apply_verdict(now, &requirement.key, verdict);
            }
        }
        for requirement in self
            .statements
            .get(&ticket)
            .map(|s| s.requirements.clone())
            .unwrap_or_default()
        {
            self.advance(now, &requirement.key);
        }
    }

    /// Rules on the executions of a verdict, and claims anew for the others.
    fn apply_verdict(&mut self, now: Micros, key: &Key, verdict: Verdict) {
        let (tickets, why) = match verdict {
            Verdict::Recheck => (Vec::new(), ""),
            Verdict::Reject(tickets, why) => (tickets, why),
            Verdict::Begun(tickets) => (tickets, "begun"),
        };
        for ticket in tickets {
            *self.refused.entry(why).or_default() += 1;
            let Some(s) = self.statements.get_mut(&ticket) else {
                continue;
            };
            s.held = None;
            for other in s
                .requirements
                .iter()
                .map(|requirement| requirement.key.clone())
                .collect::<Vec<_>>()
            {
                self.keys
                    .get_mut(&other)
                    .map(|hold| hold.waiting.remove(&ticket));
                self.advance(now, &other);
            }
            self.rulings.push(if why == "begun" {
                Ruling::Abort(ticket)
            } else {
                Ruling::Reject(ticket)
            });
        }
        // Executions that go on waiting may claim their other entries now.
        let waiting = self
            .keys
            .get(key)
            .map(|hold| hold.waiting.keys().copied().collect::<Vec<_>>());
        waiting
            .unwrap_or_default()
            .into_iter()
            .for_each(|ticket| self.claim(now, ticket));
        self.advance(now, key);
    }

    /// Releases executions that may leave, and makes the ask that is due of a key.
    fn advance(&mut self, now: Micros, key: &Key) {
        let forgotten = self
            .keys
            .get_mut(key)
            .map(|hold| hold.take_forgotten(now))
            .unwrap_or_default();
        if !forgotten.is_empty() {
            return self.apply_verdict(now, key, Verdict::Begun(forgotten));
        }
        let waiting = self
            .keys
            .get(key)
            .map(|hold| hold.waiting.keys().copied().collect::<Vec<_>>());
        for ticket in waiting.unwrap_or_default() {
            self.release(now, ticket);
        }
        let Some(hold) = self.keys.get_mut(key) else {
            return;
        };
        if let Some(act) = hold.next_ask(
            now,
            EntryMark {
                started_ms: self.started_ms,
                number: self.last_number + 1,
            },
        ) {
            self.last_number += 1;
            self.asked.insert(self.last_number, key.clone());
            self.asks.push(ledger::Ask {
                number: self.last_number,
                key: key.clone(),
                act,
            });
        }
        self.due = self.due.min(hold.due());
        if hold.is_over(now) {
            self.keys.remove(key);
        }
    }

    /// Releases a held execution once all its entries are held.
    fn release(&mut self, now: Micros, ticket: Ticket) {
        let Some(s) = self.statements.get_mut(&ticket) else {
            return;
        };
        let Some(held) = s.held.filter(|held| now < held.terms.ends) else {
            return;
        };
        let is_held = |requirement: &Requirement| {
            self.keys
                .get(&requirement.key)
                .is_some_and(|hold| hold.permits(now, ticket, claim_on(requirement, &held)))
        };
        if s.requirements.iter().all(is_held) {
            s.requirements.iter().for_each(|requirement| {
                self.keys
                    .get_mut(&requirement.key)
                    .into_iter()
                    .for_each(|hold| hold.start(now, ticket));
            });
            s.held = None;
            self.rulings.push(Ruling::Release(held));
        }
    }
}

fn claim_on(requirement: &Requirement, held: &PendingExecution) -> Claim {
    let ends = held.terms.ends;
    let (until_ms, runs_until_ms) = (requirement.until(ends), requirement.runs_until(ends));
    Claim {
        until_ms,
        runs_until_ms,
        group: requirement.group(held.site),
        wait_until: 0,
    }
}

#[cfg(test)]
mod tests;
