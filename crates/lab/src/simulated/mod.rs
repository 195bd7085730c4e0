//! The fleet rig in simulated time, for fleets with more fronts than one machine can run as
//! processes.

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
