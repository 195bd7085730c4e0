//! What fronts tell each other of engines. No sockets, no clock, no chance of its own: whoever calls hands in
//! datagrams, the time and random numbers, and sends what comes out.
//!
//! Times are whole microseconds on the caller's clock, unless named otherwise.

pub mod channels;
pub mod evidence;
pub mod load_reports;
pub mod members;
pub mod message;
pub mod node;
pub mod seal;

pub type Micros = i64;

/// A front, by the first bytes of its public key.
pub type PeerId = u64;

/// Random numbers, as the caller draws them.
pub trait Chance {
    fn next(&mut self) -> u64;

    /// One below `most`, which is at least 1.
    fn below(&mut self, most: usize) -> usize {
        (self.next() % most.max(1) as u64) as usize
    }
}

impl<F: FnMut() -> u64> Chance for F {
    fn next(&mut self) -> u64 {
        self()
    }
}
