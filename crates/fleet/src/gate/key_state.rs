//! One key of the ledger as this front holds it or waits for it, and what it asks of the ledger next. One ask
//! of a key is out at a time.

mod answers;

use std::collections::{BTreeMap, BTreeSet};

use hallmux_dispatcher::{Micros, StatementOver, Ticket};
use hallmux_ledger::{Act, Kind};

use super::requirements::{EntryMark, EntryValue, Group, MAX_CLOCK_SKEW};

/// Microseconds until a key that another front holds is asked for again; doubles each time. The ledger
/// notifies when it is free: this is for notices that are lost, and for fronts of an earlier build that send
/// none.
const RETRY: Micros = 40_000;
const MAX_RETRY: Micros = 320_000; // microseconds; a key that is free stays unused so long at most
const FIRST_RETRY: Micros = 100_000; // microseconds until a shard that was never heard is asked again
/// Microseconds that an ask may take until it is known to have found no majority.
const ASK_TIMEOUT: Micros = 600_000;
const FREE_RETRY: Micros = 1_000_000; // microseconds until what could not be freed is tried again
/// Milliseconds for which a transaction's key is claimed; renewed at half of it.
const TRANSACTION_MS: u64 = 20_000;

/// What the ask that is out is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Purpose {
    /// To hold it until then, in Unix milliseconds, for executions in that group.
    Claim(u64, Group),
    /// To keep others from it for a while, though none of its executions is out here.
    Reserve,
    /// To free it.
    Free,
    /// To learn whether an entry that may be there is this front's current one.
    Read,
}

/// What an answer means for the executions that wait.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Verdict {
    /// To be looked at again: some may leave, or the next ask is due.
    Recheck,
    /// These can't have the key now, for this reason.
    Reject(Vec<Ticket>, &'static str),
    /// These have been begun before, here or elsewhere.
    Begun(Vec<Ticket>),
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
    pub waiting: BTreeMap<Ticket, Claim>,
    /// Statements with an execution that has left under it.
    executing: BTreeSet<Ticket>,
    /// Transactions that hold it.
    transactions: usize,
    /// Unix milliseconds until which it is held; 0 where it is not.
    holds_until_ms: u64,
    group: Group,
    /// The version of the entry to be replaced; 0: none.
    version: u64,
    /// Unix milliseconds until which it may be held though no answer said so.
    may_hold_until_ms: u64,
    /// Names the entry that was asked for.
    mark: EntryMark,
    /// No answer said whether that entry was made.
    unconfirmed: bool,
    asked: Option<Purpose>,
    /// The number of the latest ask to hold it.
    number: u64,
    retry_at: Micros,
    retry_free_at: Micros,
    tries: u32,
    /// Another front holds it.
    pub blocked: bool,
    /// Until when others are kept from it after executions that have ended here.
    reserved_until: Micros,
    /// Some of those executions may be running on.
    may_run_on: bool,
    /// Unix milliseconds from which no execution that has left can be running any more.
    runs_until_ms: u64,
    /// Of a dedup key: the statement whose execution left first under this front's own entry.
    first: Option<Ticket>,
    /// Of a dedup key: Unix milliseconds until which engines surely drop a repeat of what left first here;
    /// until anything has left, counted from the ask that made the entry.
    dropped_until_ms: u64,
    /// The same of what may have run under an entry that was there before: all executions here repeat that.
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
            holds_until_ms: 0,
            group: Group::All,
            version: 0,
            may_hold_until_ms: 0,
            mark: EntryMark::default(),
            unconfirmed: false,
            asked: None,
            number: 0,
            retry_at: 0,
            retry_free_at: 0,
            tries: 0,
            blocked: false,
            reserved_until: 0,
            may_run_on: false,
            runs_until_ms: 0,
            first: None,
            dropped_until_ms: 0,
            inherited_until_ms: None,
        }
    }

    /// Nothing needs it here, and nothing is left to ask of it.
    pub fn is_over(&self, now: Micros) -> bool {
        self.is_unused() && self.asked.is_none() && self.may_hold_until_ms <= ms(now)
    }

    fn is_unused(&self) -> bool {
        self.waiting.is_empty() && self.executing.is_empty() && self.transactions == 0
    }

    /// Whether an execution may leave under it.
    pub fn permits(&self, now: Micros, ticket: Ticket, claim: Claim) -> bool {
        // The entry of a non-idempotent statement is for that statement alone.
        let own = self.kind != Kind::Begun || self.executing.iter().all(|other| *other == ticket);
        let moves = matches!(self.asked, Some(Purpose::Claim(_, group)) if group != claim.group);
        let group = self.kind != Kind::Dedup || self.group == claim.group && !moves;
        self.waiting.contains_key(&ticket)
            && own
            && group
            && self.holds_until_ms >= claim.until_ms
            && self.holds_until_ms > ms(now)
            && !self.is_forgotten(now, ticket)
    }

    /// Unix milliseconds until which the engines drop an execution of this statement as a repeat of another's;
    /// None where it repeats none (a statement's own further executions are the dispatcher's to judge).
    fn repeats_until_ms(&self, ticket: Ticket) -> Option<u64> {
        if self.kind != Kind::Dedup {
            return None;
        }
        let other = self.first.is_some_and(|first| first != ticket);
        self.inherited_until_ms
            .or(other.then_some(self.dropped_until_ms))
    }

    /// Whether the engines may have forgotten what this statement repeats: they would run it a second time.
    fn is_forgotten(&self, now: Micros, ticket: Ticket) -> bool {
        self.repeats_until_ms(ticket)
            .is_some_and(|until_ms| until_ms <= ms(now))
    }

    /// Takes out the statements that wait and must not leave any more, as engines may have forgotten what they
    /// repeat.
    pub fn take_forgotten(&mut self, now: Micros) -> Vec<Ticket> {
        let forgotten: Vec<Ticket> = self
            .waiting
            .keys()
            .copied()
            .filter(|ticket| self.is_forgotten(now, *ticket))
            .collect();
        forgotten
            .iter()
            .for_each(|ticket| _ = self.waiting.remove(ticket));
        forgotten
    }

    /// Unix milliseconds until which engines surely drop a repeat of what leaves at `now` or later, on the clock
    /// of any front.
    fn drops_from(&self, now: Micros) -> u64 {
        ms(now + self.after_end - MAX_CLOCK_SKEW)
    }

    /// Adds an execution's claim; a claim that can't succeed is rejected at once.
    pub fn claim(&mut self, now: Micros, ticket: Ticket, claim: Claim) -> Verdict {
        let leaves = |(other, claim): (&Ticket, &Claim)| {
            *other != ticket && self.permits(now, *other, *claim)
        };
        let others = self.executing.iter().any(|other| *other != ticket)
            || self.reserved_until > now
            || self.waiting.iter().any(leaves);
        match self.kind {
            Kind::Begun if others => return Verdict::Begun(vec![ticket]),
            Kind::Dedup if others && self.group != claim.group => {
                return Verdict::Reject(vec![ticket], "group")
            }
            _ => {}
        }
        self.waiting.insert(ticket, claim);
        Verdict::Recheck
    }

    /// A waiting execution leaves for its engine.
    pub fn start(&mut self, now: Micros, ticket: Ticket) {
        if self.first.is_none() {
            (self.first, self.dropped_until_ms) = (Some(ticket), self.drops_from(now));
        }
        if let Some(claim) = self.waiting.remove(&ticket) {
            self.runs_until_ms = self.runs_until_ms.max(claim.runs_until_ms);
            self.executing.insert(ticket);
        }
    }

    /// A statement is over.
    pub fn end(&mut self, now: Micros, gone: StatementOver) {
        self.waiting.remove(&gone.ticket);
        let rests = if self.kind == Kind::Order {
            gone.rests
        } else {
            gone.ran
        };
        if self.executing.remove(&gone.ticket) && rests {
            self.reserved_until = self.reserved_until.max(now + self.after_end);
            self.may_run_on |= gone.rests;
        }
    }

    /// A transaction holds it until `release`.
    pub fn retain(&mut self) {
        self.transactions += 1;
    }

    /// A transaction ends; where it `rests`, an execution of it may be running on.
    pub fn release(&mut self, now: Micros, rests: bool) {
        self.transactions = self.transactions.saturating_sub(1);
        if rests {
            self.reserved_until = self.reserved_until.max(now + self.after_end);
        }
    }

    /// When it has something to ask, if nothing happens.
    pub fn due(&self) -> Micros {
        if self.asked.is_some() {
            return Micros::MAX;
        }
        if !self.waiting.is_empty() {
            // Those that have it wait for another key: for them it is due when it expires.
            let lacks = self
                .waiting
                .iter()
                .any(|(ticket, claim)| !self.permits(0, *ticket, *claim));
            let forgotten_ms = self
                .waiting
                .keys()
                .filter_map(|ticket| self.repeats_until_ms(*ticket))
                .min();
            let due = if lacks {
                self.retry_at
            } else {
                self.holds_until_ms as Micros * 1000
            };
            return forgotten_ms.map_or(due, |until_ms| due.min(until_ms as Micros * 1000));
        }
        match (self.transactions, self.is_unused()) {
            (0, false) => Micros::MAX,
            (0, true) => self.retry_free_at,
            _ => ((self.holds_until_ms as Micros - TRANSACTION_MS as Micros / 2) * 1000)
                .max(self.retry_at),
        }
    }

    /// The ledger notified that the key is free and this front is next: true where that was its latest ask,
    /// and the key is claimed still.
    pub fn key_available(&mut self, now: Micros, number: u64) -> bool {
        let next = self.blocked && self.number == number && self.asked.is_none();
        if next {
            (self.retry_at, self.tries) = (now, 0);
        }
        next
    }

    /// What is to be asked of the ledger now, if anything; `mark` names the ask.
    pub fn next_ask(&mut self, now: Micros, mark: EntryMark) -> Option<Act> {
        if self.asked.is_some() {
            return None;
        }
        let claim = self
            .waiting
            .iter()
            .find(|(ticket, claim)| !self.permits(now, **ticket, **claim));
        if let Some((_, claim)) = claim.filter(|_| self.retry_at <= now) {
            let until_ms = claim
                .until_ms
                .max(self.holds_until_ms)
                .max(ms(self.reserved_until));
            if !self.unconfirmed && self.version == 0 {
                self.mark = mark;
                if self.first.is_none() {
                    self.dropped_until_ms = self.drops_from(now);
                }
            }
            (self.asked, self.number) = (Some(Purpose::Claim(until_ms, claim.group)), mark.number);
            self.may_hold_until_ms = self.may_hold_until_ms.max(until_ms);
            return Some(self.act(
                until_ms,
                claim.group,
                claim.runs_until_ms.max(self.runs_until_ms),
            ));
        }
        if !self.waiting.is_empty() || !self.executing.is_empty() {
            return None;
        }
        if self.transactions > 0 {
            let renews = self.holds_until_ms < ms(now) + TRANSACTION_MS / 2 && self.retry_at <= now;
            let until_ms = ms(now) + TRANSACTION_MS;
            return renews.then(|| {
                self.asked = Some(Purpose::Claim(until_ms, self.group));
                self.may_hold_until_ms = self.may_hold_until_ms.max(until_ms);
                Act::Claim {
                    ends_ms: until_ms,
                    value: Vec::new(),
                }
            });
        }
        if self.may_hold_until_ms <= ms(now) || self.retry_free_at > now {
            return None;
        }
        if self.kind == Kind::Begun && self.reserved_until > now {
            // It is held for so long as it is: nothing is to be asked.
            self.may_hold_until_ms = 0;
            return None;
        }
        if self.unconfirmed {
            // Freeing it blindly could free what an earlier statement left there for others.
            self.asked = Some(Purpose::Read);
            return Some(Act::Read);
        }
        self.holds_until_ms = 0; // nothing may leave under it any more, even before the ledger answers
        if self.reserved_until > now {
            let until_ms = ms(self.reserved_until);
            self.asked = Some(Purpose::Reserve);
            let runs_until_ms = if self.may_run_on {
                self.runs_until_ms
            } else {
                ms(now)
            };
            return Some(self.act(until_ms, self.group, runs_until_ms));
        }
        self.asked = Some(Purpose::Free);
        Some(Act::Free)
    }

    fn act(&self, ends_ms: u64, group: Group, runs_until_ms: u64) -> Act {
        match self.kind {
            Kind::Order => Act::Claim {
                ends_ms,
                value: Vec::new(),
            },
            // An entry already there is not replaced, though it be this front's: a repeat is one whoever
            // sends it.
            _ => {
                let dropped_until_ms = self.inherited_until_ms.unwrap_or(self.dropped_until_ms);
                let value = EntryValue {
                    mark: self.mark,
                    group,
                    runs_until_ms,
                    dropped_until_ms,
                }
                .bytes();
                Act::Put {
                    expects: Some(self.version),
                    ends_ms,
                    value,
                }
            }
        }
    }
}

fn ms(time: Micros) -> u64 {
    (time.max(0) / 1000) as u64
}
