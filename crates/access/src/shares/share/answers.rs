//! What the ledger's answers mean for a share.

use hallmux_ledger::Outcome;

use super::{Share, UnansweredRound, VersionedTable, RETRY_INTERVAL, UNREADABLE_INTERVAL};
use crate::shares::table::{Row, Table};
use crate::Micros;

impl Share {
    /// The ledger has answered what was requested at a time.
    pub fn on_answer(&mut self, now: Micros, requested_at: Micros, outcome: Outcome) {
        self.asking = false;
        self.full = outcome == Outcome::Full;
        match outcome {
            Outcome::Stands(entry) => self.on_table(now, requested_at, &entry.value, entry.version),
            // A repeated answer comes without the value.
            Outcome::Held(entry) if entry.value.is_empty() => self.next_read = now,
            Outcome::Held(entry) => self.on_table(now, requested_at, &entry.value, entry.version),
            Outcome::Absent => self.on_absent(now),
            Outcome::Unreachable | Outcome::Full => self.retry_at = now + RETRY_INTERVAL,
        }
        self.serve(now);
    }

    fn on_absent(&mut self, now: Micros) {
        if self.table.as_ref().is_some_and(|read| read.version > 0) {
            // It was there: what this means nobody can say.
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
            return; // an answer that was overtaken
        }
        let Some(table) = Table::read(value, &self.limit) else {
            return self.on_unreadable(now);
        };
        self.unreadable = false;
        // A put on an earlier version has been made, or never will be.
        self.pending.take_if(|pending| version > pending.expects);
        let held_before = self.held();
        let lease_until = requested_at + self.context.terms.owner_valid_for();
        self.lease_until = self.lease_until.max(lease_until);
        let next_read = requested_at + self.read_interval(&table);
        self.next_read = self.next_read.max(next_read);
        self.note_resting(now, &table);
        self.note_unanswered(now, &table);
        self.table = Some(VersionedTable { table, version });
        self.unplanned = true;
        if self.held() > held_before {
            self.round_backoff = 0;
            self.next_round = Micros::MIN;
        }
    }

    /// Notes since when tokens are at rest.
    fn note_resting(&mut self, now: Micros, table: &Table) {
        self.resting_since
            .retain(|id, _| table.resting.iter().any(|resting| resting.id == *id));
        for resting in &table.resting {
            self.resting_since.entry(resting.id).or_insert(now);
        }
    }

    /// Notes since when other fronts have not looked at the last round of wants.
    fn note_unanswered(&mut self, now: Micros, table: &Table) {
        let own = self.context.own;
        let is_behind = |row: &Row| row.owner != own && row.held > 0 && row.answered < table.round;
        self.unanswered
            .retain(|owner, _| table.row(*owner).is_some_and(is_behind));
        for row in table.rows.iter().filter(|row| is_behind(row)) {
            let round = UnansweredRound {
                answered: row.answered,
                since: now,
            };
            let known = self.unanswered.entry(row.owner).or_insert(round);
            if known.answered != row.answered {
                *known = round;
            }
        }
    }

    /// Microseconds between looks at the table: few while others are to give to it.
    fn read_interval(&self, table: &Table) -> Micros {
        let wants = table.row(self.context.own).is_some_and(|row| row.wants > 0);
        let looks_per_lease = if wants && !self.waiting.is_empty() {
            12
        } else {
            3
        };
        self.context.terms.owner_valid_for() / looks_per_lease
    }
}
