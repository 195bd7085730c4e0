//! Configuration errors. Every error text is one line of the form "position: problem; remedy".

use std::fmt;

use crate::one_line::OneLine;

/// The position of an error in a text.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TextPosition {
    /// The line, counted from 1; None if unknown.
    pub line: Option<usize>,
    /// The column in characters, counted from 1; None if unknown.
    pub column: Option<usize>,
    /// The path of the key, like `requestClasses[1].aimMs`; empty for the whole text.
    pub path: String,
}

impl fmt::Display for TextPosition {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let path = OneLine(&self.path); // a key may be any text
        match (self.line, self.column, self.path.is_empty()) {
            (None, _, true) => write!(f, "the text"),
            (None, _, false) => write!(f, "{path}"),
            (Some(line), None, true) => write!(f, "line {line}"),
            (Some(line), None, false) => write!(f, "line {line}: {path}"),
            (Some(line), Some(column), true) => write!(f, "line {line}, column {column}"),
            (Some(line), Some(column), false) => {
                write!(f, "line {line}, column {column}: {path}")
            }
        }
    }
}

/// The reason why a configuration can't be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// An environment variable is missing.
    #[error("{variable}: not set; set it to {expected}")]
    Unset {
        /// The variable.
        variable: &'static str,
        /// The value to set it to.
        expected: &'static str,
    },
    /// An environment variable has a value that can't be used.
    #[error("{variable}: '{}': {}; {remedy}", OneLine(.value), OneLine(.reason))]
    Variable {
        /// The variable.
        variable: &'static str,
        /// The value.
        value: String,
        /// The problem with it.
        reason: String,
        /// The remedy for an operator.
        remedy: &'static str,
    },
    /// A file that an environment variable names can't be read.
    #[error(
        "{variable}: {}: can't be read: {}; name a file that the front's user may read",
        OneLine(.path),
        OneLine(.reason)
    )]
    UnreadableFile {
        /// The variable that names the file.
        variable: &'static str,
        /// The file's path.
        path: String,
        /// The operating system's error.
        reason: String,
    },
    /// A text contains a byte sequence that is not UTF-8.
    #[error("{position}: not UTF-8; write the file as UTF-8")]
    NotUtf8 {
        /// The position of the first error.
        position: TextPosition,
    },
    /// A text is not well-formed JSON or JSON5.
    #[error("{position}: {}; correct the text from there on", OneLine(.reason))]
    Malformed {
        /// The position of the first error.
        position: TextPosition,
        /// The problem with it.
        reason: String,
    },
    /// Brackets are nested deeper than allowed.
    #[error(
        "{position}: brackets are nested over {max_depth} deep; no key is nested so deep, close some"
    )]
    TooDeep {
        /// The first bracket over the limit.
        position: TextPosition,
        /// The maximum depth.
        max_depth: usize,
    },
    /// A key is missing, unknown, or has a value that can't be used.
    #[error("{position}: {}", OneLine(.problem))]
    Key {
        /// The position of the key.
        position: TextPosition,
        /// The problem.
        problem: Box<KeyProblem>,
    },
    /// An error in a file that an environment variable names.
    #[error("{variable}: {}: {error}", OneLine(.path))]
    InFile {
        /// The variable that names the file.
        variable: &'static str,
        /// The file's path.
        path: String,
        /// The error in the file.
        error: Box<Error>,
    },
}

/// The problem with a key that is present or required.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum KeyProblem {
    /// A required key is missing.
    #[error("missing in NODE_CONFIG; add it as docs/configuration.md shows")]
    Missing,
    /// Neither the key nor the environment variable that replaces it is set.
    #[error("missing in NODE_CONFIG, and {variable} is not set; add the key or set the variable")]
    MissingWithVariable {
        /// The environment variable that can replace the key.
        variable: &'static str,
    },
    /// The parser rejected the key: a wrong type, a key that is missing, unknown or duplicated, or
    /// a number that is too large.
    #[error("{reason}; {hint}")]
    Rejected {
        /// The problem with it.
        reason: String,
        /// The document that shows the correct form.
        hint: &'static str,
    },
    /// A text that can't be parsed as a value.
    #[error("'{value}': {reason}; {remedy}")]
    InvalidValue {
        /// The value.
        value: String,
        /// The problem with it.
        reason: String,
        /// The remedy for an operator.
        remedy: &'static str,
    },
    /// A text that is not one of a fixed set.
    #[error("unknown word '{word}'; give one of {}", .known.join(", "))]
    UnknownWord {
        /// The text.
        word: String,
        /// The allowed texts.
        known: Vec<&'static str>,
    },
    /// A name that another part of the configuration does not define.
    #[error("'{name}' is not among {whose}: {}; name one of them", list_names(.known))]
    UnknownName {
        /// The name.
        name: String,
        /// The names among which it should be, such as "the settings' kinds".
        whose: &'static str,
        /// The defined names.
        known: Vec<String>,
    },
    /// A number outside its range.
    #[error("is not from {min} to {max}; give a value within")]
    OutOfRange {
        /// The lower bound.
        min: String,
        /// The upper bound.
        max: String,
    },
    /// A number below its lower bound.
    #[error("is under {min}; give no less")]
    BelowMinimum {
        /// The lower bound.
        min: String,
    },
    /// A number above its upper bound.
    #[error("is over {max}; give no more")]
    AboveMaximum {
        /// The upper bound.
        max: String,
    },
    /// A text that is not a public key.
    #[error("is not a public key of 64 hexadecimal digits; give the key that the front's log prints at start")]
    InvalidPublicKey,
    /// A problem specific to one key.
    #[error("{problem}; {remedy}")]
    Other {
        /// The problem.
        problem: String,
        /// The remedy for an operator.
        remedy: String,
    },
}

/// Maximum number of names listed in an error text, to keep the line short; only the number of the
/// remaining names is given.
const MAX_LISTED: usize = 16;

fn list_names(names: &[String]) -> String {
    let shown: Vec<&str> = names.iter().take(MAX_LISTED).map(String::as_str).collect();
    let more = names.len().saturating_sub(shown.len());
    match (shown.is_empty(), more) {
        (true, _) => "none".to_string(),
        (_, 0) => shown.join(", "),
        _ => format!("{} and {more} more", shown.join(", ")),
    }
}

impl KeyProblem {
    /// The problem of a number outside the range from `min` to `max`.
    pub fn out_of_range(min: impl fmt::Display, max: impl fmt::Display) -> KeyProblem {
        KeyProblem::OutOfRange {
            min: min.to_string(),
            max: max.to_string(),
        }
    }

    /// The problem of a number below `min`.
    pub fn below_minimum(min: impl fmt::Display) -> KeyProblem {
        KeyProblem::BelowMinimum {
            min: min.to_string(),
        }
    }

    /// The problem of a number above `max`.
    pub fn above_maximum(max: impl fmt::Display) -> KeyProblem {
        KeyProblem::AboveMaximum {
            max: max.to_string(),
        }
    }

    /// The problem of a name that is not among `known`; `whose` describes these names.
    pub fn unknown_name(name: &str, whose: &'static str, known: &[String]) -> KeyProblem {
        KeyProblem::UnknownName {
            name: name.to_string(),
            whose,
            known: known.to_vec(),
        }
    }
}

/// Splits a text of the form "problem; remedy".
impl From<&str> for KeyProblem {
    fn from(text: &str) -> KeyProblem {
        let (problem, remedy) = text
            .split_once("; ")
            .unwrap_or((text, "deploy/operator.example.json5 shows it"));
        KeyProblem::Other {
            problem: problem.to_string(),
            remedy: remedy.to_string(),
        }
    }
}

impl From<String> for KeyProblem {
    fn from(text: String) -> KeyProblem {
        KeyProblem::from(text.as_str())
    }
}

/// Converts an error for callers that report errors as texts.
impl From<Error> for String {
    fn from(error: Error) -> String {
        error.to_string()
    }
}

impl Error {
    /// Adds the environment variable and the path of the file to an error in a text. Other errors
    /// are unchanged.
    pub(crate) fn in_file(self, variable: &'static str, path: &str) -> Error {
        match self {
            Error::NotUtf8 { .. }
            | Error::Malformed { .. }
            | Error::TooDeep { .. }
            | Error::Key { .. } => Error::InFile {
                variable,
                path: path.to_string(),
                error: Box::new(self),
            },
            other => other,
        }
    }
}

#[cfg(test)]
#[path = "error_tests.rs"]
mod tests;
