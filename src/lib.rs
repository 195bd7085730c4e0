//! hallmux: the scheduler of a front for query engines with limited memory.
//!
//! The library makes decisions only. It performs no input or output, reads no clock and starts no
//! threads. [`interface`] holds its input and output types. [`Scheduler`] combines the policy
//! rules, one module each in `policy`. The other modules keep state and make no decisions.

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
