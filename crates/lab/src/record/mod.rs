//! The record of a run, its checks (one file each), and the result of the run.

pub mod account;
mod attempts;
#[cfg(test)]
mod attempts_tests;
pub mod barred;
pub mod budget;
pub mod cuts;
pub mod executions;
mod given_up;
#[cfg(test)]
mod given_up_tests;
pub mod herd;
pub mod hits;
pub mod judge;
pub mod offered;
mod order;
pub mod promises;
pub mod refused;
pub mod repeats;
pub mod rolled;
pub mod rows;
pub mod starved;
pub mod unpromised;
