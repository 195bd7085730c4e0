//! One front's share of one limit: what it may still spend of it, and what it does to have as much as it needs.
//!
//! A share is spent under a lease: a look at the table, counted from when it was asked. What was spent cools for the
//! limit's window; only what has cooled is spent again or given away. So however shares move, each of the limit's
//! tokens is spent once in any window.

mod answers;
mod plan;

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use hallmux_lease::LeaseTerms;
use hallmux_ledger::{Operation, Owner};

use super::demand::Demand;
use super::table::{Limit, Table};
use crate::Micros;

/// Microseconds; what left may still be under way to an engine.
const IN_FLIGHT: Micros = 200_000;
/// Microseconds until what the ledger could not do is requested again.
const RETRY_INTERVAL: Micros = 250_000;
/// Microseconds until a table that this build can't read is read again.
const UNREADABLE_INTERVAL: Micros = 20 * RETRY_INTERVAL;
/// Microseconds between plans while it lacks some.
const REPLAN_INTERVAL: Micros = 50_000;
/// Statements that wait for a share.
const MAX_WAITING: usize = 1_024;

/// What a front goes by.
#[derive(Clone, Copy, Debug)]
pub struct ShareContext {
    /// This front.
    pub own: Owner,
    /// How long a lease on a share lasts.
    pub terms: LeaseTerms,
    /// How many fronts share.
    pub fronts: usize,
}

/// A table with its version in the ledger; 0 where there is none yet.
#[derive(Clone)]
struct VersionedTable {
    table: Table,
    version: u64,
}

/// A statement that waits for its share.
#[derive(Clone, Copy)]
struct WaitingStatement {
    statement: u64,
    /// When it is refused.
    ends: Micros,
}

/// The last round of wants that a front has looked at, while it has yet to look at a later one.
#[derive(Clone, Copy)]
struct UnansweredRound {
    answered: u64,
    since: Micros,
}

/// A put whose outcome is not known: until the table has moved on it may yet be made.
struct Pending {
    expects: u64,
    next: Table,
}

/// One front's share of one limit.
pub struct Share {
    pub limit: Limit,
    context: ShareContext,
    /// As read last.
    table: Option<VersionedTable>,
    lease_until: Micros,
    /// When each that was spent may be spent again, the first first.
    cooling: VecDeque<Micros>,
    /// Statements that have a token and have not begun.
    taken: BTreeSet<u64>,
    waiting: VecDeque<WaitingStatement>,
    /// What it has to give to others once it has cooled.
    owes: u32,
    pending: Option<Pending>,
    asking: bool,
    next_read: Micros,
    retry_at: Micros,
    demand: Demand,
    /// When tokens at rest were first seen, by id.
    resting_since: BTreeMap<u64, Micros>,
    /// Fronts that have yet to look at a round of wants.
    unanswered: BTreeMap<Owner, UnansweredRound>,
    /// No round of wants of its own before this.
    next_round: Micros,
    /// How long it waits after a round of its own.
    round_backoff: Micros,
    /// Since when it has had more than it needs.
    surplus_since: Option<Micros>,
    /// The table was read and nothing was done about it yet; else not before.
    unplanned: bool,
    replan_at: Micros,
    /// This build can't read the table.
    pub unreadable: bool,
    /// The ledger was full at the last request.
    pub full: bool,
    /// Statements that have waited and have their share now.
    pub ready: Vec<u64>,
    /// Statements that get no share.
    pub refused: Vec<u64>,
}

impl Share {
    /// A share of which nothing is held yet.
    pub fn new(limit: Limit, context: ShareContext) -> Share {
        let demand = Demand::new(limit.window);
        Share {
            limit,
            context,
            table: None,
            lease_until: Micros::MIN,
            cooling: VecDeque::new(),
            taken: BTreeSet::new(),
            waiting: VecDeque::new(),
            owes: 0,
            pending: None,
            asking: false,
            next_read: Micros::MIN,
            retry_at: Micros::MIN,
            demand,
            resting_since: BTreeMap::new(),
            unanswered: BTreeMap::new(),
            next_round: Micros::MIN,
            round_backoff: 0,
            surplus_since: None,
            unplanned: false,
            replan_at: Micros::MIN,
            unreadable: false,
            full: false,
            ready: Vec::new(),
            refused: Vec::new(),
        }
    }

    /// How long what was spent cools.
    fn cooldown(&self) -> Micros {
        let window = LeaseTerms {
            length: self.limit.window,
            drift_ppm: self.context.terms.drift_ppm,
        };
        window.blocked_for() + IN_FLIGHT
    }

    /// How long a statement waits for a share, at most: two looks of every other front.
    fn max_wait(&self) -> Micros {
        self.context.terms.length / 2
    }

    /// What this front surely has: a put that may yet stand can take away from it.
    fn held(&self) -> u32 {
        let own = self.context.own;
        let held = self.table.as_ref().map_or(0, |read| read.table.held(own));
        match &self.pending {
            Some(pending) => held.min(pending.next.held(own)),
            None => held,
        }
    }

    /// Tokens that are spent or cool.
    fn in_use(&self) -> u32 {
        (self.cooling.len() + self.taken.len()) as u32
    }

    /// Tokens that may be spent now.
    fn spare(&self) -> u32 {
        self.held()
            .saturating_sub(self.owes)
            .saturating_sub(self.in_use())
    }

    /// Tokens that it asks for beyond what it needs.
    fn batch(&self) -> u32 {
        (self.limit.most / (4 * self.context.fronts.max(1) as u32)).max(1)
    }

    /// How much it wants to have in all.
    fn goal(&self, now: Micros) -> u32 {
        let lead = self.cooldown() + self.context.terms.length / 2;
        let needs = self.demand.expects(now, lead);
        if needs == 0 && self.waiting.is_empty() {
            return 0;
        }
        let in_use = self.in_use() + self.waiting.len() as u32;
        (needs + needs / 4)
            .max(in_use)
            .saturating_add(self.batch())
            .min(self.limit.most)
    }

    /// What it is to ask for, before it runs out.
    fn lacks(&self, now: Micros) -> u32 {
        let goal = self.goal(now);
        let held = self.held();
        let soon = self.demand.expects(now, self.context.terms.length / 2) + self.batch() / 4;
        let runs_out = self.spare() < soon || !self.waiting.is_empty();
        if goal <= held || !runs_out {
            return 0;
        }
        (goal - held).max(held / 2).min(self.limit.most - held)
    }

    /// Whether a statement may take from it at once; else it waits, and is `ready` or `refused` later.
    pub fn take(&mut self, now: Micros, statement: u64) -> bool {
        self.demand.add(now);
        self.cool(now);
        if self.waiting.is_empty() && now < self.lease_until && self.spare() > 0 {
            self.taken.insert(statement);
            return true;
        }
        // All of it is spent here, and none of it comes back in time.
        let first = self.cooling.front().copied().unwrap_or(now);
        let hopeless =
            self.held() == self.limit.most && self.spare() == 0 && first > now + self.max_wait();
        if hopeless || self.waiting.len() >= MAX_WAITING {
            self.refused.push(statement);
        } else {
            let ends = now + self.max_wait();
            self.waiting.push_back(WaitingStatement { statement, ends });
        }
        false
    }

    /// Whether a statement that took from it may begin now.
    pub fn begins(&mut self, now: Micros, statement: u64) -> bool {
        self.cool(now);
        let may = now < self.lease_until && self.in_use() <= self.held();
        if !self.taken.remove(&statement) || !may {
            return false;
        }
        self.cooling.push_back(now + self.cooldown());
        true
    }

    /// A statement will not begin any more, or has begun.
    pub fn over(&mut self, statement: u64) {
        self.taken.remove(&statement);
        self.waiting
            .retain(|waiting| waiting.statement != statement);
    }

    /// Nothing here is known or wanted any more.
    pub fn is_idle(&self) -> bool {
        let own = self.context.own;
        let held = self.table.as_ref().map_or(0, |read| read.table.held(own));
        held == 0
            && self.pending.is_none()
            && !self.asking
            && self.waiting.is_empty()
            && self.taken.is_empty()
            && self.cooling.is_empty()
    }

    /// What has cooled may be spent again.
    fn cool(&mut self, now: Micros) {
        while self.cooling.front().is_some_and(|at| *at <= now) {
            self.cooling.pop_front();
        }
    }

    /// When `tick` is next due, on the steady clock.
    pub fn due(&self, now: Micros) -> Micros {
        let waits = self.waiting.front().map_or(Micros::MAX, |first| first.ends);
        let cools = self
            .cooling
            .front()
            .copied()
            .filter(|_| !self.waiting.is_empty());
        let plans = if self.waiting.is_empty() {
            Micros::MAX
        } else {
            self.replan_at
        };
        let looks = if self.pending.is_some() {
            Micros::MIN
        } else {
            self.next_read.min(plans)
        };
        let asks = if self.asking || !self.is_needed(now) {
            Micros::MAX
        } else {
            looks
        };
        waits
            .min(cools.unwrap_or(Micros::MAX))
            .min(asks.max(self.retry_at))
    }

    fn is_needed(&self, now: Micros) -> bool {
        self.pending.is_some() || self.held() > 0 || !self.waiting.is_empty() || self.lacks(now) > 0
    }

    /// What is to be asked of the ledger now, if anything.
    pub fn tick(&mut self, now: Micros) -> Option<Operation> {
        self.cool(now);
        self.serve(now);
        if self.asking || now < self.retry_at || !self.is_needed(now) {
            return None;
        }
        let operation = self.next_act(now)?;
        self.asking = true;
        Some(operation)
    }

    /// Serves those that wait, in order.
    fn serve(&mut self, now: Micros) {
        while let Some(WaitingStatement { statement, ends }) = self.waiting.front().copied() {
            if now < self.lease_until && self.spare() > 0 {
                self.taken.insert(statement);
                self.ready.push(statement);
            } else if ends <= now {
                self.refused.push(statement);
            } else {
                break;
            }
            self.waiting.pop_front();
        }
    }

    /// The next request: a put of a plan, or a look at the table.
    fn next_act(&mut self, now: Micros) -> Option<Operation> {
        if self.table.is_none() {
            return Some(Operation::Read);
        }
        // The same again: of two that stand for the same version only one does.
        let is_to_plan =
            self.unplanned || now >= self.next_read || now >= self.replan_at && self.lacks(now) > 0;
        if self.pending.is_none() && is_to_plan {
            self.unplanned = false;
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
