//! Finds the line of a key or an array element in a JSON or JSON5 text by its path.

use crate::scanner::{Scanner, Token, TokenOnLine};

/// Maximum number of steps of a recorded path. It bounds the memory used for a text of only
/// brackets, each of which adds a longer path.
const MAX_DEPTH: usize = 32;

/// The first line, counted from 1, of the value at a path like `a.b[2].c`, or of its nearest
/// ancestor that exists. None if not even the first step exists.
pub fn line_of(text: &str, path: &str) -> Option<usize> {
    let steps = path.replace('[', ".").replace(']', "");
    let mut wanted: Vec<&str> = steps.split('.').filter(|step| !step.is_empty()).collect();
    wanted.truncate(MAX_DEPTH);
    if wanted.is_empty() {
        return None;
    }
    let lines = path_lines(text);
    loop {
        let found = lines.iter().find(|found| found.path == wanted);
        if let Some(found) = found {
            return Some(found.line);
        }
        wanted.pop()?;
    }
}

/// The first line of the value at a path.
struct PathLine {
    path: Vec<String>,
    line: usize,
}

/// The path and line of each key and array element of a well-formed text. Another text gives
/// arbitrary lines.
fn path_lines(text: &str) -> Vec<PathLine> {
    let mut tracker = PathTracker::default();
    for TokenOnLine { token, line } in Scanner::new(text) {
        match token {
            Token::Word(text) => tracker.last_word = Some(Word { text, line }),
            Token::Punctuation(':') => tracker.begin_value(),
            Token::Punctuation('{') => tracker.open_object(line),
            Token::Punctuation('[') => tracker.open_array(line),
            Token::Punctuation(',') => tracker.end_value(),
            Token::Punctuation(_) => tracker.close(),
        }
    }
    tracker.lines
}

/// A word of the text that may be a key or a value.
struct Word {
    text: String,
    line: usize,
}

/// An object or an array whose end has not been reached.
enum Container {
    Object,
    Array {
        /// The index of the next element.
        next: usize,
    },
}

/// The paths found so far, and the position of the next token.
#[derive(Default)]
struct PathTracker {
    lines: Vec<PathLine>,
    /// The path of the value that follows or is open.
    path: Vec<String>,
    open: Vec<Container>,
    /// The last word, until it is used as a key or a value.
    last_word: Option<Word>,
    /// Whether the last step of `path` is a key of the innermost open object.
    path_ends_with_key: bool,
}

impl PathTracker {
    /// Records the line of the current path. A path over [`MAX_DEPTH`] is not copied, as it may be
    /// as long as the text.
    fn record_line(&mut self, line: usize) {
        if self.path.len() <= MAX_DEPTH {
            self.lines.push(PathLine {
                path: self.path.clone(),
                line,
            });
        }
    }

    /// Handles a colon: the last word is a key, and its value begins.
    fn begin_value(&mut self) {
        if self.path_ends_with_key {
            return; // only in a malformed text
        }
        let key = self.last_word.take().unwrap_or(Word {
            text: String::new(),
            line: 1,
        });
        self.path.push(key.text);
        self.record_line(key.line);
        self.path_ends_with_key = true;
    }

    fn open_object(&mut self, line: usize) {
        self.enter_element(line);
        self.open.push(Container::Object);
        self.path_ends_with_key = false;
    }

    fn open_array(&mut self, line: usize) {
        self.enter_element(line);
        self.open.push(Container::Array { next: 0 });
        self.path_ends_with_key = false;
    }

    /// If the innermost container is an array, extends the path to its next element. Returns
    /// whether it did.
    fn enter_element(&mut self, line: usize) -> bool {
        let Some(Container::Array { next }) = self.open.last_mut() else {
            return false;
        };
        self.path.push(next.to_string());
        *next += 1;
        self.record_line(line);
        true
    }

    /// Handles the end of a value. A pending word may be an element of an array.
    fn end_value(&mut self) {
        if let Some(word) = self.last_word.take() {
            if self.enter_element(word.line) {
                self.path.pop();
            }
        }
        if self.path_ends_with_key {
            self.path.pop();
        }
        self.path_ends_with_key = false;
    }

    /// Handles the end of an object or an array, and of the last value in it.
    fn close(&mut self) {
        self.end_value();
        self.open.pop();
        // The closed container was itself the value of a key, or an element.
        let is_element = matches!(self.open.last(), Some(Container::Array { .. }));
        self.path_ends_with_key = !is_element && !self.path.is_empty();
        if is_element {
            self.path.pop();
        }
    }
}
