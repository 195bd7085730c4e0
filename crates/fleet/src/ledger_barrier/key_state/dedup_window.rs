//! Determines how long engines are sure to drop a repeat of an execution under a dedup key. After that time a
//! repeat would run a second time, so it must not be sent.

use hallmux_dispatcher::{Micros, Ticket};
use hallmux_ledger::Kind;

use super::super::requirements::MAX_CLOCK_SKEW;
use super::{to_unix_ms, KeyState};

impl KeyState {
    /// Unix milliseconds until which engines drop an execution of this statement as a repeat of another
    /// statement's; None if it repeats no other statement. The dispatcher decides on a statement's own retries.
    pub(super) fn dedup_expiry_ms(&self, ticket: Ticket) -> Option<u64> {
        if self.kind != Kind::Dedup {
            return None;
        }
        let repeats_other = self.first_executed.is_some_and(|first| first != ticket);
        self.inherited_dropped_until_ms
            .or(repeats_other.then_some(self.dropped_until_ms))
    }

    /// Whether engines may no longer drop this statement as a repeat, and would run it a second time.
    pub(super) fn is_dedup_expired(&self, now: Micros, ticket: Ticket) -> bool {
        self.dedup_expiry_ms(ticket)
            .is_some_and(|until_ms| until_ms <= to_unix_ms(now))
    }

    /// Removes and returns the waiting statements that must no longer be sent, because engines may not drop them
    /// as repeats.
    pub fn take_dedup_expired(&mut self, now: Micros) -> Vec<Ticket> {
        let dedup_expired: Vec<Ticket> = self
            .waiting
            .keys()
            .copied()
            .filter(|ticket| self.is_dedup_expired(now, *ticket))
            .collect();
        for ticket in &dedup_expired {
            self.waiting.remove(ticket);
        }
        dedup_expired
    }

    /// Unix milliseconds until which engines are sure to drop a repeat of an execution sent at `now` or later,
    /// on the clock of any front.
    pub(super) fn dedup_expiry_ms_from(&self, now: Micros) -> u64 {
        to_unix_ms(now + self.retention_after_end - MAX_CLOCK_SKEW)
    }
}
