//! Version 3 of PostgreSQL's wire protocol, as a front between clients and engines uses it:
//! messages, startup and authentication, client sessions, engine connections and their pools.
//!
//! The crate has no sockets, clock or random source. Callers pass in received bytes, the time in
//! microseconds and random numbers, and send what is written to their buffers. The terms are those
//! of the protocol: a *portal* is a prepared statement with its parameters bound, and a *Sync* ends
//! an extended query. A *unit* is what a front sends to one engine: the messages between two Syncs,
//! or one simple query.

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
