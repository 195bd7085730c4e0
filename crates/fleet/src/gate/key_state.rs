//! One key of the ledger as this front holds it or waits for it. One request for a key is out at a time.
//!
//! What is asked of the ledger is in `requests`, what its answers mean in `answers`, and how long engines drop
//! repeats of a dedup key in `dedup_window`.

mod answers;
mod dedup_window;
mod requests;

use std::collections::{BTreeMap, BTreeSet};

use hallmux_dispatcher::{Micros, StatementFinished, Ticket};
use hallmux_ledger::Kind;

use super::refusal::Refusal;
use super::requirements::{EntryMark, Group};

/// Microseconds until a key that another front holds is requested again; doubles each time. The ledger
/// notifies when it is free: this is for notices that are lost, and for fronts of an earlier build that send
/// none.
const RETRY_BACKOFF: Micros = 40_000;
/// Microseconds; a key that is free stays unused for at most this long.
const MAX_RETRY_BACKOFF: Micros = 320_000;
/// Microseconds until a shard that has not answered yet is asked again.
const STARTING_SHARD_RETRY: Micros = 100_000;
/// Microseconds that a request may take until it is known to have found no majority.
const REQUEST_TIMEOUT: Micros = 600_000;
/// Microseconds until a key that could not be freed is tried again.
const FREE_RETRY: Micros = 1_000_000;
/// Milliseconds for which a transaction's key is claimed; renewed at half of it.
const TRANSACTION_CLAIM_MS: u64 = 20_000;

/// What the request that is out is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Purpose {
    /// To hold the key for executions in this group.
    Claim { group: Group },
    /// To keep others from it for a while, though none of its executions is out here.
    Reserve,
    /// To free it.
    Free,
    /// To learn whether an entry that may exist is this front's current one.
    Read,
}

/// Whether a shard has answered this front since it started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ShardState {
    /// Not yet, and the front has only just started: the shard may still be starting too.
    Starting,
    /// It has, or should have by now.
    Started,
}

/// What an answer means for the executions that wait.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Verdict {
    /// To be looked at again: some may leave, or the next request is due.
    Recheck,
    /// These can't have the key now, for this reason.
    Refuse {
        tickets: Vec<Ticket>,
        reason: Refusal,
    },
}

impl Verdict {
    /// Refuses these executions; where there are none, the others are looked at again.
    fn refuse_any(tickets: Vec<Ticket>, reason: Refusal) -> Verdict {
        if tickets.is_empty() {
            Verdict::Recheck
        } else {
            Verdict::Refuse { tickets, reason }
        }
    }
}

/// An execution's claim on the key.
#[derive(Clone, Copy, Debug)]
pub(super) struct Claim {
    /// Unix milliseconds until which the key must be held.
    pub until_ms: u64,
    /// Unix milliseconds from which the execution can't be running any more.
    pub runs_until_ms: u64,
    /// The group of its engine.
    pub group: Group,
    /// Until when it may wait for the first answer of its shard.
    pub wait_until: Micros,
}

/// One key as this front holds it or waits for it.
pub(super) struct KeyState {
    kind: Kind,
    /// Microseconds past a statement's end for which others are kept from the key.
    after_end: Micros,
    /// Executions that wait for it.
    waiting: BTreeMap<Ticket, Claim>,
    /// Statements with an execution that has left under it.
    executing: BTreeSet<Ticket>,
    /// Transactions that hold it.
    transactions: usize,
    /// Unix milliseconds until which it is held; 0 where it is not.
    held_until_ms: u64,
    /// The group that it is held for.
    group: Group,
    /// The version of the entry to be replaced; 0: none.
    version: u64,
    /// Unix milliseconds until which it may be held though no answer confirmed it.
    may_be_held_until_ms: u64,
    /// Names the entry that was requested.
    mark: EntryMark,
    /// No answer has told whether that entry was made.
    unconfirmed: bool,
    /// What the request that is out is for, if one is.
    requested: Option<Purpose>,
    /// The number of the latest request to hold it.
    claim_number: u64,
    retry_at: Micros,
    retry_free_at: Micros,
    /// Attempts in a row that found it held by another front.
    attempts: u32,
    /// Another front holds it.
    blocked: bool,
    /// Until when others are kept from it after executions that have ended here.
    reserved_until: Micros,
    /// Some of those executions may still be running.
    may_still_run: bool,
    /// Unix milliseconds from which no execution that has left can be running any more.
    runs_until_ms: u64,
    /// Of a dedup key: the statement whose execution left first under this front's own entry.
    first: Option<Ticket>,
    /// Of a dedup key: Unix milliseconds until which engines surely drop a repeat of what left first here;
    /// until anything has left, counted from the request that made the entry.
    dropped_until_ms: u64,
    /// The same of what may have run under an entry that existed before: all executions here repeat that.
    inherited_until_ms: Option<u64>,
}

impl KeyState {
    /// A key that is not held yet.
    pub fn new(kind: Kind, after_end: Micros) -> KeyState {
        KeyState {
            kind,
            after_end,
            waiting: BTreeMap::new(),
            executing: BTreeSet::new(),
            transactions: 0,
            held_until_ms: 0,
            group: Group::All,
            version: 0,
            may_be_held_until_ms: 0,
            mark: EntryMark::default(),
            unconfirmed: false,
            requested: None,
            claim_number: 0,
            retry_at: 0,
            retry_free_at: 0,
            attempts: 0,
            blocked: false,
            reserved_until: 0,
            may_still_run: false,
            runs_until_ms: 0,
            first: None,
            dropped_until_ms: 0,
            inherited_until_ms: None,
        }
    }

    /// Whether another front holds it.
    pub fn is_blocked(&self) -> bool {
        self.blocked
    }

    /// Nothing needs it here, and nothing is left to request of it.
    pub fn is_over(&self, now: Micros) -> bool {
        self.is_unused() && self.requested.is_none() && self.may_be_held_until_ms <= ms(now)
    }

    fn is_unused(&self) -> bool {
        self.waiting.is_empty() && self.executing.is_empty() && self.transactions == 0
    }

    /// The statements with an execution that waits for it.
    pub fn waiting(&self) -> Vec<Ticket> {
        self.waiting.keys().copied().collect()
    }

    /// Whether an execution may leave under it.
    pub fn permits(&self, now: Micros, ticket: Ticket, claim: Claim) -> bool {
        self.waiting.contains_key(&ticket)
            && self.is_for_statement(ticket)
            && self.is_for_group(claim.group)
            && self.held_until_ms >= claim.until_ms
            && self.held_until_ms > ms(now)
            && !self.is_forgotten(now, ticket)
    }

    /// The entry of a non-idempotent statement is for that statement alone.
    fn is_for_statement(&self, ticket: Ticket) -> bool {
        self.kind != Kind::Begun || self.executing.iter().all(|other| *other == ticket)
    }

    /// The entry of a dedup key is for one group alone, and not while it is requested for another.
    fn is_for_group(&self, group: Group) -> bool {
        if self.kind != Kind::Dedup {
            return true;
        }
        let changing =
            matches!(self.requested, Some(Purpose::Claim { group: next }) if next != group);
        self.group == group && !changing
    }

    /// Adds an execution's claim; a claim that can't succeed is refused at once.
    pub fn claim(&mut self, now: Micros, ticket: Ticket, claim: Claim) -> Verdict {
        let may_leave = |(other, claim): (&Ticket, &Claim)| {
            *other != ticket && self.permits(now, *other, *claim)
        };
        let used_by_others = self.executing.iter().any(|other| *other != ticket)
            || self.reserved_until > now
            || self.waiting.iter().any(may_leave);
        let refused = match self.kind {
            Kind::Begun if used_by_others => Some(Refusal::MayHaveRun),
            Kind::Dedup if used_by_others && self.group != claim.group => Some(Refusal::Group),
            _ => None,
        };
        if let Some(reason) = refused {
            let tickets = vec![ticket];
            return Verdict::Refuse { tickets, reason };
        }
        self.waiting.insert(ticket, claim);
        Verdict::Recheck
    }

    /// Withdraws the claim of a statement's execution, if it has one.
    pub fn withdraw(&mut self, ticket: Ticket) {
        self.waiting.remove(&ticket);
    }

    /// A waiting execution leaves for its engine.
    pub fn start(&mut self, now: Micros, ticket: Ticket) {
        if self.first.is_none() {
            self.first = Some(ticket);
            self.dropped_until_ms = self.repeats_dropped_until_ms(now);
        }
        if let Some(claim) = self.waiting.remove(&ticket) {
            self.runs_until_ms = self.runs_until_ms.max(claim.runs_until_ms);
            self.executing.insert(ticket);
        }
    }

    /// A statement is over.
    pub fn end(&mut self, now: Micros, statement: StatementFinished) {
        self.waiting.remove(&statement.ticket);
        let reserves = if self.kind == Kind::Order {
            statement.may_still_run
        } else {
            statement.may_have_run
        };
        if self.executing.remove(&statement.ticket) && reserves {
            self.reserve_after_end(now);
            self.may_still_run |= statement.may_still_run;
        }
    }

    /// A transaction holds it until `release`.
    pub fn retain(&mut self) {
        self.transactions += 1;
    }

    /// A transaction ends; where it `may_still_run`, its key is reserved for a while.
    pub fn release(&mut self, now: Micros, may_still_run: bool) {
        self.transactions = self.transactions.saturating_sub(1);
        if may_still_run {
            self.reserve_after_end(now);
        }
    }

    fn reserve_after_end(&mut self, now: Micros) {
        self.reserved_until = self.reserved_until.max(now + self.after_end);
    }

    /// The ledger notified that the key is free and this front is next: true where that was its latest
    /// request, and the key is still claimed.
    pub fn key_available(&mut self, now: Micros, number: u64) -> bool {
        let next = self.blocked && self.claim_number == number && self.requested.is_none();
        if next {
            self.retry_at = now;
            self.attempts = 0;
        }
        next
    }
}

fn ms(time: Micros) -> u64 {
    (time.max(0) / 1000) as u64
}
