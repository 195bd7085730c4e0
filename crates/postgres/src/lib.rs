//! PostgreSQL's wire protocol, version 3, as a front between clients and engines meets it: bytes to messages
//! and back, start-up and authentication, sessions, engine connections and their pools. No sockets, no clock,
//! no chance: whoever calls hands in bytes, the time and random numbers, and sends what is written.

pub mod answer;
pub mod engine;
pub mod entry;
pub mod pool;
pub mod prepared;
pub mod scram;
pub mod session;
pub mod sql;
pub mod wire;

/// Bytes that no message can begin with, or a message beyond what is allowed: its connection has to end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Unreadable(pub String);

impl std::fmt::Display for Unreadable {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        f.write_str(&self.0)
    }
}

impl Unreadable {
    fn new(what: impl std::fmt::Display) -> Self {
        Unreadable(what.to_string())
    }
}
