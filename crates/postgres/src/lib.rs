//! PostgreSQL's wire protocol, version 3, as a front between clients and engines meets it: messages, start-up
//! and authentication, sessions, engine connections and their pools.
//!
//! Nothing here has sockets, a clock or randomness of its own: callers hand in bytes, the time in
//! microseconds and random numbers, and send what is written. The protocol's own terms are used throughout: a
//! *portal* is a statement with its parameters, a *Sync* ends an extended query. A *unit* is what a front
//! sends to one engine as a whole: the messages between two Syncs, or a simple query.

#![warn(missing_docs)]

pub mod client_error;
pub mod engine;
pub mod pool;
pub mod prepared;
mod protocol_error;
pub mod scram;
pub mod session;
pub mod sql;
pub mod startup;
mod unit;
pub mod wire;

pub use protocol_error::ProtocolError;
