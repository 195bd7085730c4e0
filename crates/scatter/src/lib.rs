//! Which sites could have rows that a statement asks for: sites' own signed summaries, what a condition proves by them,
//! marks of loads that they do not speak of yet, and one answer from the parts. No sockets, no clock, no chance.

pub mod audit;
pub mod book;
pub mod build;
pub mod combine;
pub mod condition;
pub mod filter;
pub mod join;
pub mod keep;
mod load;
pub mod marker;
pub mod marks;
mod of;
pub mod plan;
mod row;
pub mod runs;
pub mod sheets;
pub mod sketch;
pub mod spread;
pub mod sql;
pub mod summary;
pub mod value;
pub mod whole;

/// Microseconds on the front's clock.
pub type Micros = i64;
