//! Violations of the protocol by a peer, after which its connection has to end.

/// Bytes that are no message of the protocol, a message out of order, or one over a limit: its connection has
/// to end. The text says what is wrong and, after a semicolon, what an operator can do; whoever logs it names
/// the connection.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ProtocolError {
    /// A start-up of an impossible length.
    #[error("a start-up of {bytes} bytes, not 8 to {limit}; see that what connects here speaks PostgreSQL's protocol 3")]
    StartupLength {
        /// Its length.
        bytes: usize,
        /// The longest that is allowed.
        limit: usize,
    },
    /// A start-up without a user.
    #[error("no user in the start-up; name one in the connection string")]
    NoUser,
    /// More requests for encryption than there are kinds.
    #[error(
        "encryption was asked for {times} times and refused each time; set sslmode and gssencmode to disable"
    )]
    TooManyEncryptionRequests {
        /// Requests so far.
        times: usize,
    },
    /// Another message than the authentication's, by its kind.
    #[error("a message of kind '{}' where the proof of a password is due; see that the driver knows SCRAM-SHA-256", kind(.0))]
    ExpectedPasswordMessage(u8),
    /// A message that can't be parsed.
    #[error("{0}; see that the peer's driver or server speaks PostgreSQL's protocol 3")]
    Malformed(&'static str),
    /// A message of an unknown kind.
    #[error("a message of kind '{}' is not known; see that the peer speaks PostgreSQL's protocol 3", kind(.0))]
    UnknownMessage(u8),
    /// A message of a client over the limit.
    #[error(
        "a message of {bytes} bytes, over {limit}; send less at once, or raise postgres.limits.message_bytes"
    )]
    MessageTooLong {
        /// Its length.
        bytes: usize,
        /// The limit.
        limit: usize,
    },
    /// A simple query within an extended one.
    #[error("a simple query before the Sync that ends an extended one; send the Sync first")]
    SimpleQueryWithinExtended,
    /// A message of an engine over the limit.
    #[error("a message of kind '{}' with {bytes} bytes, over {limit}; see that a PostgreSQL engine listens there", kind(.tag))]
    EngineMessageTooLong {
        /// Its kind.
        tag: u8,
        /// Its length.
        bytes: usize,
        /// The limit.
        limit: usize,
    },
    /// A message of an engine out of order.
    #[error("an unexpected message of kind '{}' {when}; see that a PostgreSQL engine listens there", kind(.tag))]
    UnexpectedMessage {
        /// Its kind.
        tag: u8,
        /// What was going on.
        when: &'static str,
    },
    /// An engine asks for a kind of authentication, by its number, that the front does not know.
    #[error("authentication method {0} is not supported; let the engine's pg_hba.conf ask the front for scram-sha-256, md5 or password")]
    UnsupportedAuthentication(u32),
    /// The authentication at an engine fails.
    #[error("the login failed: {0}; see postgres.users for the engine's user and password, and the engine's pg_hba.conf")]
    AuthenticationFailed(String),
    /// An engine ends the connection, with this SQLSTATE.
    #[error("the engine closed the connection with {0}; see its own log for why")]
    ConnectionEnded(String),
}

/// A message's kind as the protocol's pages write it.
fn kind(tag: &u8) -> std::ascii::EscapeDefault {
    std::ascii::escape_default(*tag)
}

#[cfg(test)]
#[path = "protocol_error_tests.rs"]
mod tests;
