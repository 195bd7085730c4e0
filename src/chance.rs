//! Chance, from its own generator, and draws by shares.

use crate::interface::EngineId;

/// A permuted congruential generator (PCG-XSH-RR).
#[derive(Default)]
pub struct Chance(u64);

impl Chance {
    pub fn new(seed: u64) -> Self {
        let mut chance = Chance(seed.wrapping_mul(2).wrapping_add(1));
        chance.next(); // a small seed shows in the first number alone
        chance
    }

    pub fn next(&mut self) -> f64 {
        let old = self.0;
        self.0 = old.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
        let mixed = (((old >> 18) ^ old) >> 27) as u32;
        f64::from(mixed.rotate_right((old >> 59) as u32)) / 4294967296.0
    }
}

/// One of those that each have so much, at a place in all of it.
pub fn drawn_by(share: f64, each: &[(EngineId, f64)]) -> Option<EngineId> {
    let mut at = share * each.iter().map(|(_, much)| much).sum::<f64>();
    let past = |(_, much): &&(EngineId, f64)| {
        at -= much;
        at < 0.0
    };
    each.iter().find(past).map(|(e, _)| *e)
}

pub fn either(first: f64, second: f64) -> f64 {
    if first > 0.0 {
        first
    } else {
        second
    }
}
