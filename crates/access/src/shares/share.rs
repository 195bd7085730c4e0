//! One front's share of one limit: what it may still spend of it, and what it does to have as much as it needs.
//!
//! A share is spent under a lease: a look at the table, counted from when it was asked. What was spent cools for the
//! limit's window; only what has cooled is spent again or given away. So however shares move, each of the limit's
//! tokens is spent once in any window.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use hallmux_lease::Terms;
use hallmux_ledger::{Operation, Outcome, Owner};

use super::demand::Demand;
use super::table::{Limit, Row, Table};
use crate::Micros;

const IN_FLIGHT: Micros = 200_000; // microseconds; what left may still be under way to an engine
const RETRY_INTERVAL: Micros = 250_000; // microseconds until what the ledger could not do is asked again
const REPLAN_INTERVAL: Micros = 50_000; // microseconds between looks at what could be done while it lacks some
const MOST_WAITING: usize = 1_024; // statements that wait for a share

/// What a front goes by.
#[derive(Clone, Copy, Debug)]
pub struct ShareContext {
    pub own: Owner,
    pub terms: Terms,
    pub fronts: usize,
}

/// A put whose outcome is not known: until the table has moved on it may yet stand.
struct Pending {
    expects: u64,
    next: Table,
}

pub struct Share {
    pub limit: Limit,
    context: ShareContext,
    /// As read last, with its version in the ledger; 0 where there is none yet.
    table: Option<(Table, u64)>,
    lease_until: Micros,
    /// When each that was spent may be spent again, the first first.
    cooling: VecDeque<Micros>,
    /// Statements that have a token and have not begun.
    taken: BTreeSet<u64>,
    waiting: VecDeque<(u64, Micros)>,
    owes: u32,
    pending: Option<Pending>,
    asking: bool,
    next_read: Micros,
    retry_at: Micros,
    demand: Demand,
    /// When what rests was first seen.
    resting_since: BTreeMap<u64, Micros>,
    /// Fronts that have yet to look at a round of wants: where they are, and since when.
    unanswered_since: BTreeMap<Owner, (u64, Micros)>,
    /// No round of wants of its own before this, and how long it then waits.
    next_round: Micros,
    round_backoff: Micros,
    low_since: Option<Micros>,
    /// The table was read and nothing was done about it yet; else not before.
    unplanned: bool,
    replan_at: Micros,
    pub unreadable: bool,
    pub full: bool,
    pub ready: Vec<u64>,
    pub refused: Vec<u64>,
}

impl Share {
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
            unanswered_since: BTreeMap::new(),
            next_round: Micros::MIN,
            round_backoff: 0,
            low_since: None,
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
        let window = Terms {
            length: self.limit.window,
            drift_ppm: self.context.terms.drift_ppm,
        };
        window.rests_for() + IN_FLIGHT
    }

    /// How long a statement waits for a share, at most: two looks of every other front.
    fn max_wait(&self) -> Micros {
        self.context.terms.length / 2
    }

    /// What this front surely has: a put that may yet stand can take away from it.
    fn held(&self) -> u32 {
        let own = self.context.own;
        let held = self.table.as_ref().map_or(0, |(table, _)| table.held(own));
        self.pending
            .as_ref()
            .map_or(held, |pending| held.min(pending.next.held(own)))
    }

    fn in_use(&self) -> u32 {
        (self.cooling.len() + self.taken.len()) as u32
    }

    fn spare(&self) -> u32 {
        self.held()
            .saturating_sub(self.owes)
            .saturating_sub(self.in_use())
    }

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
        let now = self.in_use() + self.waiting.len() as u32;
        (needs + needs / 4)
            .max(now)
            .saturating_add(self.batch())
            .min(self.limit.most)
    }

    /// What it is to ask for, before it runs out.
    fn lacks(&self, now: Micros) -> u32 {
        let (goal, held) = (self.goal(now), self.held());
        let soon = self.demand.expects(now, self.context.terms.length / 2) + self.batch() / 4;
        match goal > held && (self.spare() < soon || !self.waiting.is_empty()) {
            true => (goal - held).max(held / 2).min(self.limit.most - held),
            false => 0,
        }
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
        if hopeless || self.waiting.len() >= MOST_WAITING {
            self.refused.push(statement);
        } else {
            self.waiting.push_back((statement, now + self.max_wait()));
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
        self.waiting.retain(|(waits, _)| *waits != statement);
    }

    /// Nothing here is known or wanted any more.
    pub fn is_idle(&self) -> bool {
        let held = self
            .table
            .as_ref()
            .map_or(0, |(table, _)| table.held(self.context.own));
        held == 0
            && self.pending.is_none()
            && !self.asking
            && self.waiting.is_empty()
            && self.taken.is_empty()
            && self.cooling.is_empty()
    }

    fn cool(&mut self, now: Micros) {
        while self.cooling.front().is_some_and(|at| *at <= now) {
            self.cooling.pop_front();
        }
    }

    pub fn due(&self, now: Micros) -> Micros {
        let waits = self.waiting.front().map_or(Micros::MAX, |(_, ends)| *ends);
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

    /// Those that wait, in order.
    fn serve(&mut self, now: Micros) {
        while let Some((statement, ends)) = self.waiting.front().copied() {
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

    fn next_act(&mut self, now: Micros) -> Option<Operation> {
        if self.table.is_none() {
            return Some(Operation::Read);
        }
        // The same again: of two that stand for the same version only one does.
        let looks =
            self.unplanned || now >= self.next_read || now >= self.replan_at && self.lacks(now) > 0;
        if self.pending.is_none() && looks {
            (self.unplanned, self.replan_at) = (false, now + REPLAN_INTERVAL);
            if let Some((next, expects)) = self.plan(now) {
                self.pending = Some(Pending { expects, next });
            }
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

    /// The table as it is to be, where that is not as it is.
    fn plan(&mut self, now: Micros) -> Option<(Table, u64)> {
        let own = self.context.own;
        let (mut next, version) = self.table.clone()?;
        let before = next.clone();
        // An earlier life of this front spends nothing any more, and one that is silent will not for much longer.
        let silent = self.context.terms.length;
        let lost = |row: &&Row| {
            let earlier = row.owner.front == own.front && row.owner.incarnation < own.incarnation;
            let behind = self
                .unanswered_since
                .get(&row.owner)
                .filter(|(at, _)| *at == row.answered);
            earlier || behind.is_some_and(|(_, since)| now >= since + silent)
        };
        let lost: Vec<Owner> = before
            .rows
            .iter()
            .filter(lost)
            .map(|row| row.owner)
            .collect();
        lost.into_iter().for_each(|owner| next.take_back(owner));
        // Its lease has ended on its own clock by then, and what it had spent until then has cooled.
        let rest = self.context.terms.rests_for() + IN_FLIGHT + self.cooldown();
        next.rested(|id| {
            self.resting_since
                .get(&id)
                .is_some_and(|since| now >= since + rest)
        });
        let lacks = self.lacks(now);
        let gets = lacks.min(next.free);
        let others = next.rows.iter().any(|row| row.owner != own && row.held > 0);
        let asks = lacks > gets && others && now >= self.next_round;
        if gets > 0 || asks {
            next.free -= gets;
            let row = next.row_mut(own)?;
            row.held += gets;
            row.wants = lacks - gets;
        }
        if asks {
            next.round += 1;
            // Others that are served at the same time are not asked again and again.
            self.round_backoff =
                (self.round_backoff * 2).clamp(silent / 3, self.limit.window.max(silent));
            self.next_round = now + self.round_backoff;
        }
        self.plan_transfers(now, &mut next, lacks);
        if let Some(row) = next.rows.iter_mut().find(|row| row.owner == own) {
            row.wants = if lacks == gets { 0 } else { row.wants };
            row.answered = if row.held > 0 {
                next.round
            } else {
                row.answered
            };
        }
        next.tidy();
        (next != before || version == 0 && lacks > 0).then_some((next, version))
    }

    /// What it gives to others that want it, or lets go of as it needs it no longer.
    fn plan_transfers(&mut self, now: Micros, next: &mut Table, lacks: u32) {
        let (own, goal, held) = (self.context.own, self.goal(now), self.held());
        let sharing = next
            .rows
            .iter()
            .filter(|row| row.held > 0 || row.wants > 0)
            .count()
            .max(1);
        let fair = (self.limit.most / sharing as u32).max(1);
        let wanted = next.wanted_of(own).saturating_sub(next.free);
        self.owes = held.saturating_sub(goal.min(fair)).min(wanted);
        let rested = held.saturating_sub(self.in_use());
        let mut gives = self.owes.min(rested);
        let low = lacks == 0
            && held
                > goal
                    .saturating_add(goal / 2)
                    .saturating_add(self.batch() / 2);
        match (low, self.low_since) {
            (false, _) => self.low_since = None,
            (true, None) => self.low_since = Some(now),
            (true, Some(since)) if now >= since + self.context.terms.length => {
                gives = gives.max(rested.min(held - goal));
            }
            _ => {}
        }
        if gives > 0 {
            next.give(own, gives);
            self.owes = self.owes.saturating_sub(gives);
        }
    }

    /// The ledger has answered what was asked at a time.
    pub fn on_answer(&mut self, now: Micros, asked_at: Micros, outcome: Outcome) {
        (self.asking, self.full) = (false, outcome == Outcome::Full);
        match outcome {
            Outcome::Stands(entry) => self.on_table(now, asked_at, &entry.value, entry.version),
            // An answer that is told again comes without what stands.
            Outcome::Held(entry) if entry.value.is_empty() => self.next_read = now,
            Outcome::Held(entry) => self.on_table(now, asked_at, &entry.value, entry.version),
            Outcome::Absent if self.table.as_ref().is_none_or(|(_, version)| *version == 0) => {
                self.table = Some((Table::new(&self.limit), 0));
            }
            // It was there: what this means nobody can say.
            Outcome::Absent => self.on_unreadable(now),
            Outcome::Unreachable | Outcome::Full => self.retry_at = now + RETRY_INTERVAL,
        }
        self.serve(now);
    }

    fn on_unreadable(&mut self, now: Micros) {
        (self.unreadable, self.lease_until, self.retry_at) =
            (true, Micros::MIN, now + 20 * RETRY_INTERVAL);
    }

    fn on_table(&mut self, now: Micros, asked_at: Micros, value: &[u8], version: u64) {
        if self
            .table
            .as_ref()
            .is_some_and(|(_, known)| version < *known)
        {
            return; // an answer that was overtaken
        }
        let Some(table) = Table::read(value, &self.limit) else {
            return self.on_unreadable(now);
        };
        self.unreadable = false;
        if self
            .pending
            .as_ref()
            .is_some_and(|pending| version > pending.expects)
        {
            self.pending = None; // it stands, or never will
        }
        let own = self.context.own;
        let before = self.held();
        self.lease_until = self
            .lease_until
            .max(asked_at + self.context.terms.acts_for());
        self.next_read = self.next_read.max(asked_at + self.read_interval(&table));
        self.resting_since
            .retain(|id, _| table.resting.iter().any(|r| r.id == *id));
        table
            .resting
            .iter()
            .for_each(|r| _ = self.resting_since.entry(r.id).or_insert(now));
        let asked = |row: &&Row| row.owner != own && row.held > 0 && row.answered < table.round;
        self.unanswered_since
            .retain(|owner, _| table.row(*owner).as_ref().is_some_and(asked));
        for row in table.rows.iter().filter(asked) {
            let since = self
                .unanswered_since
                .entry(row.owner)
                .or_insert((row.answered, now));
            if since.0 != row.answered {
                *since = (row.answered, now);
            }
        }
        (self.table, self.unplanned) = (Some((table, version)), true);
        if self.held() > before {
            (self.round_backoff, self.next_round) = (0, Micros::MIN);
        }
    }

    /// How often it looks at the table: often while others are to give to it.
    fn read_interval(&self, table: &Table) -> Micros {
        let waits = table.row(self.context.own).is_some_and(|row| row.wants > 0);
        self.context.terms.acts_for()
            / if waits && !self.waiting.is_empty() {
                12
            } else {
                3
            }
    }
}
