//! Random numbers from the seed, and draws by weight.

use crate::interface::EngineId;

/// A permuted congruential generator (PCG-XSH-RR).
#[derive(Default)]
pub struct Random(u64);

impl Random {
    /// A generator whose numbers all follow from the seed.
    pub fn new(seed: u64) -> Self {
        let mut random = Random(seed.wrapping_mul(2).wrapping_add(1));
        random.next(); // a small seed shows in the first number alone
        random
    }

    /// The next number, evenly spread over 0 up to 1.
    pub fn next(&mut self) -> f64 {
        let old = self.0;
        self.0 = old
            .wrapping_mul(6364136223846793005)
            .wrapping_add(1442695040888963407);
        let mixed = (((old >> 18) ^ old) >> 27) as u32;
        f64::from(mixed.rotate_right((old >> 59) as u32)) / 4294967296.0
    }
}

/// The engine at a share, from 0 up to 1, of the sum of the weights; none where there is no weight.
pub fn draw_weighted(share: f64, weights: &[(EngineId, f64)]) -> Option<EngineId> {
    let mut at = share * weights.iter().map(|(_, weight)| weight).sum::<f64>();
    let past = |(_, weight): &&(EngineId, f64)| {
        at -= weight;
        at < 0.0
    };
    weights.iter().find(past).map(|(e, _)| *e)
}

/// The first where it is above 0, as no figure that is not known is, else the second.
pub fn positive_or(first: f64, second: f64) -> f64 {
    if first > 0.0 {
        first
    } else {
        second
    }
}
