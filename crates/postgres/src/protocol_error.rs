//! Violations of the protocol by a peer, after which its connection has to end.

/// Bytes that are no message of the protocol, a message out of order, or one over a limit: its connection has
/// to end. The text says what is wrong and, after a semicolon, what an operator can do; whoever logs it names the
/// connection.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ProtocolError {
    #[error("a start-up of {bytes} bytes, not 8 to {most}; see that what connects here speaks PostgreSQL's protocol 3")]
    StartUp { bytes: usize, most: usize },
    #[error("no user in the start-up; name one in the connection string")]
    NoUser,
    #[error(
        "encryption was asked for {times} times and refused each time; set sslmode and gssencmode to disable"
    )]
    Encryption { times: usize },
    #[error("a message of kind '{}' where the proof of a password is due; see that the driver knows SCRAM-SHA-256", kind(.0))]
    NoProof(u8),
    #[error("{0}; see that the peer's driver or server speaks PostgreSQL's protocol 3")]
    Malformed(&'static str),
    #[error("a message of kind '{}' is not known; see that the peer speaks PostgreSQL's protocol 3", kind(.0))]
    Unknown(u8),
    #[error(
        "a message of {bytes} bytes, over {most}; send less at once, or raise postgres.limits.message_bytes"
    )]
    TooLong { bytes: usize, most: usize },
    #[error("a simple query before the Sync that ends an extended one; send the Sync first")]
    Mixed,
    #[error("a message of kind '{}' with {bytes} bytes, over {most}; see that a PostgreSQL engine listens there", kind(.tag))]
    EngineTooLong { tag: u8, bytes: usize, most: usize },
    #[error("a message of kind '{}' that is not due {when}; see that a PostgreSQL engine listens there", kind(.tag))]
    NotDue { tag: u8, when: &'static str },
    #[error("a login of kind {0} is not spoken here; let the engine's pg_hba.conf ask the front for scram-sha-256, md5 or password")]
    Login(u32),
    #[error("the login fails: {0}; see postgres.users for the engine's user and password, and the engine's pg_hba.conf")]
    Proof(String),
    #[error("the engine ends the connection with {0}; see its own log for why")]
    Gone(String),
}

/// A message's kind as the protocol's pages write it.
fn kind(tag: &u8) -> std::ascii::EscapeDefault {
    std::ascii::escape_default(*tag)
}

#[cfg(test)]
#[path = "protocol_error_tests.rs"]
mod tests;
