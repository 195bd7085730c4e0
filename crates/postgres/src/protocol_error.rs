//! Violations of the protocol by a peer, after which its connection is closed.

/// Bytes that are not a valid message, a message out of order, or one over a limit; the connection
/// is closed. The text says what is wrong and, after a semicolon, what an operator can do; the
/// caller that logs the error names the connection.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ProtocolError {
    /// The length of a startup message is out of range.
    #[error("a start-up of {bytes} bytes, not 8 to {limit}; see that what connects here speaks PostgreSQL's protocol 3")]
    StartupLength {
        /// The length in bytes.
        bytes: usize,
        /// The maximum length.
        limit: usize,
    },
    /// The startup message names no user.
    #[error("no user in the start-up; name one in the connection string")]
    NoUser,
    /// The client sent more encryption requests than there are kinds of encryption.
    #[error(
        "encryption was asked for {times} times and refused each time; set sslmode and gssencmode to disable"
    )]
    TooManyEncryptionRequests {
        /// The number of requests received.
        times: usize,
    },
    /// A message of this kind arrived where a password message is expected.
    #[error("a message of kind '{}' where the proof of a password is due; see that the driver knows SCRAM-SHA-256", kind(.0))]
    ExpectedPasswordMessage(u8),
    /// A message can't be parsed; the text says why.
    #[error("{0}; see that the peer's driver or server speaks PostgreSQL's protocol 3")]
    Malformed(&'static str),
    /// A message of this kind does not exist in the protocol.
    #[error("a message of kind '{}' is not known; see that the peer speaks PostgreSQL's protocol 3", kind(.0))]
    UnknownMessage(u8),
    /// A client's message is over the limit.
    #[error(
        "a message of {bytes} bytes, over {limit}; send less at once, or raise postgres.limits.message_bytes"
    )]
    MessageTooLong {
        /// The length in bytes.
        bytes: usize,
        /// The limit in bytes.
        limit: usize,
    },
    /// A simple query arrived before the Sync of an extended one.
    #[error("a simple query before the Sync that ends an extended one; send the Sync first")]
    SimpleQueryWithinExtended,
    /// An engine's message is over the limit.
    #[error("a message of kind '{}' with {bytes} bytes, over {limit}; see that a PostgreSQL engine listens there", kind(.tag))]
    EngineMessageTooLong {
        /// The message's kind.
        tag: u8,
        /// The length in bytes.
        bytes: usize,
        /// The limit in bytes.
        limit: usize,
    },
    /// An engine's message is out of order.
    #[error("an unexpected message of kind '{}' {when}; see that a PostgreSQL engine listens there", kind(.tag))]
    UnexpectedMessage {
        /// The message's kind.
        tag: u8,
        /// What the connection was doing.
        when: &'static str,
    },
    /// An engine asks for an authentication method, by its code, that the front does not support.
    #[error("authentication method {0} is not supported; let the engine's pg_hba.conf ask the front for scram-sha-256, md5 or password")]
    UnsupportedAuthentication(u32),
    /// The authentication at an engine failed, for this reason.
    #[error("the login failed: {0}; see postgres.users for the engine's user and password, and the engine's pg_hba.conf")]
    AuthenticationFailed(String),
    /// An engine closes the connection with this SQLSTATE.
    #[error("the engine closed the connection with {0}; see its own log for why")]
    ConnectionEnded(String),
}

/// Formats a message's kind as the protocol documentation does; other than ASCII is escaped.
fn kind(tag: &u8) -> std::ascii::EscapeDefault {
    std::ascii::escape_default(*tag)
}

#[cfg(test)]
#[path = "protocol_error_tests.rs"]
mod tests;
