//! Checks of keys of the operator's file, and their errors: each names the line and the key.

use std::fmt;

use crate::error::{Error, KeyProblem, TextPosition};
use crate::key_lines::line_of;

/// The error of the key at a path like `a.b[2].c`.
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

/// Checks keys of one section of the operator's file; an error names line and key.
pub struct Checker<'a> {
    /// The whole file.
    pub text: &'a str,
    /// The section's path.
    pub section: &'static str,
}

impl Checker<'_> {
    /// The error of a key of the section.
    pub fn reject<T>(&self, key: &str, problem: impl Into<KeyProblem>) -> Result<T, Error> {
        Err(key_error(
            self.text,
            &format!("{}.{key}", self.section),
            problem,
        ))
    }

    /// Refuses a number that is not from `least` to `most`.
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

    /// Refuses a name that is not among those of another part of the configuration, which `whose` names.
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

/// The error of a text that is no JSON5.
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

/// The error of a key that the library rejects, in a text that is JSON5.
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

/// The library's text without the position, which is that of the value's end.
fn reason(error: &json5::Error) -> String {
    error
        .to_string()
        .split(" at line ")
        .next()
        .unwrap_or_default()
        .to_string()
}
