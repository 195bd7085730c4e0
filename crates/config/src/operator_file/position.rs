//! Where in the operator's file an error is: the line of a key or element by its path.

use std::fmt;

use crate::error::{Error, KeyProblem, TextPosition};
use crate::scanner::{Scanner, Token};

const DEEPEST: usize = 32; // steps of a path; a text of brackets alone would have marks without number

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
    pub fn refuse<T>(&self, key: &str, problem: impl Into<KeyProblem>) -> Result<T, Error> {
        Err(key_error(
            self.text,
            &format!("{}.{key}", self.section),
            problem,
        ))
    }

    /// Refuses a number that is not from `least` to `most`.
    pub fn range<T: PartialOrd + Copy + fmt::Display>(
        &self,
        key: &str,
        value: T,
        least: T,
        most: T,
    ) -> Result<(), Error> {
        match (least..=most).contains(&value) {
            true => Ok(()),
            false => self.refuse(key, KeyProblem::out_of_range(least, most)),
        }
    }

    /// Refuses a name that is not among those of another part of the configuration, which `whose` names.
    pub fn known(
        &self,
        key: &str,
        name: &str,
        whose: &'static str,
        known: &[String],
    ) -> Result<(), Error> {
        match known.iter().any(|other| other == name) {
            true => Ok(()),
            false => self.refuse(key, KeyProblem::unknown_name(name, whose, known)),
        }
    }
}

/// The error of a text that is no JSON5.
pub fn malformed(error: &json5::Error) -> Error {
    let at = error.position();
    let (line, column) = (at.map(|at| at.line + 1), at.map(|at| at.column + 1));
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

/// The line on which the value at a path like `a.b[2].c` begins, or that of its nearest parent that is there.
pub fn line_of(text: &str, path: &str) -> Option<usize> {
    let parts = path.replace('[', ".").replace(']', "");
    let mut wanted: Vec<&str> = parts.split('.').filter(|p| !p.is_empty()).collect();
    wanted.truncate(DEEPEST);
    if wanted.is_empty() {
        return None;
    }
    let marks = marks(text);
    loop {
        let found = marks
            .iter()
            .find(|(at, _)| at.iter().map(String::as_str).eq(wanted.iter().copied()));
        if let Some((_, line)) = found {
            return Some(*line);
        }
        wanted.pop()?;
    }
}

/// The path and line of each key and element of a JSON5 text that is known to be well-formed.
fn marks(text: &str) -> Vec<(Vec<String>, usize)> {
    let mut marks = Marks::default();
    for (token, line) in Scanner::new(text) {
        match token {
            Token::Word(word) => marks.word = Some((word, line)),
            Token::Punctuation(':') => marks.key(),
            Token::Punctuation('{') => marks.open(line, false),
            Token::Punctuation('[') => marks.open(line, true),
            Token::Punctuation(',') => marks.value_ends(),
            Token::Punctuation(_) => marks.close(),
        }
    }
    marks.found
}

/// The marks of the text so far, and where in it the next token is.
#[derive(Default)]
struct Marks {
    found: Vec<(Vec<String>, usize)>,
    /// The path of the value that comes next, or is open.
    path: Vec<String>,
    /// Of each open bracket: the number of its next element, if it is an array's.
    elements: Vec<Option<usize>>,
    /// The last word and its line, until it is known whether it is a key or a value.
    word: Option<(String, usize)>,
    /// A colon came: what follows is a value.
    value_next: bool,
}

impl Marks {
    /// Marks the path; one that is too deep is not so much as copied, as it may be as long as the text.
    fn mark(&mut self, line: usize) {
        if self.path.len() <= DEEPEST {
            self.found.push((self.path.clone(), line));
        }
    }

    /// The last word is a key.
    fn key(&mut self) {
        if self.value_next {
            return; // not so in a well-formed text
        }
        let (key, line) = self.word.take().unwrap_or((String::new(), 1));
        self.path.push(key);
        self.mark(line);
        self.value_next = true;
    }

    /// An object or an array begins; as an element of an array it has a mark.
    fn open(&mut self, line: usize, array: bool) {
        if let Some(Some(number)) = self.elements.last_mut() {
            self.path.push(number.to_string());
            *number += 1;
            self.mark(line);
        }
        self.elements.push(array.then_some(0));
        self.value_next = false;
    }

    /// A value is over; where it was a word that is an element, it has a mark.
    fn value_ends(&mut self) {
        let word = self.word.take();
        if let (Some(Some(number)), Some((_, line))) = (self.elements.last_mut(), word) {
            self.path.push(number.to_string());
            *number += 1;
            self.mark(line);
            self.path.pop();
        }
        if self.value_next {
            self.path.pop();
        }
        self.value_next = false;
    }

    /// An object or an array is over, and with it the last value in it.
    fn close(&mut self) {
        self.value_ends();
        self.elements.pop();
        let element = matches!(self.elements.last(), Some(Some(_)));
        // What closes was itself a value of a key, or an element.
        self.value_next = !element && !self.path.is_empty();
        if element {
            self.path.pop();
        }
    }
}
