//! Estimates demand from recent requests.

use crate::Micros;

/// The number of complete slots in the look-back time; one more slot is being filled.
const SLOTS: usize = 4;
/// The longest look-back time, in microseconds.
const MAX_LOOK_BACK: Micros = 4_000_000;

/// Counts of the most recent slots, the latest last.
pub struct Demand {
    counts: [u32; SLOTS + 1],
    slot_length: Micros,
    current_slot: Micros,
}

impl Demand {
    /// Creates an estimate that looks back at most one window, in microseconds.
    pub fn new(window: Micros) -> Demand {
        let slot_length = window.min(MAX_LOOK_BACK) / SLOTS as Micros;
        Demand {
            counts: [0; SLOTS + 1],
            slot_length: slot_length.max(1),
            current_slot: 0,
        }
    }

    /// Returns the number of slots between the latest count and now.
    fn elapsed_slots(&self, now: Micros) -> Micros {
        now.div_euclid(self.slot_length) - self.current_slot
    }

    /// Counts one request.
    pub fn add(&mut self, now: Micros) {
        let elapsed_slots = self.elapsed_slots(now).clamp(0, SLOTS as Micros + 1) as usize;
        if elapsed_slots > 0 {
            self.counts.rotate_left(elapsed_slots.min(SLOTS));
            let from = (SLOTS + 1).saturating_sub(elapsed_slots);
            for count in self.counts.iter_mut().skip(from) {
                *count = 0;
            }
            self.current_slot = now.div_euclid(self.slot_length);
        }
        if let Some(last) = self.counts.last_mut() {
            *last = last.saturating_add(1);
        }
    }

    /// Returns how many requests to expect within a time, by the rate of the recent slots.
    pub fn forecast(&self, now: Micros, time: Micros) -> u32 {
        let elapsed_slots = self.elapsed_slots(now).clamp(0, SLOTS as Micros + 1) as usize;
        let recent = self
            .counts
            .iter()
            .skip(elapsed_slots)
            .fold(0u32, |all, count| all.saturating_add(*count));
        let look_back = self.slot_length * SLOTS as Micros;
        (i128::from(recent) * i128::from(time) / i128::from(look_back))
            .try_into()
            .unwrap_or(u32::MAX)
    }
}
