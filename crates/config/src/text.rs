//! Reading of configuration files, and positions of errors in them.

use serde::Deserialize;

use crate::error::{Error, KeyProblem, TextPosition};
use crate::key_lines::line_of;
use crate::scanner::{Scanner, Token, TokenOnLine};

/// Maximum nesting depth of brackets: the parsers use a stack frame for each level.
const MAX_NESTING_DEPTH: usize = 64;

/// Reads the UTF-8 file that an environment variable names.
pub fn read_file(variable: &'static str, path: &str) -> Result<String, Error> {
    let unreadable = |e: std::io::Error| Error::UnreadableFile {
        variable,
        path: path.to_string(),
        reason: e.to_string(),
    };
    decode_utf8(std::fs::read(path).map_err(unreadable)?).map_err(|e| e.in_file(variable, path))
}

fn decode_utf8(bytes: Vec<u8>) -> Result<String, Error> {
    String::from_utf8(bytes).map_err(|e| {
        let valid = &e.as_bytes()[..e.utf8_error().valid_up_to()];
        Error::NotUtf8 {
            position: end_position(&String::from_utf8_lossy(valid)),
        }
    })
}

/// The position directly after the end of a text.
fn end_position(text: &str) -> TextPosition {
    let last_line = text.rsplit('\n').next().unwrap_or_default();
    TextPosition {
        line: Some(1 + text.matches('\n').count()),
        column: Some(1 + last_line.chars().count()),
        path: String::new(),
    }
}

/// Rejects a text whose brackets are nested deeper than any key, before a recursive parser reads
/// it.
pub fn check_depth(text: &str) -> Result<(), Error> {
    let mut open = 0usize;
    for TokenOnLine { token, line } in Scanner::new(text) {
        match token {
            Token::Punctuation('{' | '[') => open += 1,
            Token::Punctuation('}' | ']') => open = open.saturating_sub(1),
            _ => {}
        }
        if open > MAX_NESTING_DEPTH {
            let position = TextPosition {
                line: Some(line),
                ..TextPosition::default()
            };
            return Err(Error::TooDeep {
                position,
                max_depth: MAX_NESTING_DEPTH,
            });
        }
    }
    Ok(())
}

/// A JSON text that is part of a larger text.
pub struct Section<'a> {
    /// The path of its key in the larger text.
    pub name: &'a str,
    pub text: &'a str,
    /// Number of lines of the larger text that precede this section.
    pub line_offset: usize,
}

impl<'a> Section<'a> {
    /// The position of a key of this section; `path` is relative to the section.
    pub fn position(&self, path: &str) -> TextPosition {
        let line = Some(line_of(self.text, path).unwrap_or(1) + self.line_offset);
        TextPosition {
            line,
            column: None,
            path: join_path(self.name, path),
        }
    }

    /// An error for a key of this section.
    pub fn error(&self, path: &str, problem: impl Into<KeyProblem>) -> Error {
        Error::Key {
            position: self.position(path),
            problem: Box::new(problem.into()),
        }
    }

    /// Deserializes the section as JSON and ignores unknown keys.
    pub fn read<T: Deserialize<'a>>(&self) -> Result<T, Error> {
        let mut reader = serde_json::Deserializer::from_str(self.text);
        let read = serde_path_to_error::deserialize(&mut reader);
        let read = read.map_err(|e| self.parse_error(&e.path().to_string(), e.inner()))?;
        reader.end().map_err(|e| self.parse_error("", &e))?;
        Ok(read)
    }

    fn parse_error(&self, path: &str, error: &serde_json::Error) -> Error {
        let text = error.to_string();
        let reason = text
            .rsplit_once(" at line ")
            .map_or(text.as_str(), |(reason, _)| reason)
            .to_string();
        let reported = TextPosition {
            line: Some(error.line() + self.line_offset),
            // Columns on the section's first line count from the start of the section, which is the
            // start of the line only if no line precedes it.
            column: (self.line_offset == 0 || error.line() > 1).then_some(error.column()),
            path: join_path(self.name, path),
        };
        if !error.is_data() {
            return Error::Malformed {
                position: reported,
                reason,
            };
        }
        let mut position = self.position(path);
        if position.line == reported.line {
            position.column = reported.column;
        }
        let problem = KeyProblem::Rejected {
            reason,
            hint: "docs/configuration.md describes each key",
        };
        Error::Key {
            position,
            problem: Box::new(problem),
        }
    }
}

/// Joins a section's path and a path within it. Trailing `?` steps, which the library could not
/// name, are dropped.
fn join_path(name: &str, path: &str) -> String {
    let path = path.trim_end_matches(['.', '?']);
    match (name, path) {
        (name, "") => name.to_string(),
        ("", path) => path.to_string(),
        (name, path) => format!("{name}.{path}"),
    }
}

/// Number of lines of `text` before `section`, which must be a slice of `text`; 0 if it is not.
pub fn lines_before(text: &str, section: &str) -> usize {
    let offset = (section.as_ptr() as usize).checked_sub(text.as_ptr() as usize);
    let before = offset.and_then(|offset| text.get(..offset));
    before.map_or(0, |before| before.matches('\n').count())
}
