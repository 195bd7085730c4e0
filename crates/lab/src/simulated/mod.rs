//! The fleet rig in simulated time, for fleets beyond what one machine holds as processes.

mod clients;
mod disk;
mod engines;
mod faults;
mod fronts;
mod ledger;
mod play;
mod steps;
mod words;

pub use play::Spoil;
pub use play::{run, run_with};
