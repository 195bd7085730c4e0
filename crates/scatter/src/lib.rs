//! Which sites could have rows that a statement asks for: sites' own signed summaries, what a condition proves by them,
//! marks of loads that they do not speak of yet, and one answer from the parts. No sockets, no clock, no randomness.

#![warn(missing_docs)]

pub mod audit;
pub mod build;
pub mod combine;
pub mod condition;
pub mod exchange;
pub mod filter;
mod from_sql;
pub mod gather;
pub mod join;
pub mod layers;
mod load;
pub mod load_markers;
pub mod marker_requests;
pub mod plan;
pub mod retention;
mod row;
pub mod runs;
pub mod sketch;
pub mod sql;
pub mod store;
pub mod summary;
pub mod value;

/// Microseconds on the front's clock.
pub type Micros = i64;
