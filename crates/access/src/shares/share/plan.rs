//! What a front does to a limit's table: it takes what it lacks, asks others for it, gives what they want, and takes
//! back what lost fronts held.

use hallmux_ledger::Owner;

use super::{Pending, Share, IN_FLIGHT};
use crate::shares::table::{Row, Table};
use crate::Micros;

impl Share {
    /// The table as it is to be, where that is not as it is.
    pub(super) fn plan(&mut self, now: Micros) -> Option<Pending> {
        let own = self.context.own;
        let read = self.table.clone()?;
        let before = read.table;
        let mut next = before.clone();
        self.take_back_lost(now, &before, &mut next);
        self.free_rested(now, &mut next);
        let lacks = self.lacks(now);
        let gets = lacks.min(next.free);
        self.take_free(now, &mut next, lacks, gets)?;
        self.plan_transfers(now, &mut next, lacks);
        let round = next.round;
        if let Some(row) = next.rows.iter_mut().find(|row| row.owner == own) {
            if lacks == gets {
                row.wants = 0;
            }
            if row.held > 0 {
                row.answered = round;
            }
        }
        next.tidy();
        let is_first = read.version == 0 && lacks > 0;
        (next != before || is_first).then_some(Pending {
            expects: read.version,
            next,
        })
    }

    /// Takes back what is held by earlier incarnations of this front, which spend nothing any more, and by fronts
    /// that are silent, which will not for much longer.
    fn take_back_lost(&self, now: Micros, before: &Table, next: &mut Table) {
        let lost = before.rows.iter().filter(|row| self.is_lost(now, row));
        for row in lost {
            next.take_back(row.owner);
        }
    }

    fn is_lost(&self, now: Micros, row: &Row) -> bool {
        let Owner { front, incarnation } = self.context.own;
        let is_earlier = row.owner.front == front && row.owner.incarnation < incarnation;
        let is_silent = self.unanswered.get(&row.owner).is_some_and(|round| {
            round.answered == row.answered && now >= round.since + self.context.terms.length
        });
        is_earlier || is_silent
    }

    /// Frees what was taken back once the lease of the front that held it has ended on its own clock, and what it
    /// had spent until then has cooled.
    fn free_rested(&self, now: Micros, next: &mut Table) {
        let rest = self.context.terms.blocked_for() + IN_FLIGHT + self.cooldown();
        next.rested(|id| {
            let since = self.resting_since.get(&id);
            since.is_some_and(|since| now >= since + rest)
        });
    }

    /// Takes `gets` of what is free, and asks others for the rest of what it lacks. None where it has no row.
    fn take_free(&mut self, now: Micros, next: &mut Table, lacks: u32, gets: u32) -> Option<()> {
        let own = self.context.own;
        let others_hold = next.rows.iter().any(|row| row.owner != own && row.held > 0);
        let asks = lacks > gets && others_hold && now >= self.next_round;
        if gets > 0 || asks {
            next.free -= gets;
            let row = next.row_mut(own)?;
            row.held += gets;
            row.wants = lacks - gets;
        }
        if asks {
            next.round += 1;
            // Others that are served at the same time are not asked again and again.
            let length = self.context.terms.length;
            let longest = self.limit.window.max(length);
            self.round_backoff = (self.round_backoff * 2).clamp(length / 3, longest);
            self.next_round = now + self.round_backoff;
        }
        Some(())
    }

    /// Gives to others what they want, or lets go of what it needs no longer.
    fn plan_transfers(&mut self, now: Micros, next: &mut Table, lacks: u32) {
        let own = self.context.own;
        let goal = self.goal(now);
        let held = self.held();
        let sharing = next
            .rows
            .iter()
            .filter(|row| row.held > 0 || row.wants > 0)
            .count();
        let fair = (self.limit.max_statements / sharing.max(1) as u32).max(1);
        let wanted = next.wanted_of(own).saturating_sub(next.free);
        self.owes = held.saturating_sub(goal.min(fair)).min(wanted);
        let unused = held.saturating_sub(self.in_use());
        let mut gives = self.owes.min(unused);
        if self.has_lasting_surplus(now, goal, held, lacks) {
            gives = gives.max(unused.min(held - goal));
        }
        if gives > 0 {
            next.give(own, gives);
            self.owes = self.owes.saturating_sub(gives);
        }
    }

    /// Whether it has held well more than its goal for the length of a lease.
    fn has_lasting_surplus(&mut self, now: Micros, goal: u32, held: u32, lacks: u32) -> bool {
        let ample = goal
            .saturating_add(goal / 2)
            .saturating_add(self.batch() / 2);
        if lacks > 0 || held <= ample {
            self.surplus_since = None;
            return false;
        }
        match self.surplus_since {
            None => {
                self.surplus_since = Some(now);
                false
            }
            Some(since) => now >= since + self.context.terms.length,
        }
    }
}
