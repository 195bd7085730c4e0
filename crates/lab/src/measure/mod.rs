//! Measurements: ours beside a plain or earlier way, alternating in one run.

pub mod fleet;
pub mod gossip;
pub mod grown;
pub mod overload;
pub mod portal;
pub mod promises;
pub mod sites;
mod spread;

pub use spread::{spread, Spread};
