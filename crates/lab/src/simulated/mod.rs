//! The fleet rig in simulated time, for fleets beyond what one machine holds as processes.

mod clients;
mod connections;
mod datagrams;
mod disk;
mod ends;
mod engines;
mod faults;
mod fronts;
mod grows;
mod least;
mod ledger;
mod play;
mod run;
mod steps;
#[cfg(test)]
mod tests;

pub use least::smallest;
pub use play::Spoil;
pub use run::{run, run_with};
