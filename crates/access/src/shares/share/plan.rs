//! Plans changes of a limit's table: a front claims free tokens, requests more from other fronts,
//! transfers tokens that they request, and revokes those of lost fronts.

use hallmux_ledger::Owner;

use super::{Pending, Share, IN_FLIGHT_TIME};
use crate::shares::table::{Row, Table};
use crate::Micros;

impl Share {
    /// Returns the changed table; `None` if no change is needed.
    pub(super) fn plan(&mut self, now: Micros) -> Option<Pending> {
        let own = self.context.owner;
        let read = self.table.clone()?;
        let current = read.table;
        let mut next = current.clone();
        self.revoke_lost(now, &current, &mut next);
        self.free_revoked(now, &mut next);
        let shortfall = self.shortfall(now);
        let claimed = shortfall.min(next.free);
        self.claim_free(now, &mut next, shortfall, claimed)?;
        self.plan_transfers(now, &mut next, shortfall);
        let round = next.round;
        if let Some(row) = next.rows.iter_mut().find(|row| row.owner == own) {
            if shortfall == claimed {
                row.wanted = 0;
            }
            if row.held > 0 {
                row.seen_round = round;
            }
        }
        next.remove_empty_rows();
        let is_first = read.version == 0 && shortfall > 0;
        (next != current || is_first).then_some(Pending {
            expects: read.version,
            next,
        })
    }

    /// Revokes the tokens of earlier incarnations of this front, which spend nothing any more, and
    /// of silent fronts, which cannot spend once their leases end.
    fn revoke_lost(&self, now: Micros, current: &Table, next: &mut Table) {
        let lost = current.rows.iter().filter(|row| self.is_lost(now, row));
        for row in lost {
            next.revoke(row.owner);
        }
    }

    fn is_lost(&self, now: Micros, row: &Row) -> bool {
        let Owner { front, incarnation } = self.context.owner;
        let is_earlier = row.owner.front == front && row.owner.incarnation < incarnation;
        let is_silent = self.unanswered.get(&row.owner).is_some_and(|round| {
            round.seen_round == row.seen_round && now >= round.since + self.context.terms.length
        });
        is_earlier || is_silent
    }

    /// Frees revoked tokens once the lease of the front that held them has ended by its own clock
    /// and the tokens it had spent until then have cooled down.
    fn free_revoked(&self, now: Micros, next: &mut Table) {
        let wait = self.context.terms.blocked_for() + IN_FLIGHT_TIME + self.cooldown();
        next.release_revoked(|id| {
            let since = self.revoked_since.get(&id);
            since.is_some_and(|since| now >= since + wait)
        });
    }

    /// Claims free tokens, and starts a request round for the remaining shortfall. Returns `None`
    /// if the front has no row.
    fn claim_free(
        &mut self,
        now: Micros,
        next: &mut Table,
        shortfall: u32,
        claimed: u32,
    ) -> Option<()> {
        let own = self.context.owner;
        let peers_hold = next.rows.iter().any(|row| row.owner != own && row.held > 0);
        let starts_round = shortfall > claimed && peers_hold && now >= self.next_round;
        if claimed > 0 || starts_round {
            next.free -= claimed;
            let row = next.row_or_insert(own)?;
            row.held += claimed;
            row.wanted = shortfall - claimed;
        }
        if starts_round {
            next.round += 1;
            // Backs off, so that fronts with demand of their own are not asked repeatedly.
            let length = self.context.terms.length;
            let max_backoff = self.limit.window.max(length);
            self.round_backoff = (self.round_backoff * 2).clamp(length / 3, max_backoff);
            self.next_round = now + self.round_backoff;
        }
        Some(())
    }

    /// Transfers tokens that other fronts request, and gives up those that are not needed any more.
    fn plan_transfers(&mut self, now: Micros, next: &mut Table, shortfall: u32) {
        let own = self.context.owner;
        let target = self.target(now);
        let held = self.held();
        let sharing_fronts = next
            .rows
            .iter()
            .filter(|row| row.held > 0 || row.wanted > 0)
            .count();
        let fair_share = (self.limit.max_statements / sharing_fronts.max(1) as u32).max(1);
        let wanted = next.wanted_by_peers(own).saturating_sub(next.free);
        self.owed = held.saturating_sub(target.min(fair_share)).min(wanted);
        let unused = held.saturating_sub(self.in_use());
        let mut transferred = self.owed.min(unused);
        if self.has_lasting_surplus(now, target, held, shortfall) {
            transferred = transferred.max(unused.min(held - target));
        }
        if transferred > 0 {
            next.transfer(own, transferred);
            self.owed = self.owed.saturating_sub(transferred);
        }
    }

    /// Returns whether the front has held well more than its target for the length of a lease.
    fn has_lasting_surplus(&mut self, now: Micros, target: u32, held: u32, shortfall: u32) -> bool {
        let upper_bound = target
            .saturating_add(target / 2)
            .saturating_add(self.batch() / 2);
        if shortfall > 0 || held <= upper_bound {
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
