//! The state of one ledger key that this front holds or waits for. At most one request for a key is
//! pending at a time.
//!
//! `requests` decides what to request from the ledger, `answers` processes its answers, and
//! `dedup_window` determines how long engines drop repeats of a dedup key.

mod answers;
mod dedup_window;
mod requests;

use std::collections::{BTreeMap, BTreeSet};

use hallmux_dispatcher::{Micros, StatementFinished, Ticket};
use hallmux_ledger::Kind;

use super::refusal::Refusal;
use super::requirements::{EngineGroup, RequestId};

/// Microseconds until a key that another front holds is requested again; doubles with each attempt.
/// The ledger notifies this front when the key is free; retries cover lost notifications, and
/// fronts of an earlier build that send none.
const RETRY_BACKOFF: Micros = 40_000;
/// Upper limit of the backoff in microseconds, and so of the time that a free key stays unused.
const MAX_RETRY_BACKOFF: Micros = 320_000;
/// Microseconds until a request to a shard that may still be starting is repeated.
const STARTING_SHARD_RETRY_INTERVAL: Micros = 100_000;
/// Microseconds after which a request without a majority is answered as unreachable, at the latest.
const REQUEST_TIMEOUT: Micros = 600_000;
/// Microseconds until a failed request to free a key is repeated.
const FREE_RETRY_INTERVAL: Micros = 1_000_000;
/// Milliseconds for which a transaction's key is claimed; the claim is renewed after half of that
/// time.
const TRANSACTION_CLAIM_MS: u64 = 20_000;

/// The purpose of the pending request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Purpose {
    /// Holds the key for executions in this group.
    Claim { group: EngineGroup },
    /// Keeps other fronts from the key until the reservation expires, although this front has no
    /// execution in flight under it.
    Reserve,
    /// Frees the key.
    Free,
    /// Reads the entry, to find out whether it is the one that this front requested last.
    Read,
}

/// Whether a shard has answered this front since it started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ShardState {
    /// The shard has not answered, and the front has started so recently that the shard may still
    /// be starting.
    Starting,
    /// The shard has answered, or should have done so by now.
    Started,
}

/// The result of a claim or an answer for the executions that wait for a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Verdict {
    /// The waiting executions must be checked again: some may now be released, or the next request
    /// is due.
    Recheck,
    /// The executions of these statements can't acquire the key, for this reason.
    Refuse {
        tickets: Vec<Ticket>,
        reason: Refusal,
    },
}

impl Verdict {
    /// Refuses the executions of these statements, or requests a recheck if there are none.
    fn refuse_any(tickets: Vec<Ticket>, reason: Refusal) -> Verdict {
        if tickets.is_empty() {
            Verdict::Recheck
        } else {
            Verdict::Refuse { tickets, reason }
        }
    }
}

/// The claim of an execution on a key.
#[derive(Clone, Copy, Debug)]
pub(super) struct Claim {
    /// Unix milliseconds until which the key must be held.
    pub hold_until_ms: u64,
    /// Unix milliseconds from which the execution can't still be running.
    pub runs_until_ms: u64,
    /// The group of the execution's engine.
    pub group: EngineGroup,
    /// When the execution stops waiting for the first answer of the key's shard.
    pub wait_deadline: Micros,
}

/// The state of one key that this front holds or waits for.
pub(super) struct KeyState {
    kind: Kind,
    /// Microseconds past a statement's end for which other executions are kept from the key; for a
    /// dedup key, the time during which engines drop repeats.
    retention_after_end: Micros,
    /// The claims of the executions that wait for the key, by statement.
    waiting: BTreeMap<Ticket, Claim>,
    /// The statements with an execution that was released under the key.
    executing: BTreeSet<Ticket>,
    /// The number of transactions that hold the key.
    transactions: usize,
    /// Unix milliseconds until which this front holds the key; 0 if it does not.
    held_until_ms: u64,
    /// The engine group that the key is held for.
    group: EngineGroup,
    /// The version of the entry that the next request replaces; 0 if there is none.
    version: u64,
    /// Unix milliseconds until which this front may hold the key, counting requests that no answer
    /// confirmed.
    may_be_held_until_ms: u64,
    /// The id of the request that makes this front's entry, by which the entry is recognized.
    request_id: RequestId,
    /// Whether it is unknown if that request was carried out.
    unconfirmed: bool,
    /// The purpose of the pending request, if there is one.
    pending_request: Option<Purpose>,
    /// The number of the latest request to hold the key for executions.
    claim_number: u64,
    /// When the key may be requested again; 0 if there is nothing to wait for.
    retry_at: Micros,
    /// When a failed request to free the key may be repeated.
    free_retry_at: Micros,
    /// Consecutive requests that found the key held by another front.
    blocked_attempts: u32,
    /// Whether another front holds the key.
    blocked: bool,
    /// When the reservation of the key after executions that ended on this front expires.
    reserved_until: Micros,
    /// Whether some of those executions may still be running.
    may_still_run: bool,
    /// Unix milliseconds from which no execution released by this front can still be running.
    runs_until_ms: u64,
    /// For a dedup key: the statement whose execution was the first one released under this front's
    /// entry.
    first_executed: Option<Ticket>,
    /// For a dedup key: Unix milliseconds until which engines are sure to drop a repeat of the
    /// first execution released here. Until an execution is released, the time counts from the
    /// request that made the entry.
    dropped_until_ms: u64,
    /// The same limit for the executions under an entry that existed before this front's: all
    /// executions of this front repeat those. None if there was no such entry.
    inherited_dropped_until_ms: Option<u64>,
}

impl KeyState {
    /// Creates the state of a key that is neither held nor claimed.
    pub fn new(kind: Kind, retention_after_end: Micros) -> KeyState {
        KeyState {
            kind,
            retention_after_end,
            waiting: BTreeMap::new(),
            executing: BTreeSet::new(),
            transactions: 0,
            held_until_ms: 0,
            group: EngineGroup::All,
            version: 0,
            may_be_held_until_ms: 0,
            request_id: RequestId::default(),
            unconfirmed: false,
            pending_request: None,
            claim_number: 0,
            retry_at: 0,
            free_retry_at: 0,
            blocked_attempts: 0,
            blocked: false,
            reserved_until: 0,
            may_still_run: false,
            runs_until_ms: 0,
            first_executed: None,
            dropped_until_ms: 0,
            inherited_dropped_until_ms: None,
        }
    }

    /// Whether another front holds the key.
    pub fn is_blocked(&self) -> bool {
        self.blocked
    }

    /// Whether this front no longer needs the key, has no pending request for it, and can no longer
    /// hold it.
    pub fn is_discardable(&self, now: Micros) -> bool {
        self.is_unused()
            && self.pending_request.is_none()
            && self.may_be_held_until_ms <= to_unix_ms(now)
    }

    /// Whether no execution or transaction of this front waits for the key or uses it.
    fn is_unused(&self) -> bool {
        self.waiting.is_empty() && self.executing.is_empty() && self.transactions == 0
    }

    /// The statements with an execution waiting for the key.
    pub fn waiting(&self) -> Vec<Ticket> {
        self.waiting.keys().copied().collect()
    }

    /// Whether the key allows an execution that waits for it to be released now.
    pub fn permits(&self, now: Micros, ticket: Ticket, claim: Claim) -> bool {
        self.waiting.contains_key(&ticket)
            && self.is_for_statement(ticket)
            && self.is_for_group(claim.group)
            && self.held_until_ms >= claim.hold_until_ms
            && self.held_until_ms > to_unix_ms(now)
            && !self.is_dedup_expired(now, ticket)
    }

    /// Whether the key is available to a statement: the entry of a non-idempotent statement is
    /// exclusive to it.
    fn is_for_statement(&self, ticket: Ticket) -> bool {
        self.kind != Kind::Begun || self.executing.iter().all(|other| *other == ticket)
    }

    /// Whether the key is held for a group: a dedup key is held for one group only, and for none
    /// while it is requested for another.
    fn is_for_group(&self, group: EngineGroup) -> bool {
        if self.kind != Kind::Dedup {
            return true;
        }
        let changing =
            matches!(self.pending_request, Some(Purpose::Claim { group: next }) if next != group);
        self.group == group && !changing
    }

    /// Adds the claim of an execution, or refuses it immediately if it can't succeed.
    pub fn claim(&mut self, now: Micros, ticket: Ticket, claim: Claim) -> Verdict {
        let may_leave = |(other, claim): (&Ticket, &Claim)| {
            *other != ticket && self.permits(now, *other, *claim)
        };
        let used_by_others = self.executing.iter().any(|other| *other != ticket)
            || self.reserved_until > now
            || self.waiting.iter().any(may_leave);
        let refused = match self.kind {
            Kind::Begun if used_by_others => Some(Refusal::MayHaveRun),
            Kind::Dedup if used_by_others && self.group != claim.group => Some(Refusal::OtherGroup),
            _ => None,
        };
        if let Some(reason) = refused {
            let tickets = vec![ticket];
            return Verdict::Refuse { tickets, reason };
        }
        self.waiting.insert(ticket, claim);
        Verdict::Recheck
    }

    /// Withdraws the claim of a statement's execution, if there is one.
    pub fn withdraw_claim(&mut self, ticket: Ticket) {
        self.waiting.remove(&ticket);
    }

    /// Records that a waiting execution is released to its engine.
    pub fn start_execution(&mut self, now: Micros, ticket: Ticket) {
        if self.first_executed.is_none() {
            self.first_executed = Some(ticket);
            self.dropped_until_ms = self.dedup_expiry_ms_from(now);
        }
        if let Some(claim) = self.waiting.remove(&ticket) {
            self.runs_until_ms = self.runs_until_ms.max(claim.runs_until_ms);
            self.executing.insert(ticket);
        }
    }

    /// Records that a statement has ended. The key stays reserved if an execution under it may
    /// still run, or, for keys other than order keys, if one may have run.
    pub fn end_statement(&mut self, now: Micros, statement: StatementFinished) {
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

    /// Records that a transaction holds the key until `release_transaction`.
    pub fn retain_for_transaction(&mut self) {
        self.transactions += 1;
    }

    /// Records that a transaction has ended. If it `may_still_run`, the key stays reserved for
    /// `retention_after_end`.
    pub fn release_transaction(&mut self, now: Micros, may_still_run: bool) {
        self.transactions = self.transactions.saturating_sub(1);
        if may_still_run {
            self.reserve_after_end(now);
        }
    }

    fn reserve_after_end(&mut self, now: Micros) {
        self.reserved_until = self.reserved_until.max(now + self.retention_after_end);
    }

    /// Processes the ledger's notification that the key is free and this front is next in its
    /// queue. Returns whether the key must be requested now: false if `number` is not that of the
    /// latest claim, if another front no longer blocks the key, or if a request is pending.
    pub fn key_available(&mut self, now: Micros, number: u64) -> bool {
        let next = self.blocked && self.claim_number == number && self.pending_request.is_none();
        if next {
            self.retry_at = now;
            self.blocked_attempts = 0;
        }
        next
    }
}

/// Converts Unix microseconds to milliseconds; negative times become 0.
fn to_unix_ms(time: Micros) -> u64 {
    (time.max(0) / 1000) as u64
}
