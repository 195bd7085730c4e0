//! Why a line of the simulator can't be used.

use std::fmt;

/// Why a line of the simulator can't be used.
#[derive(Debug)]
pub enum LineError {
    NotUtf8,
    UnknownMessage(String),
    MissingField(&'static str),
    UnreadableField {
        field: &'static str,
        value: String,
    },
    /// A field holds something else than a finite number.
    NotANumber(&'static str),
    /// A field holds something else than 0 or 1.
    NotAFlag {
        field: &'static str,
        value: String,
    },
    /// A field holds none of the words that it may.
    UnknownValue {
        field: &'static str,
        word: String,
    },
    /// The settings have no workload of this index.
    UnknownWorkload(usize),
    /// No engine list of this number was sent.
    UnknownList(u32),
    /// An engine list is interrupted by another message.
    IncompleteList {
        list: u32,
        /// How many entries are missing.
        missing: usize,
    },
    /// The line is for a front that was not started.
    UnknownFront,
    /// The settings object of a front can't be used.
    Settings(hallmux_config::Error),
}

impl fmt::Display for LineError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            LineError::NotUtf8 => write!(f, "not UTF-8"),
            LineError::UnknownMessage(message) => write!(f, "unknown message '{message}'"),
            LineError::MissingField(field) => write!(f, "field '{field}' is missing"),
            LineError::UnreadableField { field, value } => {
                write!(f, "field '{field}' cannot be read: '{value}'")
            }
            LineError::NotANumber(field) => write!(f, "field '{field}' is no number"),
            LineError::NotAFlag { field, value } => {
                write!(f, "field '{field}' is neither 0 nor 1: '{value}'")
            }
            LineError::UnknownValue { field, word } => write!(f, "{field}: unknown word '{word}'"),
            LineError::UnknownWorkload(index) => write!(f, "no workload {index}"),
            LineError::UnknownList(list) => write!(f, "list {list} was never sent"),
            LineError::IncompleteList { list, missing } => {
                write!(f, "list {list}: {missing} more entries expected")
            }
            LineError::UnknownFront => write!(f, "the instance was not started"),
            LineError::Settings(error) => write!(f, "{error}"),
        }
    }
}

impl std::error::Error for LineError {}
