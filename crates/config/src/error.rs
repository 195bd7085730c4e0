//! Errors of a configuration. Every text reads "where: what is wrong; what an operator can do", in one line.

use std::fmt;

use crate::one_line::OneLine;

/// Where in a text an error is.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TextPosition {
    /// Counted from 1; None where it is not known.
    pub line: Option<usize>,
    /// Characters, counted from 1; None where it is not known.
    pub column: Option<usize>,
    /// The path of the key, like `requestClasses[1].aimMs`; empty for the text itself.
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

/// Why a configuration can't be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// An environment variable is missing.
    #[error("{variable}: not set; set it to {expected}")]
    Unset {
        /// The variable.
        variable: &'static str,
        /// What its value has to be.
        expected: &'static str,
    },
    /// An environment variable has a value that can't be used.
    #[error("{variable}: '{}': {}; {remedy}", OneLine(.value), OneLine(.reason))]
    Variable {
        /// The variable.
        variable: &'static str,
        /// The value.
        value: String,
        /// What is wrong with it.
        reason: String,
        /// What an operator can do.
        remedy: &'static str,
    },
    /// The file that a variable names can't be read.
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
        /// The system's error.
        reason: String,
    },
    /// A text is not UTF-8 from a position on.
    #[error("{position}: not UTF-8; write the file as UTF-8")]
    NotUtf8 {
        /// From where on.
        position: TextPosition,
    },
    /// A text is no JSON, or no JSON5, from a position on.
    #[error("{position}: {}; mend the text from there on", OneLine(.reason))]
    Malformed {
        /// From where on.
        position: TextPosition,
        /// What is wrong with it.
        reason: String,
    },
    /// Brackets are nested deeper than any key.
    #[error(
        "{position}: brackets stand open {max_depth} deep; no key is meant so deep, close some"
    )]
    TooDeep {
        /// The first bracket beyond that.
        position: TextPosition,
        /// The deepest that is allowed.
        max_depth: usize,
    },
    /// A key is missing, unknown, or has a value that can't be used.
    #[error("{position}: {}", OneLine(.problem))]
    Key {
        /// Where it is.
        position: TextPosition,
        /// What is wrong.
        problem: Box<KeyProblem>,
    },
    /// An error of a file, by the variable that names the file.
    #[error("{variable}: {}: {error}", OneLine(.path))]
    InFile {
        /// The variable that names the file.
        variable: &'static str,
        /// The file's path.
        path: String,
        /// The error.
        error: Box<Error>,
    },
}

/// What is wrong with a key that is in its place, or should be.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum KeyProblem {
    /// A key that there has to be is not there.
    #[error("missing in NODE_CONFIG; add it as docs/configuration.md shows")]
    Missing,
    /// Neither the key nor the variable that stands for it is there.
    #[error("missing in NODE_CONFIG, and {variable} is not set; add the key or set the variable")]
    MissingWithVariable {
        /// The variable that can stand for the key.
        variable: &'static str,
    },
    /// In the words of the library: a wrong type, a key that is missing, unknown or there twice, a number too
    /// large.
    #[error("{reason}; {hint}")]
    Rejected {
        /// What is wrong with it.
        reason: String,
        /// Where the right form is shown.
        hint: &'static str,
    },
    /// A text from which no value can be read.
    #[error("'{value}': {reason}; {remedy}")]
    InvalidValue {
        /// The value.
        value: String,
        /// What is wrong with it.
        reason: String,
        /// What an operator can do.
        remedy: &'static str,
    },
    /// A text that is none of a fixed set.
    #[error("unknown word '{word}'; give one of {}", .known.join(", "))]
    UnknownWord {
        /// The text.
        word: String,
        /// What it may be.
        known: Vec<&'static str>,
    },
    /// A name that is not among those of another part of the configuration.
    #[error("'{name}' is not among {whose}: {}; name one of them", list_names(.known))]
    UnknownName {
        /// The name.
        name: String,
        /// What it should be among.
        whose: &'static str,
        /// The names there.
        known: Vec<String>,
    },
    /// A number that is out of its range.
    #[error("is not from {min} to {max}; give a value within")]
    OutOfRange {
        /// The lower bound.
        min: String,
        /// The upper bound.
        max: String,
    },
    /// A number under its lower bound.
    #[error("is under {min}; give no less")]
    BelowMinimum {
        /// The lower bound.
        min: String,
    },
    /// A number over its upper bound.
    #[error("is over {max}; give no more")]
    AboveMaximum {
        /// The upper bound.
        max: String,
    },
    /// A text that is no public key.
    #[error("is no key: 64 hexadecimal digits; give a public key, as a front's log tells its own at start")]
    InvalidPublicKey,
    /// A problem of one key alone.
    #[error("{problem}; {remedy}")]
    Other {
        /// What is wrong.
        problem: String,
        /// What an operator can do.
        remedy: String,
    },
}

/// Names in an error's text, which stays one line; of more only the number is given.
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
    /// A number that is not from `min` to `max`.
    pub fn out_of_range(min: impl fmt::Display, max: impl fmt::Display) -> KeyProblem {
        KeyProblem::OutOfRange {
            min: min.to_string(),
            max: max.to_string(),
        }
    }

    /// A number under `min`.
    pub fn below_minimum(min: impl fmt::Display) -> KeyProblem {
        KeyProblem::BelowMinimum {
            min: min.to_string(),
        }
    }

    /// A number over `max`.
    pub fn above_maximum(max: impl fmt::Display) -> KeyProblem {
        KeyProblem::AboveMaximum {
            max: max.to_string(),
        }
    }

    /// A name that is not among those of `whose`, which are `known`.
    pub fn unknown_name(name: &str, whose: &'static str, known: &[String]) -> KeyProblem {
        KeyProblem::UnknownName {
            name: name.to_string(),
            whose,
            known: known.to_vec(),
        }
    }
}

/// From "what is wrong; what to do".
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

/// For callers whose errors are texts.
impl From<Error> for String {
    fn from(error: Error) -> String {
        error.to_string()
    }
}

impl Error {
    /// The same as an error of the file that a variable names, where it is one of a text.
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
