//! The record of a run, the checks of it, each with a file of its own, and what the run came to.

pub mod account;
#[allow(dead_code)] // until the rig plays rules
pub mod barred;
pub mod cuts;
pub mod executions;
#[allow(dead_code)] // until the rig plays rules
pub mod hits;
pub mod offered;
mod order;
pub mod promises;
pub mod refused;
pub mod repeats;
#[allow(dead_code)] // until the rig plays scatters
pub mod rows;
pub mod unpromised;
