//! Randomized faults shared by the simulations of several fronts: one draw a step, at one front.

use rand::Rng;
use rand_pcg::Pcg64;

const OUTCOMES: i32 = 2_000; // each step draws one of these; most mean that nothing happens

/// What happens to the drawn front. Times are microseconds of true time.
pub enum Fault {
    /// Requests and answers of the front may be lost for this long.
    Cut(i64),
    /// The front does nothing for this long.
    Stall(i64),
    /// The front starts a new incarnation with an empty memory.
    Restart,
    /// No fault; the number drawn, which a simulation may use for events of its own.
    None(i32),
}

/// Draws a front out of `fronts`, and what happens to it.
pub fn draw(rng: &mut Pcg64, fronts: usize) -> (usize, Fault) {
    let front = rng.random_range(0..fronts);
    let fault = match rng.random_range(0..OUTCOMES) {
        0..4 => Fault::Cut(rng.random_range(200_000..9_000_000)),
        4..7 => Fault::Stall(rng.random_range(100_000..6_000_000)),
        7..9 => Fault::Restart,
        chance => Fault::None(chance),
    };
    (front, fault)
}
