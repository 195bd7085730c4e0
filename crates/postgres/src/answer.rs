//! Final answers that the front gives of itself, as errors that drivers understand: one table.

use crate::wire::{write, write_string};

/// Why a unit ends without an engine's answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Final {
    /// Turned away: trying again is harmless; in milliseconds when.
    Rejected {
        retry_after_ms: Option<i64>,
    },
    /// The time that it had is up.
    TimeUp,
    /// The client asked for its end.
    Cancelled,
    /// It may or may not have taken effect: its engine was lost with it.
    Unresolved,
    /// The open transaction is rolled back: nothing of it has taken effect.
    RolledBack {
        why: &'static str,
    },
    /// An open transaction stood idle too long.
    IdleTransaction,
    /// The transaction failed before; only its end is taken.
    InFailedTransaction,
    /// A setting that is missing or can't be used, by its name.
    Unfit {
        field: &'static str,
        why: &'static str,
    },
    /// What a front can't do for a session.
    NotHere {
        why: &'static str,
    },
    /// More than a session may hold.
    TooMuch {
        why: &'static str,
    },
    NoSuchStatement {
        name: String,
    },
    DuplicateStatement {
        name: String,
    },
    /// Against the protocol.
    Protocol {
        why: String,
    },
    WrongPassword {
        user: String,
    },
    NoSuchVersion {
        major: u16,
    },
    /// The front shuts down.
    ShutDown,
    /// No more sessions are taken.
    Full,
    /// An engine ended a result in the middle, or left the front.
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

    fn message(&self) -> String {
        match self {
            Final::Rejected { .. } => "the front turns this statement away; trying again is harmless".into(),
            Final::TimeUp => "canceling statement due to statement timeout".into(),
            Final::Cancelled => "canceling statement due to user request".into(),
            Final::Unresolved => "the engine was lost; the statement may or may not have taken effect".into(),
            Final::RolledBack { why } => format!("the transaction was rolled back: {why}"),
            Final::IdleTransaction => {
                "terminating transaction that stood idle for longer than allowed".into()
            }
            Final::InFailedTransaction => {
                "current transaction is aborted, commands ignored until end of transaction block".into()
            }
            Final::Unfit { field, why } => format!("{field}: {why}"),
            Final::NotHere { why } => format!("{why} can't be used through this front"),
            Final::TooMuch { why } => format!("{why}: more than a session may hold"),
            Final::NoSuchStatement { name } => format!("prepared statement \"{name}\" does not exist"),
            Final::DuplicateStatement { name } => format!("prepared statement \"{name}\" already exists"),
            Final::Protocol { why } => format!("against the protocol: {why}"),
            Final::WrongPassword { user } => format!("password authentication failed for user \"{user}\""),
            Final::NoSuchVersion { major } => format!("protocol {major} is not spoken here, 3.0 is"),
            Final::ShutDown => "terminating connection due to administrator command".into(),
            Final::Full => "no more sessions are taken for now".into(),
            Final::Broken => "the engine was lost in the middle of a result".into(),
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
            field(b'M', self.message().as_bytes());
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
mod tests {
    use super::*;
    use crate::wire::{field, message};

    #[test]
    fn a_rejection_tells_its_wait_where_a_driver_reads_it() {
        let mut out = Vec::new();
        Final::Rejected { retry_after_ms: Some(250) }.write(&mut out, false);
        let (tag, body, len) = message(&out, 1000).unwrap().unwrap();
        assert_eq!((tag, len), (b'E', out.len()));
        assert_eq!(field(body, b'C'), Some(&b"53000"[..]));
        assert_eq!(field(body, b'D'), Some(&b"retry-after-ms=250"[..]));
        out.clear();
        Final::Rejected { retry_after_ms: None }.write(&mut out, true);
        let (_, body, _) = message(&out, 1000).unwrap().unwrap();
        assert_eq!((field(body, b'D'), field(body, b'S')), (None, Some(&b"FATAL"[..])));
    }

    #[test]
    fn only_errors_that_speak_of_the_engine_are_its_fault() {
        for (code, fault) in [
            ("53200", true),
            ("57P01", true),
            ("57P03", true),
            ("58030", true),
            ("XX000", true),
            ("57014", false),
            ("42P01", false),
            ("23505", false),
            ("40001", false),
            ("", false),
        ] {
            assert_eq!(is_engine_fault(code.as_bytes()), fault, "{code}");
        }
    }
}
