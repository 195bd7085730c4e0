//! PostgreSQL's wire protocol, version 3, as a front between clients and engines meets it: bytes to messages
//! and back, start-up and authentication, sessions, engine connections and their pools. No sockets, no clock,
//! no chance: whoever calls hands in bytes, the time and random numbers, and sends what is written.

pub mod client_error;
pub mod engine;
pub mod pool;
pub mod prepared;
mod protocol_error;
pub mod scram;
pub mod session;
pub mod sql;
pub mod startup;
pub mod wire;

pub use protocol_error::ProtocolError;
