//! Seeded random numbers and weighted draws.

use crate::interface::EngineId;

/// A permuted congruential generator (PCG-XSH-RR).
#[derive(Default)]
pub struct Random(u64);

impl Random {
    /// Creates a generator whose numbers are determined by the seed.
    pub fn new(seed: u64) -> Self {
        let mut random = Random(seed.wrapping_mul(2).wrapping_add(1));
        random.next(); // a small seed skews only the first number
        random
    }

    /// The next number, uniform in [0, 1).
    pub fn next(&mut self) -> f64 {
        let old = self.0;
        self.0 = old
            .wrapping_mul(6364136223846793005)
            .wrapping_add(1442695040888963407);
        let mixed = (((old >> 18) ^ old) >> 27) as u32;
        f64::from(mixed.rotate_right((old >> 59) as u32)) / 4294967296.0
    }
}

/// The engine at a share, in [0, 1), of the sum of the weights; `None` if no weight is positive.
pub fn draw_weighted(share: f64, weights: &[(EngineId, f64)]) -> Option<EngineId> {
    let mut at = share * weights.iter().map(|(_, weight)| weight).sum::<f64>();
    let past = |(_, weight): &&(EngineId, f64)| {
        at -= weight;
        at < 0.0
    };
    weights.iter().find(past).map(|(e, _)| *e)
}

/// The first value if it is positive, otherwise the second. Unknown figures are 0 or NaN.
pub fn positive_or(first: f64, second: f64) -> f64 {
    if first > 0.0 {
        first
    } else {
        second
    }
}
