//! Measurements: each compares an implementation with a baseline, alternating within one run.

pub mod fleet;
pub mod gossip;
pub mod grown;
pub mod overload;
pub mod portal;
pub mod promises;
pub mod sites;
mod spread;

pub use spread::{spread, Spread};
