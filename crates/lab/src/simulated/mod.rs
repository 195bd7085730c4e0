//! The fleet rig in simulated time, for fleets beyond what one machine holds as processes.

mod clients;
mod connections;
mod datagrams;
mod disk;
mod engines;
mod faults;
mod fronts;
mod growth;
mod least;
mod ledger;
mod run;
mod shutdown;
mod simulation;
mod steps;
#[cfg(test)]
mod tests;

pub use least::minimize;
pub use run::{run, run_with};
pub use simulation::Mutation;
