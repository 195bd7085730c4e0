//! The lines of keys and elements in a JSON or JSON5 text, by their paths.

use crate::scanner::{Scanner, Token, TokenOnLine};

/// Steps of a path that is looked for. Guards against a text of brackets alone, which has paths without number.
const MAX_DEPTH: usize = 32;

/// The line, counted from 1, on which the value at a path like `a.b[2].c` begins, or that of its nearest parent that
/// is there. None where not even the first step is there.
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

/// Where the value at a path begins.
struct PathLine {
    path: Vec<String>,
    line: usize,
}

/// The path and line of each key and element of a text that is known to be well-formed.
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

/// A word of the text, until it is known whether it is a key or a value.
struct Word {
    text: String,
    line: usize,
}

/// An object or an array that is open.
enum Container {
    Object,
    Array {
        /// The index of its next element.
        next: usize,
    },
}

/// The paths of the text so far, and where in it the next token is.
#[derive(Default)]
struct PathTracker {
    lines: Vec<PathLine>,
    /// The path of the value that comes next, or is open.
    path: Vec<String>,
    open: Vec<Container>,
    /// The last word.
    last_word: Option<Word>,
    /// A colon came: what follows is a value.
    expects_value: bool,
}

impl PathTracker {
    /// Notes the line of the path. A path that is too deep is not so much as copied, as it may be as long as the text.
    fn record_line(&mut self, line: usize) {
        if self.path.len() <= MAX_DEPTH {
            self.lines.push(PathLine {
                path: self.path.clone(),
                line,
            });
        }
    }

    /// The last word is a key.
    fn begin_value(&mut self) {
        if self.expects_value {
            return; // not so in a well-formed text
        }
        let key = self.last_word.take().unwrap_or(Word {
            text: String::new(),
            line: 1,
        });
        self.path.push(key.text);
        self.record_line(key.line);
        self.expects_value = true;
    }

    fn open_object(&mut self, line: usize) {
        self.enter_element(line);
        self.open.push(Container::Object);
        self.expects_value = false;
    }

    fn open_array(&mut self, line: usize) {
        self.enter_element(line);
        self.open.push(Container::Array { next: 0 });
        self.expects_value = false;
    }

    /// Where an array is open, its next element begins: the path leads there. Returns whether it does.
    fn enter_element(&mut self, line: usize) -> bool {
        let Some(Container::Array { next }) = self.open.last_mut() else {
            return false;
        };
        self.path.push(next.to_string());
        *next += 1;
        self.record_line(line);
        true
    }

    /// A value is over. A word may have been an element of an array.
    fn end_value(&mut self) {
        if let Some(word) = self.last_word.take() {
            if self.enter_element(word.line) {
                self.path.pop();
            }
        }
        if self.expects_value {
            self.path.pop();
        }
        self.expects_value = false;
    }

    /// An object or an array is over, and with it the last value in it.
    fn close(&mut self) {
        self.end_value();
        self.open.pop();
        // What closes was itself a value of a key, or an element.
        let is_element = matches!(self.open.last(), Some(Container::Array { .. }));
        self.expects_value = !is_element && !self.path.is_empty();
        if is_element {
            self.path.pop();
        }
    }
}
