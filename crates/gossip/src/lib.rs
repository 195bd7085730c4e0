//! Gossip between fronts: membership, signed reports on engines and load, and channels for other
//! subsystems. The traffic per front is bounded and does not grow with the fleet. The crate uses no
//! sockets, clocks or random number generator: the caller passes in datagrams, the time and random
//! numbers, and sends the returned datagrams.
//!
//! Times are integer microseconds on the caller's monotonic clock, unless a name ends in `_ms`
//! (milliseconds) or `_s` (seconds); `wall_ms` is Unix time in milliseconds.

#![warn(missing_docs)]

pub mod channels;
pub mod evidence;
pub mod load_reports;
pub mod members;
pub mod message;
pub mod node;
pub mod seal;

/// A time or duration in microseconds.
pub type Micros = i64;

/// The id of a front: the first eight bytes of its public key, see [`seal::peer_id`].
pub type PeerId = u64;

/// A source of random numbers, implemented by closures that return a `u64`.
pub trait RandomSource {
    /// The next random number, uniform over all values.
    fn next(&mut self) -> u64;

    /// A random number below `bound`; 0 if `bound` is 0.
    fn below(&mut self, bound: usize) -> usize {
        (self.next() % bound.max(1) as u64) as usize
    }
}

impl<F: FnMut() -> u64> RandomSource for F {
    fn next(&mut self) -> u64 {
        self()
    }
}
