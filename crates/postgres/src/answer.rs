//! Final answers that the front gives of itself, as errors that drivers understand: one table.

use crate::wire::{write, write_string};
use crate::ProtocolError;

/// Why a unit ends without an engine's answer.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Final {
    /// Turned away: trying again is harmless; in milliseconds when.
    #[error("the front turns this statement away; trying again is harmless")]
    Rejected { retry_after_ms: Option<i64> },
    /// The time that it had is up.
    #[error("canceling statement due to statement timeout")]
    TimeUp,
    /// The client asked for its end.
    #[error("canceling statement due to user request")]
    Cancelled,
    /// It may or may not have taken effect: its engine was lost with it.
    #[error("the engine was lost; the statement may or may not have taken effect")]
    Unresolved,
    /// The open transaction is rolled back: nothing of it has taken effect.
    #[error("the transaction was rolled back: {why}")]
    RolledBack { why: &'static str },
    /// An open transaction stood idle too long.
    #[error("terminating transaction that stood idle for longer than allowed")]
    IdleTransaction,
    /// The transaction failed before; only its end is taken.
    #[error("current transaction is aborted, commands ignored until end of transaction block")]
    InFailedTransaction,
    /// A setting that is missing or can't be used, by its name.
    #[error("{field}: {why}")]
    Unfit { field: &'static str, why: &'static str },
    /// What a front can't do for a session.
    #[error("{why} can't be used through this front")]
    NotHere { why: &'static str },
    /// More than a session may hold.
    #[error("{why}: more than a session may hold")]
    TooMuch { why: &'static str },
    #[error("prepared statement \"{name}\" does not exist")]
    NoSuchStatement { name: String },
    #[error("prepared statement \"{name}\" already exists")]
    DuplicateStatement { name: String },
    /// Against the protocol.
    #[error("against the protocol: {why}")]
    Protocol { why: ProtocolError },
    #[error("password authentication failed for user \"{user}\"")]
    WrongPassword { user: String },
    #[error("protocol {major} is not spoken here, 3.0 is")]
    NoSuchVersion { major: u16 },
    /// The front shuts down.
    #[error("terminating connection due to administrator command")]
    ShutDown,
    /// No more sessions are taken.
    #[error("no more sessions are taken for now")]
    Full,
    /// An engine ended a result in the middle, or left the front.
    #[error("the engine was lost in the middle of a result")]
    Broken,
}

impl Final {
    /// The code, after the published table of error codes.
    pub fn code(&self) -> &'static str {
        match self {
            Final::Rejected { .. } => "53000",
            Final::TimeUp | Final::Cancelled => "57014",
            Final::Unresolved => "08007",
            Final::RolledBack { .. } => "40001",
            Final::IdleTransaction => "25P03",
            Final::InFailedTransaction => "25P02",
            Final::Unfit { .. } => "22023",
            Final::NotHere { .. } => "0A000",
            Final::TooMuch { .. } => "54000",
            Final::NoSuchStatement { .. } => "26000",
            Final::DuplicateStatement { .. } => "42P05",
            Final::Protocol { .. } => "08P01",
            Final::WrongPassword { .. } => "28P01",
            Final::NoSuchVersion { .. } => "0A000",
            Final::ShutDown => "57P01",
            Final::Full => "53300",
            Final::Broken => "08006",
        }
    }

    /// Writes it as an error; one that is fatal ends the connection.
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
            if let Final::Rejected { retry_after_ms: Some(ms) } = self {
                field(b'D', format!("retry-after-ms={ms}").as_bytes());
                field(b'H', format!("try again after {ms} ms").as_bytes());
            }
            out.push(0);
        });
    }
}

/// Whether an engine's error speaks of the engine rather than of the statement: short of resources, going
/// down, broken. What a client or a time limit ended is not held against it.
pub fn is_engine_fault(code: &[u8]) -> bool {
    let class = code.get(..2).unwrap_or_default();
    matches!(class, b"53" | b"58" | b"XX" | b"08" | b"F0") || class == b"57" && code != b"57014"
}

#[cfg(test)]
#[path = "answer_tests.rs"]
mod tests;
