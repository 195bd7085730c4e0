//! Handles the ledger's answers for a share.

use hallmux_ledger::Outcome;

use super::{Share, UnansweredRound, VersionedTable, RETRY_INTERVAL, UNREADABLE_INTERVAL};
use crate::shares::table::{Row, Table};
use crate::Micros;

impl Share {
    /// Handles the answer to a request made at a time.
    pub fn on_answer(&mut self, now: Micros, requested_at: Micros, outcome: Outcome) {
        self.request_pending = false;
        self.full = outcome == Outcome::Full;
        match outcome {
            Outcome::Stands(entry) => self.on_table(now, requested_at, &entry.value, entry.version),
            // A repeated answer has no value, so the table is read again.
            Outcome::Held(entry) if entry.value.is_empty() => self.next_read = now,
            Outcome::Held(entry) => self.on_table(now, requested_at, &entry.value, entry.version),
            Outcome::Absent => self.on_absent(now),
            Outcome::Unreachable | Outcome::Full => self.retry_at = now + RETRY_INTERVAL,
        }
        self.serve_waiting(now);
    }

    fn on_absent(&mut self, now: Micros) {
        if self.table.as_ref().is_some_and(|read| read.version > 0) {
            // The table existed before, so its absence cannot be explained: nothing is spent.
            return self.on_unreadable(now);
        }
        self.table = Some(VersionedTable {
            table: Table::new(&self.limit),
            version: 0,
        });
    }

    fn on_unreadable(&mut self, now: Micros) {
        self.unreadable = true;
        self.lease_until = Micros::MIN;
        self.retry_at = now + UNREADABLE_INTERVAL;
    }

    fn on_table(&mut self, now: Micros, requested_at: Micros, value: &[u8], version: u64) {
        let known = self.table.as_ref().map_or(0, |read| read.version);
        if version < known {
            return; // a newer table has been read since
        }
        let Some(table) = Table::read(value, &self.limit) else {
            return self.on_unreadable(now);
        };
        self.unreadable = false;
        // A put that expected an earlier version has been applied, or never will be.
        self.pending.take_if(|pending| version > pending.expects);
        let held_before = self.held();
        let lease_until = requested_at + self.context.terms.owner_valid_for();
        self.lease_until = self.lease_until.max(lease_until);
        let next_read = requested_at + self.read_interval(&table);
        self.next_read = self.next_read.max(next_read);
        self.track_revoked(now, &table);
        self.track_unanswered(now, &table);
        self.table = Some(VersionedTable { table, version });
        self.plan_due = true;
        if self.held() > held_before {
            self.round_backoff = 0;
            self.next_round = Micros::MIN;
        }
    }

    /// Records when revoked tokens were first seen.
    fn track_revoked(&mut self, now: Micros, table: &Table) {
        self.revoked_since
            .retain(|id, _| table.revoked.iter().any(|revoked| revoked.id == *id));
        for revoked in &table.revoked {
            self.revoked_since.entry(revoked.id).or_insert(now);
        }
    }

    /// Records since when other fronts have not seen the latest request round.
    fn track_unanswered(&mut self, now: Micros, table: &Table) {
        let own = self.context.owner;
        let is_behind =
            |row: &Row| row.owner != own && row.held > 0 && row.seen_round < table.round;
        self.unanswered
            .retain(|owner, _| table.row(*owner).is_some_and(is_behind));
        for row in table.rows.iter().filter(|row| is_behind(row)) {
            let round = UnansweredRound {
                seen_round: row.seen_round,
                since: now,
            };
            let known = self.unanswered.entry(row.owner).or_insert(round);
            if known.seen_round != row.seen_round {
                *known = round;
            }
        }
    }

    /// Returns the microseconds between reads of the table; shorter while other fronts are to
    /// transfer tokens.
    fn read_interval(&self, table: &Table) -> Micros {
        let is_waiting_for_tokens = table
            .row(self.context.owner)
            .is_some_and(|row| row.wanted > 0);
        let reads_per_lease = if is_waiting_for_tokens && !self.waiting.is_empty() {
            12
        } else {
            3
        };
        self.context.terms.owner_valid_for() / reads_per_lease
    }
}
