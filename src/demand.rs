//! What the fleet is asked for, as plain figures: nothing is decided here.

use crate::interface::*;
use crate::random::positive_or;
use crate::state::Load;

/// A front's share of a budget of all fronts, by what it is asked against the mean of them. Where it knows
/// nothing that is a fifth of an even part, at the mean two fifths, at three times the mean and more four
/// fifths: the sum stays under the budget whatever is told, and what is left is for budgets that are saved up
/// for a moment.
pub fn share_of(budget: f64, relative_demand: f64, fronts: f64) -> f64 {
    budget * (1.0 + positive_or(relative_demand, 0.0).min(3.0)) / (5.0 * fronts.max(1.0))
}

/// Of each customer the share of what it asks a second that is beyond its own.
pub fn beyond(asked: &[f64], agreed: &[f64]) -> Vec<f64> {
    let of = |(asked, own): (&f64, &f64)| (asked - own).max(0.0) / asked.max(f64::MIN_POSITIVE);
    asked.iter().zip(agreed).map(of).collect()
}

impl Demand {
    /// What of it is within customers' shares and what beyond: of those within more came in time.
    pub fn split(&self, beyond: f64) -> [Demand; 2] {
        let asked = [self.asked * (1.0 - beyond), self.asked * beyond];
        let timely = self.timely.min(asked[0]);
        let of = |n: usize, timely| Demand {
            asked: asked[n],
            timely,
            ..*self
        };
        [of(0, timely), of(1, self.timely - timely)]
    }

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
pub fn admit_by_rank(most: f64, demands: &[Demand], rank: impl Fn(usize) -> f64) -> Vec<f64> {
    let (mut left, mut shares) = (most, vec![1.0; demands.len()]);
    let mut ranked: Vec<(f64, usize)> = (0..demands.len()).map(|w| (rank(w), w)).collect();
    ranked.sort_by(|a, b| b.0.total_cmp(&a.0));
    for (_, w) in ranked
        .into_iter()
        .filter(|(_, w)| demands[*w].work_asked() > 0.0)
    {
        let asked = demands[w].work_asked();
        shares[w] = (left / asked).min(1.0);
        left = (left - asked).max(0.0);
    }
    shares
}

/// An engine's cores and memory, by its kind.
pub fn size_of(agreed: &Agreement, kind: usize) -> Load {
    let of = |list: &[f64], other| list.get(kind).copied().unwrap_or(other);
    Load {
        threads: of(&agreed.cores, 1.0),
        memory: of(&agreed.memory_mb, f64::MAX),
    }
}
