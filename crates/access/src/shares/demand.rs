//! How much was asked for of late.

use crate::Micros;

/// Parts of the time that is looked back at; one more is being filled.
const PARTS: usize = 4;
/// Microseconds looked back at, at most.
const MAX_LOOK_BACK: Micros = 4_000_000;

/// Counts of the last parts of a time, the latest last.
pub struct Demand {
    counts: [u32; PARTS + 1],
    part: Micros,
    at: Micros,
}

impl Demand {
    pub fn new(window: Micros) -> Demand {
        let part = window.min(MAX_LOOK_BACK) / PARTS as Micros;
        Demand {
            counts: [0; PARTS + 1],
            part: part.max(1),
            at: 0,
        }
    }

    fn passed(&self, now: Micros) -> Micros {
        now.div_euclid(self.part) - self.at
    }

    pub fn add(&mut self, now: Micros) {
        let passed = self.passed(now).clamp(0, PARTS as Micros + 1) as usize;
        if passed > 0 {
            self.counts.rotate_left(passed.min(PARTS));
            let from = (PARTS + 1).saturating_sub(passed);
            for count in self.counts.iter_mut().skip(from) {
                *count = 0;
            }
            self.at = now.div_euclid(self.part);
        }
        if let Some(last) = self.counts.last_mut() {
            *last = last.saturating_add(1);
        }
    }

    /// How much will be asked for in a time, going by the last parts.
    pub fn expects(&self, now: Micros, time: Micros) -> u32 {
        let passed = self.passed(now).clamp(0, PARTS as Micros + 1) as usize;
        let recent = self
            .counts
            .iter()
            .skip(passed)
            .fold(0u32, |all, count| all.saturating_add(*count));
        let looked = self.part * PARTS as Micros;
        (i128::from(recent) * i128::from(time) / i128::from(looked))
            .try_into()
            .unwrap_or(u32::MAX)
    }
}
