//! The errors that the front itself answers a client with, and their codes.

use crate::wire::{write, write_string};
use crate::ProtocolError;

/// An error that the front answers a client with, in place of an engine.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ClientError {
    /// Not executed: trying again is harmless.
    #[error("the front turns this statement away; trying again is harmless")]
    Rejected {
        /// Milliseconds to wait before that; None leaves it to the client.
        retry_after_ms: Option<i64>,
    },
    /// The time that it had is up.
    #[error("canceling statement due to statement timeout")]
    StatementTimeout,
    /// The client asked for its end.
    #[error("canceling statement due to user request")]
    Cancelled,
    /// It may or may not have taken effect: its engine was lost with it.
    #[error("the engine was lost; the statement may or may not have taken effect")]
    Unresolved,
    /// The open transaction is rolled back: nothing of it has taken effect.
    #[error("the transaction was rolled back: {why}")]
    RolledBack {
        /// What rolled it back.
        why: &'static str,
    },
    /// An open transaction stood idle too long.
    #[error("terminating transaction that stood idle for longer than allowed")]
    IdleTransactionTimeout,
    /// The transaction failed before; only its end is taken.
    #[error("current transaction is aborted, commands ignored until end of transaction block")]
    InFailedTransaction,
    /// A setting of the front that is missing or can't be used.
    #[error("{field}: {why}")]
    InvalidSetting {
        /// Its name.
        field: &'static str,
        /// What is wrong with it.
        why: &'static str,
    },
    /// What can't be done over shared connections.
    #[error("{why} can't be used through this front")]
    Unsupported {
        /// Its name.
        why: &'static str,
    },
    /// More than a session may hold.
    #[error("{why}: more than a session may hold")]
    LimitExceeded {
        /// Of what.
        why: &'static str,
    },
    /// A prepared statement that the session does not have.
    #[error("prepared statement \"{name}\" does not exist")]
    NoSuchStatement {
        /// Its name.
        name: String,
    },
    /// A prepared statement under a name that is taken.
    #[error("prepared statement \"{name}\" already exists")]
    DuplicateStatement {
        /// The name.
        name: String,
    },
    /// A violation of the protocol.
    #[error("against the protocol: {why}")]
    Protocol {
        /// The violation.
        why: ProtocolError,
    },
    /// The user does not exist, or its proof does not hold.
    #[error("password authentication failed for user \"{user}\"")]
    WrongPassword {
        /// The user's name.
        user: String,
    },
    /// Another version of the protocol than 3.
    #[error("protocol {major} is not spoken here, 3.0 is")]
    UnsupportedVersion {
        /// Its major number.
        major: u16,
    },
    /// The front shuts down.
    #[error("terminating connection due to administrator command")]
    ShuttingDown,
    /// No more sessions are taken.
    #[error("no more sessions are taken for now")]
    TooManySessions,
    /// An engine ended a result in the middle, or left the front.
    #[error("the engine was lost in the middle of a result")]
    ResultLost,
}

impl ClientError {
    /// The SQLSTATE, after PostgreSQL's table of error codes.
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
            ClientError::ResultLost => "08006",
        }
    }

    /// Appends it to `out` as an error message; after one that is fatal the connection ends.
    pub fn write(&self, out: &mut Vec<u8>, fatal: bool) {
        let severity: &[u8] = if fatal { b"FATAL" } else { b"ERROR" };
        write(out, b'E', |out| {
            let mut field = |kind: u8, value: &[u8]| {
                out.push(kind);
                // Guards against a name of the client's that holds the byte which ends a field.
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

/// Whether an engine's error, by its SQLSTATE, is the engine's fault rather than the statement's: it is short
/// of resources, shutting down or broken. What a client or a time limit ended is not.
pub fn is_engine_fault(code: &[u8]) -> bool {
    let class = code.get(..2).unwrap_or_default();
    matches!(class, b"53" | b"58" | b"XX" | b"08" | b"F0") || class == b"57" && code != b"57014"
}

#[cfg(test)]
#[path = "client_error_tests.rs"]
mod tests;
