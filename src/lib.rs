//! hallmux: a front for query engines with limited memory.
//!
//! The library decides and does nothing else: no input or output, no clock, no threads. [`interface`] has the types
//! that go in and come out, [`Scheduler`] the decisions.
//! `state` and the files beside it keep the figures that decisions go by and decide nothing.

#![warn(missing_docs)]

mod demand;
pub mod interface;
mod learned;
mod peer_reports;
mod policy;
mod random;
mod scheduler;
mod state;

pub use scheduler::{penalty, Scheduler};
