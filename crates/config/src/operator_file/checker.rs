//! Checks for keys of the operator's file; each error names the line and the key.

use std::fmt;

use crate::error::{Error, KeyProblem, TextPosition};
use crate::key_lines::line_of;

/// An error for the key at a path like `a.b[2].c`.
pub fn key_error(text: &str, path: &str, problem: impl Into<KeyProblem>) -> Error {
    let position = TextPosition {
        line: line_of(text, path),
        column: None,
        path: path.to_string(),
    };
    Error::Key {
        position,
        problem: Box::new(problem.into()),
    }
}

/// Checks keys of one section of the operator's file; an error names the line and the key.
pub struct Checker<'a> {
    /// The text of the file.
    pub text: &'a str,
    /// The path of the section.
    pub section: &'static str,
}

impl Checker<'_> {
    /// Returns an error for a key of the section.
    pub fn reject<T>(&self, key: &str, problem: impl Into<KeyProblem>) -> Result<T, Error> {
        Err(key_error(
            self.text,
            &format!("{}.{key}", self.section),
            problem,
        ))
    }

    /// Rejects a number outside the range from `min` to `max`.
    pub fn require_range<T: PartialOrd + Copy + fmt::Display>(
        &self,
        key: &str,
        value: T,
        min: T,
        max: T,
    ) -> Result<(), Error> {
        match (min..=max).contains(&value) {
            true => Ok(()),
            false => self.reject(key, KeyProblem::out_of_range(min, max)),
        }
    }

    /// Rejects a name that is not in `known`, the names of another part of the configuration that
    /// `whose` describes.
    pub fn require_known(
        &self,
        key: &str,
        name: &str,
        whose: &'static str,
        known: &[String],
    ) -> Result<(), Error> {
        match known.iter().any(|other| other == name) {
            true => Ok(()),
            false => self.reject(key, KeyProblem::unknown_name(name, whose, known)),
        }
    }
}

/// The error for a text that is not well-formed JSON5.
pub fn malformed(error: &json5::Error) -> Error {
    let position = error.position();
    let (line, column) = (position.map(|p| p.line + 1), position.map(|p| p.column + 1));
    Error::Malformed {
        position: TextPosition {
            line,
            column,
            path: String::new(),
        },
        reason: reason(error),
    }
}

/// The error for a key that the JSON5 parser rejects in a well-formed text.
pub fn rejected(text: &str, path: &str, error: &json5::Error) -> Error {
    let hint = "deploy/operator.example.json5 shows each key";
    key_error(
        text,
        path,
        KeyProblem::Rejected {
            reason: reason(error),
            hint,
        },
    )
}

/// The parser's message without its position, which is the end of the value instead of its start.
fn reason(error: &json5::Error) -> String {
    error
        .to_string()
        .split(" at line ")
        .next()
        .unwrap_or_default()
        .to_string()
}
