//! What the fleet was asked, as plain figures: nothing is decided here.

use crate::interface::*;
use crate::state::Load;

impl Offer {
    /// The share of what was asked that was answered in time, with so many timely ones on top.
    pub fn conformance(&self, on_top: f64) -> f64 {
        (self.timely + on_top) / (self.asked + on_top)
    }

    /// What all that was asked takes on one thread, in microseconds.
    pub fn work_asked(&self) -> f64 {
        self.work * self.asked
    }
}

/// The share of each that fits into so much work, those of the highest rank first; all of what takes none.
pub fn share_out(most: f64, offers: &[Offer], rank: impl Fn(usize) -> f64) -> Vec<f64> {
    let (mut left, mut shares) = (most, vec![1.0; offers.len()]);
    let mut line: Vec<(f64, usize)> = (0..offers.len()).map(|w| (rank(w), w)).collect();
    line.sort_by(|a, b| b.0.total_cmp(&a.0));
    for (_, w) in line.into_iter().filter(|(_, w)| offers[*w].work_asked() > 0.0) {
        let asked = offers[w].work_asked();
        shares[w] = (left / asked).min(1.0);
        left = (left - asked).max(0.0);
    }
    shares
}

/// An engine's cores and memory, by its kind.
pub fn size_of(agreed: &Agreement, kind: usize) -> Load {
    let of = |list: &[f64], other| list.get(kind).copied().unwrap_or(other);
    Load { threads: of(&agreed.cores, 1.0), memory: of(&agreed.memory_mb, f64::MAX) }
}
