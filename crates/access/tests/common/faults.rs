//! Faults that the simulations of several fronts draw alike: one look a step, at one front.

use rand::Rng;
use rand_pcg::Pcg64;

const CHANCES: i32 = 2_000; // of which each step draws one; most mean that nothing happens

/// What happens to the front drawn. Times are microseconds of true time.
pub enum Fault {
    /// Its messages and the answers to it may be lost for so long.
    Cut(i64),
    /// It does nothing for so long.
    Stall(i64),
    /// It begins another life with an empty memory.
    Restart,
    /// No fault: the chance drawn, by which a simulation may have events of its own.
    None(i32),
}

/// A front out of so many, and what happens to it.
pub fn draw(rng: &mut Pcg64, fronts: usize) -> (usize, Fault) {
    let front = rng.random_range(0..fronts);
    let fault = match rng.random_range(0..CHANCES) {
        0..4 => Fault::Cut(rng.random_range(200_000..9_000_000)),
        4..7 => Fault::Stall(rng.random_range(100_000..6_000_000)),
        7..9 => Fault::Restart,
        chance => Fault::None(chance),
    };
    (front, fault)
}
