//! The wire formats that a front speaks with clients, query engines and the coordinator: bytes to messages
//! and back, without input and output of its own. The names that the formats use on the wire are mapped to the terms
//! of the code in one table, `wire_names`; what leaves this crate has the code's terms.
//!
//! Readers take a buffer that begins with a message. They give a [`Decoded`] message with its length, None
//! while some of it has yet to come, and a [`ParseError`] for what can't be one.

#![warn(missing_docs)]

pub mod coordinator;
pub mod engine;
pub mod statement;
pub mod tables;
mod wire_names;

/// A message that was read from the start of a buffer.
#[derive(Debug, PartialEq)]
pub struct Decoded<T> {
    /// Bytes of the buffer that it took: the next message begins behind them.
    pub len: usize,
    /// The message.
    pub message: T,
}

/// Bytes that are no message of their protocol, or a message over a limit: its connection has to end. The
/// text says what is wrong with them; whoever logs it names the connection.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0}")]
pub struct ParseError(String);

impl ParseError {
    fn new(what: impl std::fmt::Display) -> Self {
        ParseError(what.to_string())
    }
}
