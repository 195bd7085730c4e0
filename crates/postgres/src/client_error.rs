//! The errors that the front itself sends to clients, and their SQLSTATE codes.

use crate::wire::{write, write_string};
use crate::ProtocolError;

/// An error that the front, rather than an engine, sends to a client.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ClientError {
    /// The statement was rejected without being executed; a retry is safe.
    #[error("the front turns this statement away; trying again is harmless")]
    Rejected {
        /// Milliseconds to wait before the retry; None leaves the wait to the client.
        retry_after_ms: Option<i64>,
    },
    /// The statement exceeded its time limit.
    #[error("canceling statement due to statement timeout")]
    StatementTimeout,
    /// The client cancelled the statement.
    #[error("canceling statement due to user request")]
    Cancelled,
    /// The engine was lost while it executed the statement, which may or may not have taken effect.
    #[error("the engine was lost; the statement may or may not have taken effect")]
    Unresolved,
    /// The open transaction was rolled back; none of its statements has taken effect.
    #[error("the transaction was rolled back: {why}")]
    RolledBack {
        /// The cause of the rollback.
        why: &'static str,
    },
    /// An open transaction was idle for longer than its limit.
    #[error("terminating transaction that stood idle for longer than allowed")]
    IdleTransactionTimeout,
    /// The transaction has failed; only a statement that ends it is accepted.
    #[error("current transaction is aborted, commands ignored until end of transaction block")]
    InFailedTransaction,
    /// A setting of the front is missing or invalid.
    #[error("{field}: {why}")]
    InvalidSetting {
        /// The name.
        field: &'static str,
        /// What is wrong with the value.
        why: &'static str,
    },
    /// The operation is not possible over shared engine connections.
    #[error("{why} can't be used through this front")]
    Unsupported {
        /// The name.
        why: &'static str,
    },
    /// A limit of the session is exceeded.
    #[error("{why}: more than a session may hold")]
    LimitExceeded {
        /// The quantity that is limited.
        why: &'static str,
    },
    /// The session has no prepared statement of this name.
    #[error("prepared statement \"{name}\" does not exist")]
    NoSuchStatement {
        /// The name.
        name: String,
    },
    /// The session already has a prepared statement of this name.
    #[error("prepared statement \"{name}\" already exists")]
    DuplicateStatement {
        /// The name.
        name: String,
    },
    /// The client violated the protocol.
    #[error("against the protocol: {why}")]
    Protocol {
        /// The violation.
        why: ProtocolError,
    },
    /// The user does not exist, or the password proof is wrong.
    #[error("password authentication failed for user \"{user}\"")]
    WrongPassword {
        /// The user's name.
        user: String,
    },
    /// The client asked for a protocol version other than 3.
    #[error("protocol {major} is not spoken here, 3.0 is")]
    UnsupportedVersion {
        /// The major version asked for.
        major: u16,
    },
    /// The front is shutting down.
    #[error("terminating connection due to administrator command")]
    ShuttingDown,
    /// The front has reached its limit of sessions.
    #[error("no more sessions are taken for now")]
    TooManySessions,
    /// The session's input is dropped, as that of all sessions takes too much memory.
    #[error("the input of this session takes too much memory")]
    OutOfMemory,
    /// The engine's connection ended before the result was complete.
    #[error("the engine was lost in the middle of a result")]
    ResultLost,
}

impl ClientError {
    /// The error of a unit whose texts give different values of one label, by its name.
    pub fn contradictory_label(field: &'static str) -> ClientError {
        ClientError::InvalidSetting {
            field,
            why: "a unit, all up to its Sync, can have only one",
        }
    }

    /// Returns the SQLSTATE, from PostgreSQL's table of error codes.
    pub fn code(&self) -> &'static str {
        match self {
            ClientError::Rejected { .. } => "53000",
            ClientError::StatementTimeout | ClientError::Cancelled => "57014",
            ClientError::Unresolved => "08007",
            ClientError::RolledBack { .. } => "40001",
            ClientError::IdleTransactionTimeout => "25P03",
            ClientError::InFailedTransaction => "25P02",
            ClientError::InvalidSetting { .. } => "22023",
            ClientError::Unsupported { .. } => "0A000",
            ClientError::LimitExceeded { .. } => "54000",
            ClientError::NoSuchStatement { .. } => "26000",
            ClientError::DuplicateStatement { .. } => "42P05",
            ClientError::Protocol { .. } => "08P01",
            ClientError::WrongPassword { .. } => "28P01",
            ClientError::UnsupportedVersion { .. } => "0A000",
            ClientError::ShuttingDown => "57P01",
            ClientError::TooManySessions => "53300",
            ClientError::OutOfMemory => "53200",
            ClientError::ResultLost => "08006",
        }
    }

    /// Appends the error to `out` as an ErrorResponse message. After a fatal error the connection
    /// ends.
    pub fn write(&self, out: &mut Vec<u8>, fatal: bool) {
        let severity: &[u8] = if fatal { b"FATAL" } else { b"ERROR" };
        write(out, b'E', |out| {
            let mut field = |kind: u8, value: &[u8]| {
                out.push(kind);
                // A name sent by the client may contain the zero byte that ends a field.
                let end = memchr::memchr(0, value).unwrap_or(value.len());
                write_string(out, &value[..end]);
            };
            field(b'S', severity);
            field(b'V', severity);
            field(b'C', self.code().as_bytes());
            field(b'M', self.to_string().as_bytes());
            if let ClientError::Rejected {
                retry_after_ms: Some(ms),
            } = self
            {
                field(b'D', format!("retry-after-ms={ms}").as_bytes());
                field(b'H', format!("try again after {ms} ms").as_bytes());
            }
            out.push(0);
        });
    }
}

/// Whether an engine's error, by its SQLSTATE, is the engine's fault and not the statement's: the
/// engine is short of resources, shutting down or broken. A cancel by a client or a time limit
/// (57014) is not an engine fault.
pub fn is_engine_fault(code: &[u8]) -> bool {
    let class = code.get(..2).unwrap_or_default();
    matches!(class, b"53" | b"58" | b"XX" | b"08" | b"F0") || class == b"57" && code != b"57014"
}

#[cfg(test)]
#[path = "client_error_tests.rs"]
mod tests;
