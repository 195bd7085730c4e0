//! hallmux: a front for query engines with limited memory.
//!
//! The library decides and does nothing else: no input or output, no clock, no threads. [`interface`] has the types
//! that go in and come out. [`Scheduler`] joins the rules, which stand in `policy`, a module each. The other modules
//! keep plain figures and decide nothing.

#![warn(missing_docs)]

mod engine_table;
pub mod interface;
mod load;
mod policy;
mod random;
mod scheduler;
mod statement;
mod statement_queues;
mod token_bucket;

pub use policy::penalty::penalty;
pub use scheduler::Scheduler;
