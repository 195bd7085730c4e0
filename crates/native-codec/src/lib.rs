//! Encodes and decodes the messages that a front exchanges with clients, query engines and the
//! coordinator; the crate does no input or output itself. The names used on the wire are mapped to
//! the terms of the code in one table, `wire_names`; the crate's API uses the terms of the code.
//!
//! Readers take a buffer that starts with a message. They return a [`Decoded`] message with its
//! length, None if the message is incomplete, and a [`ParseError`] if the bytes are invalid.

#![warn(missing_docs)]

pub mod coordinator;
pub mod engine;
pub mod statement;
pub mod tables;
mod wire_names;

/// A message that was decoded from the start of a buffer.
#[derive(Debug, PartialEq)]
pub struct Decoded<T> {
    /// The number of bytes consumed; the next message starts after them.
    pub len: usize,
    /// The message.
    pub message: T,
}

/// The bytes are not a valid message of their protocol, or the message is over a limit; the
/// connection is closed. The text says what is wrong; the caller that logs it names the connection.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0}")]
pub struct ParseError(String);

impl ParseError {
    fn new(what: impl std::fmt::Display) -> Self {
        ParseError(what.to_string())
    }
}
