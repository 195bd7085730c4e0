//! Texts of configuration: files read whole, and where in them an error is.

use serde::Deserialize;

use crate::error::{Error, KeyProblem, TextPosition};
use crate::key_lines::line_of;
use crate::scanner::{Scanner, Token, TokenOnLine};

/// Brackets that may stand open: the readers take a stack frame for each.
const MAX_OPEN_BRACKETS: usize = 64;

/// Reads the file that a variable names.
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

/// The position behind a text.
fn end_position(text: &str) -> TextPosition {
    let last_line = text.rsplit('\n').next().unwrap_or_default();
    TextPosition {
        line: Some(1 + text.matches('\n').count()),
        column: Some(1 + last_line.chars().count()),
        path: String::new(),
    }
}

/// Refuses brackets that stand open deeper than any key is meant, before a reader that calls itself for each.
pub fn check_depth(text: &str) -> Result<(), Error> {
    let mut open = 0usize;
    for TokenOnLine { token, line } in Scanner::new(text) {
        match token {
            Token::Punctuation('{' | '[') => open += 1,
            Token::Punctuation('}' | ']') => open = open.saturating_sub(1),
            _ => {}
        }
        if open > MAX_OPEN_BRACKETS {
            let position = TextPosition {
                line: Some(line),
                ..TextPosition::default()
            };
            return Err(Error::TooDeep {
                position,
                max_depth: MAX_OPEN_BRACKETS,
            });
        }
    }
    Ok(())
}

/// A JSON text within a larger one: what its key is called reported, and on which line it begins.
pub struct Section<'a> {
    pub name: &'a str,
    pub text: &'a str,
    /// Lines of the larger text before it.
    pub line_offset: usize,
}

impl<'a> Section<'a> {
    /// Where a key of it is; the path is of this section alone.
    pub fn position(&self, path: &str) -> TextPosition {
        let line = Some(line_of(self.text, path).unwrap_or(1) + self.line_offset);
        TextPosition {
            line,
            column: None,
            path: join_path(self.name, path),
        }
    }

    /// The error of a key of it.
    pub fn error(&self, path: &str, problem: impl Into<KeyProblem>) -> Error {
        Error::Key {
            position: self.position(path),
            problem: Box::new(problem.into()),
        }
    }

    /// Reads it as JSON, passing over keys that are not known.
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
            // A column of the first line counts from where this section begins.
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
            hint: "docs/configuration.md says what is meant",
        };
        Error::Key {
            position,
            problem: Box::new(problem),
        }
    }
}

/// Steps of a path that the library could not name count as none.
fn join_path(name: &str, path: &str) -> String {
    let path = path.trim_end_matches(['.', '?']);
    match (name, path) {
        (name, "") => name.to_string(),
        ("", path) => path.to_string(),
        (name, path) => format!("{name}.{path}"),
    }
}

/// Lines of a text before a section of it, which is borrowed from it.
pub fn lines_before(text: &str, section: &str) -> usize {
    let offset = (section.as_ptr() as usize).checked_sub(text.as_ptr() as usize);
    let before = offset.and_then(|offset| text.get(..offset));
    before.map_or(0, |before| before.matches('\n').count())
}
