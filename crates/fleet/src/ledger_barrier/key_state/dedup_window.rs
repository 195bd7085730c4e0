//! How long engines surely drop a repeat of what ran under a dedup key. After that a repeat would run a second
//! time, so it must not leave any more.

use hallmux_dispatcher::{Micros, Ticket};
use hallmux_ledger::Kind;

use super::super::requirements::MAX_CLOCK_SKEW;
use super::{ms, KeyState};

impl KeyState {
    /// Unix milliseconds until which the engines drop an execution of this statement as a repeat of another's;
    /// None where it repeats none (a statement's own retries are the dispatcher's to judge).
    pub(super) fn repeats_until_ms(&self, ticket: Ticket) -> Option<u64> {
        if self.kind != Kind::Dedup {
            return None;
        }
        let repeats_other = self.first.is_some_and(|first| first != ticket);
        self.inherited_until_ms
            .or(repeats_other.then_some(self.dropped_until_ms))
    }

    /// Whether the engines may have forgotten what this statement repeats: they would run it a second time.
    pub(super) fn is_forgotten(&self, now: Micros, ticket: Ticket) -> bool {
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
        for ticket in &forgotten {
            self.waiting.remove(ticket);
        }
        forgotten
    }

    /// Unix milliseconds until which engines surely drop a repeat of what leaves at `now` or later, on the clock
    /// of any front.
    pub(super) fn repeats_dropped_until_ms(&self, now: Micros) -> u64 {
        ms(now + self.after_end - MAX_CLOCK_SKEW)
    }
}
