//! Gossip between fronts: membership, signed reports on engines and load, and channels for other subsystems,
//! within a bounded traffic that does not grow with the fleet. Free of sockets, clocks and randomness of its
//! own: the caller passes in datagrams, the time and random numbers, and sends what comes out.
//!
//! Times are whole microseconds on the caller's monotonic clock, unless a name ends in `_ms` (milliseconds)
//! or `_s` (seconds); `wall_ms` is Unix time in milliseconds.

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

/// A front: the first eight bytes of its public key, see [`seal::peer_id`].
pub type PeerId = u64;

/// A source of random numbers; a closure that returns them is one.
pub trait RandomSource {
    /// The next number, uniform over all values.
    fn next(&mut self) -> u64;

    /// A number below `most`; 0 where `most` is 0.
    fn below(&mut self, bound: usize) -> usize {
        (self.next() % bound.max(1) as u64) as usize
    }
}

impl<F: FnMut() -> u64> RandomSource for F {
    fn next(&mut self) -> u64 {
        self()
    }
}
