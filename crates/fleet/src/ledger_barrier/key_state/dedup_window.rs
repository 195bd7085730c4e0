//! How long engines surely drop a repeat of what ran under a dedup key. After that a repeat would run a second
//! time, so it must not leave any more.

use hallmux_dispatcher::{Micros, Ticket};
use hallmux_ledger::Kind;

use super::super::requirements::MAX_CLOCK_SKEW;
use super::{to_unix_ms, KeyState};

impl KeyState {
    /// Unix milliseconds until which the engines drop an execution of this statement as a repeat of another's;
    /// None where it repeats none (a statement's own retries are the dispatcher's to judge).
    pub(super) fn dedup_expiry_ms(&self, ticket: Ticket) -> Option<u64> {
        if self.kind != Kind::Dedup {
            return None;
        }
        let repeats_other = self.first_executed.is_some_and(|first| first != ticket);
        self.inherited_dropped_until_ms
            .or(repeats_other.then_some(self.dropped_until_ms))
    }

    /// Whether the engines may have forgotten what this statement repeats: they would run it a second time.
    pub(super) fn is_dedup_expired(&self, now: Micros, ticket: Ticket) -> bool {
        self.dedup_expiry_ms(ticket)
            .is_some_and(|until_ms| until_ms <= to_unix_ms(now))
    }

    /// Takes out the statements that wait and must not leave any more, as engines may have forgotten what they
    /// repeat.
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

    /// Unix milliseconds until which engines surely drop a repeat of what leaves at `now` or later, on the clock
    /// of any front.
    pub(super) fn dedup_expiry_ms_from(&self, now: Micros) -> u64 {
        to_unix_ms(now + self.retention_after_end - MAX_CLOCK_SKEW)
    }
}
