//! Decides which sites can have rows that a statement selects. Each site signs summaries of its
//! data; a condition is evaluated against them to rule sites out, load markers name loads that the
//! summaries do not cover yet, and the answers of the parts are combined into one. The crate uses
//! no sockets, no clock and no randomness.

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
