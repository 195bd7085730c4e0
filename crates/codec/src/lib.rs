//! Bytes to messages and back, without sockets: what clients, query engines and the coordinator say.

pub mod coordinator;
pub mod engine;
pub mod statement;
pub mod tables;

/// Bytes that no message can begin with, or a message beyond what is agreed: its connection has to end.
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
