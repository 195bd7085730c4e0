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
    let mut walk = Walk::default();
    for TokenOnLine { token, line } in Scanner::new(text) {
        match token {
            Token::Word(text) => walk.word = Some(Word { text, line }),
            Token::Punctuation(':') => walk.key(),
            Token::Punctuation('{') => walk.open_object(line),
            Token::Punctuation('[') => walk.open_array(line),
            Token::Punctuation(',') => walk.value_ends(),
            Token::Punctuation(_) => walk.close(),
        }
    }
    walk.found
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
struct Walk {
    found: Vec<PathLine>,
    /// The path of the value that comes next, or is open.
    path: Vec<String>,
    open: Vec<Container>,
    /// The last word.
    word: Option<Word>,
    /// A colon came: what follows is a value.
    value_next: bool,
}

impl Walk {
    /// Notes the line of the path. A path that is too deep is not so much as copied, as it may be as long as the text.
    fn note(&mut self, line: usize) {
        if self.path.len() <= MAX_DEPTH {
            self.found.push(PathLine {
                path: self.path.clone(),
                line,
            });
        }
    }

    /// The last word is a key.
    fn key(&mut self) {
        if self.value_next {
            return; // not so in a well-formed text
        }
        let key = self.word.take().unwrap_or(Word {
            text: String::new(),
            line: 1,
        });
        self.path.push(key.text);
        self.note(key.line);
        self.value_next = true;
    }

    fn open_object(&mut self, line: usize) {
        self.enter_element(line);
        self.open.push(Container::Object);
        self.value_next = false;
    }

    fn open_array(&mut self, line: usize) {
        self.enter_element(line);
        self.open.push(Container::Array { next: 0 });
        self.value_next = false;
    }

    /// Where an array is open, its next element begins: the path leads there. Returns whether it does.
    fn enter_element(&mut self, line: usize) -> bool {
        let Some(Container::Array { next }) = self.open.last_mut() else {
            return false;
        };
        self.path.push(next.to_string());
        *next += 1;
        self.note(line);
        true
    }

    /// A value is over. A word may have been an element of an array.
    fn value_ends(&mut self) {
        if let Some(word) = self.word.take() {
            if self.enter_element(word.line) {
                self.path.pop();
            }
        }
        if self.value_next {
            self.path.pop();
        }
        self.value_next = false;
    }

    /// An object or an array is over, and with it the last value in it.
    fn close(&mut self) {
        self.value_ends();
        self.open.pop();
        // What closes was itself a value of a key, or an element.
        let is_element = matches!(self.open.last(), Some(Container::Array { .. }));
        self.value_next = !is_element && !self.path.is_empty();
        if is_element {
            self.path.pop();
        }
    }
}
