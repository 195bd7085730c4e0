//! One front's share of one limit: the tokens that it may still spend, and how it obtains as many
//! as it needs.
//!
//! A share is spent under a lease, which each read of the table renews, counted from the time of
//! the request. A spent token cools down for the limit's window; only a token that has cooled down
//! is spent again or transferred. However shares move, each of the limit's tokens is therefore
//! spent at most once in any window.

mod answers;
mod plan;

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use hallmux_lease::LeaseTerms;
use hallmux_ledger::{Operation, Owner};

use super::demand::Demand;
use super::table::{Limit, Table};
use crate::Micros;

/// Microseconds for which an execution sent under the lease may still be on its way to an engine.
const IN_FLIGHT_TIME: Micros = 200_000;
/// Microseconds until a request that failed at the ledger is repeated.
const RETRY_INTERVAL: Micros = 250_000;
/// Microseconds until a table that this build cannot read is read again.
const UNREADABLE_INTERVAL: Micros = 20 * RETRY_INTERVAL;
/// Microseconds between plans while the front is short of tokens.
const REPLAN_INTERVAL: Micros = 50_000;
/// The number of statements that may wait for a token.
const MAX_WAITING: usize = 1_024;

/// The settings common to all shares of a front.
#[derive(Clone, Copy, Debug)]
pub struct ShareContext {
    /// This front.
    pub owner: Owner,
    /// The length of a lease on a share, and the drift of clocks.
    pub terms: LeaseTerms,
    /// The number of fronts that share the limits.
    pub front_count: usize,
}

/// A table with its version in the ledger; 0 if it is not stored yet.
#[derive(Clone)]
struct VersionedTable {
    table: Table,
    version: u64,
}

/// A statement that waits for a token.
#[derive(Clone, Copy)]
struct WaitingStatement {
    statement: u64,
    /// When the statement is rejected.
    deadline: Micros,
}

/// The last request round that a front has seen, while it has not seen the latest one.
#[derive(Clone, Copy)]
struct UnansweredRound {
    seen_round: u64,
    since: Micros,
}

/// A put whose outcome is not known. It may still be applied until the table has another version.
struct Pending {
    expects: u64,
    next: Table,
}

/// One front's share of one limit.
pub struct Share {
    pub limit: Limit,
    context: ShareContext,
    /// The table as last read.
    table: Option<VersionedTable>,
    lease_until: Micros,
    /// The times at which spent tokens may be spent again, the earliest first.
    cooling: VecDeque<Micros>,
    /// Statements that have reserved a token and have not begun.
    reserved: BTreeSet<u64>,
    waiting: VecDeque<WaitingStatement>,
    /// Tokens to be transferred to other fronts once they have cooled down.
    owed: u32,
    pending: Option<Pending>,
    request_pending: bool,
    next_read: Micros,
    retry_at: Micros,
    demand: Demand,
    /// When each set of revoked tokens was first seen, by its id.
    revoked_since: BTreeMap<u64, Micros>,
    /// Fronts that have not seen the latest request round.
    unanswered: BTreeMap<Owner, UnansweredRound>,
    /// The front starts no request round before this time.
    next_round: Micros,
    /// How long the front waits after a request round of its own.
    round_backoff: Micros,
    /// Since when the front has held more tokens than it needs.
    surplus_since: Option<Micros>,
    /// Whether the table was read and no plan was made for it yet; otherwise the next plan waits
    /// until `replan_at`.
    plan_due: bool,
    replan_at: Micros,
    /// Whether this build cannot read the table.
    pub unreadable: bool,
    /// Whether the ledger was full at the last request.
    pub full: bool,
    /// Statements that waited and now have a token.
    pub ready: Vec<u64>,
    /// Statements that were rejected.
    pub rejected: Vec<u64>,
}

impl Share {
    /// Creates a share that holds no tokens yet.
    pub fn new(limit: Limit, context: ShareContext) -> Share {
        let demand = Demand::new(limit.window);
        Share {
            limit,
            context,
            table: None,
            lease_until: Micros::MIN,
            cooling: VecDeque::new(),
            reserved: BTreeSet::new(),
            waiting: VecDeque::new(),
            owed: 0,
            pending: None,
            request_pending: false,
            next_read: Micros::MIN,
            retry_at: Micros::MIN,
            demand,
            revoked_since: BTreeMap::new(),
            unanswered: BTreeMap::new(),
            next_round: Micros::MIN,
            round_backoff: 0,
            surplus_since: None,
            plan_due: false,
            replan_at: Micros::MIN,
            unreadable: false,
            full: false,
            ready: Vec::new(),
            rejected: Vec::new(),
        }
    }

    /// Returns how long a spent token cools down.
    fn cooldown(&self) -> Micros {
        let window = LeaseTerms {
            length: self.limit.window,
            drift_ppm: self.context.terms.drift_ppm,
        };
        window.blocked_for() + IN_FLIGHT_TIME
    }

    /// Returns how long a statement may wait for a token: half a lease, in which other fronts read
    /// the table and transfer tokens.
    fn max_wait(&self) -> Micros {
        self.context.terms.length / 2
    }

    /// Returns the tokens that the front certainly holds: a put that may still be applied can
    /// reduce them.
    fn held(&self) -> u32 {
        let own = self.context.owner;
        let held = self.table.as_ref().map_or(0, |read| read.table.held(own));
        match &self.pending {
            Some(pending) => held.min(pending.next.held(own)),
            None => held,
        }
    }

    /// Returns the tokens that are reserved or cooling down.
    fn in_use(&self) -> u32 {
        (self.cooling.len() + self.reserved.len()) as u32
    }

    /// Returns the tokens that may be spent now.
    fn available(&self) -> u32 {
        self.held()
            .saturating_sub(self.owed)
            .saturating_sub(self.in_use())
    }

    /// Returns the tokens that the front requests beyond those that it needs.
    fn batch(&self) -> u32 {
        (self.limit.max_statements / (4 * self.context.front_count.max(1) as u32)).max(1)
    }

    /// Returns the total of tokens that the front aims to hold.
    fn target(&self, now: Micros) -> u32 {
        let lead = self.cooldown() + self.context.terms.length / 2;
        let expected = self.demand.forecast(now, lead);
        if expected == 0 && self.waiting.is_empty() {
            return 0;
        }
        let in_use = self.in_use() + self.waiting.len() as u32;
        (expected + expected / 4)
            .max(in_use)
            .saturating_add(self.batch())
            .min(self.limit.max_statements)
    }

    /// Returns the tokens to request now, so that the front does not run out.
    fn shortfall(&self, now: Micros) -> u32 {
        let target = self.target(now);
        let held = self.held();
        let needed_soon =
            self.demand.forecast(now, self.context.terms.length / 2) + self.batch() / 4;
        let runs_out = self.available() < needed_soon || !self.waiting.is_empty();
        if target <= held || !runs_out {
            return 0;
        }
        (target - held)
            .max(held / 2)
            .min(self.limit.max_statements - held)
    }

    /// Reserves a token for a statement at once if possible; otherwise the statement waits, and is
    /// in `ready` or `rejected` later.
    pub fn acquire(&mut self, now: Micros, statement: u64) -> bool {
        self.demand.add(now);
        self.expire_cooldowns(now);
        if self.waiting.is_empty() && now < self.lease_until && self.available() > 0 {
            self.reserved.insert(statement);
            return true;
        }
        // This front holds and has spent the whole limit, and no token cools down in time.
        let first_cooled = self.cooling.front().copied().unwrap_or(now);
        let cannot_recover_in_time = self.held() == self.limit.max_statements
            && self.available() == 0
            && first_cooled > now + self.max_wait();
        if cannot_recover_in_time || self.waiting.len() >= MAX_WAITING {
            self.rejected.push(statement);
        } else {
            let deadline = now + self.max_wait();
            self.waiting.push_back(WaitingStatement {
                statement,
                deadline,
            });
        }
        false
    }

    /// Spends the reserved token of a statement; returns false if the statement may not begin now.
    pub fn begin(&mut self, now: Micros, statement: u64) -> bool {
        self.expire_cooldowns(now);
        let is_allowed = now < self.lease_until && self.in_use() <= self.held();
        if !self.reserved.remove(&statement) || !is_allowed {
            return false;
        }
        self.cooling.push_back(now + self.cooldown());
        true
    }

    /// Removes a statement that has begun or will not begin any more.
    pub fn release(&mut self, statement: u64) {
        self.reserved.remove(&statement);
        self.waiting
            .retain(|waiting| waiting.statement != statement);
    }

    /// Returns whether the share holds no tokens and nothing is pending, so that it can be dropped.
    pub fn is_idle(&self) -> bool {
        let own = self.context.owner;
        let held = self.table.as_ref().map_or(0, |read| read.table.held(own));
        held == 0
            && self.pending.is_none()
            && !self.request_pending
            && self.waiting.is_empty()
            && self.reserved.is_empty()
            && self.cooling.is_empty()
    }

    /// Makes tokens that have cooled down available again.
    fn expire_cooldowns(&mut self, now: Micros) {
        while self.cooling.front().is_some_and(|at| *at <= now) {
            self.cooling.pop_front();
        }
    }

    /// Returns the time on the steady clock at which `tick` is next due.
    pub fn due(&self, now: Micros) -> Micros {
        let wait_ends = self
            .waiting
            .front()
            .map_or(Micros::MAX, |first| first.deadline);
        let cooldown_ends = self
            .cooling
            .front()
            .copied()
            .filter(|_| !self.waiting.is_empty());
        let next_plan = if self.waiting.is_empty() {
            Micros::MAX
        } else {
            self.replan_at
        };
        let next_operation_at = if self.pending.is_some() {
            Micros::MIN
        } else {
            self.next_read.min(next_plan)
        };
        let request_at = if self.request_pending || !self.needs_ledger(now) {
            Micros::MAX
        } else {
            next_operation_at
        };
        wait_ends
            .min(cooldown_ends.unwrap_or(Micros::MAX))
            .min(request_at.max(self.retry_at))
    }

    fn needs_ledger(&self, now: Micros) -> bool {
        self.pending.is_some()
            || self.held() > 0
            || !self.waiting.is_empty()
            || self.shortfall(now) > 0
    }

    /// Serves waiting statements and returns the next request to the ledger, if any is due.
    pub fn tick(&mut self, now: Micros) -> Option<Operation> {
        self.expire_cooldowns(now);
        self.serve_waiting(now);
        if self.request_pending || now < self.retry_at || !self.needs_ledger(now) {
            return None;
        }
        let operation = self.next_operation(now)?;
        self.request_pending = true;
        Some(operation)
    }

    /// Grants tokens to waiting statements in order of arrival, and rejects those whose wait has
    /// timed out.
    fn serve_waiting(&mut self, now: Micros) {
        while let Some(WaitingStatement {
            statement,
            deadline,
        }) = self.waiting.front().copied()
        {
            if now < self.lease_until && self.available() > 0 {
                self.reserved.insert(statement);
                self.ready.push(statement);
            } else if deadline <= now {
                self.rejected.push(statement);
            } else {
                break;
            }
            self.waiting.pop_front();
        }
    }

    /// Returns the next request: a put of a plan, or a read of the table.
    fn next_operation(&mut self, now: Micros) -> Option<Operation> {
        if self.table.is_none() {
            return Some(Operation::Read);
        }
        // A pending put is repeated unchanged: of two puts that expect the same version only one is
        // applied.
        let should_plan = self.plan_due
            || now >= self.next_read
            || now >= self.replan_at && self.shortfall(now) > 0;
        if self.pending.is_none() && should_plan {
            self.plan_due = false;
            self.replan_at = now + REPLAN_INTERVAL;
            self.pending = self.plan(now);
        }
        if let Some(Pending { expects, next }) = &self.pending {
            return Some(Operation::Put {
                expects: Some(*expects),
                ends_ms: 0,
                value: next.bytes(),
            });
        }
        (now >= self.next_read).then_some(Operation::Read)
    }
}
