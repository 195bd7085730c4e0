//! Errors in the lines that the simulator sends.

use std::fmt;

/// Why a line of the simulator was not handled.
#[derive(Debug)]
pub enum LineError {
    /// The line is not valid UTF-8.
    NotUtf8,
    /// The protocol has no message of this name.
    UnknownMessage(String),
    /// A required field is missing.
    MissingField(&'static str),
    /// The value of a field has the wrong form.
    UnreadableField { field: &'static str, value: String },
    /// The value of a field is not a finite number.
    NotANumber(&'static str),
    /// The value of a field is neither 0 nor 1.
    NotAFlag { field: &'static str, value: String },
    /// The value of a field is none of those that the protocol defines.
    UnknownValue { field: &'static str, value: String },
    /// The settings have no workload of this index.
    UnknownWorkload(usize),
    /// No engine list of this number was sent.
    UnknownList(u32),
    /// Another message arrived before the last entry of an engine list.
    IncompleteList {
        list: u32,
        /// The number of missing entries.
        missing: usize,
    },
    /// The front that the line names was not started.
    UnknownFront,
    /// The settings of a front are invalid.
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
            LineError::UnknownValue { field, value } => {
                write!(f, "{field}: unknown word '{value}'")
            }
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
