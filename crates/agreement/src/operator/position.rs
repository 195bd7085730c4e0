//! Where in the operator's file an error is: the line of a key or element by its path.

use crate::error::{Error, KeyProblem, Position};

const DEEPEST: usize = 32; // steps of a path; a text of brackets alone would have marks without number

/// The error of the key at a path like `a.b[2].c`.
pub fn key_error(text: &str, path: &str, problem: impl Into<KeyProblem>) -> Error {
    let position = Position { line: line_of(text, path), column: None, path: path.to_string() };
    Error::Key { position, problem: Box::new(problem.into()) }
}

/// The error of a text that is no JSON5.
pub fn malformed(error: &json5::Error) -> Error {
    let at = error.position();
    let (line, column) = (at.map(|at| at.line + 1), at.map(|at| at.column + 1));
    Error::Malformed { position: Position { line, column, path: String::new() }, reason: reason(error) }
}

/// The error of a key that the library rejects, in a text that is JSON5.
pub fn rejected(text: &str, path: &str, error: &json5::Error) -> Error {
    let hint = "deploy/operator.example.json5 shows each key";
    key_error(text, path, KeyProblem::Rejected { reason: reason(error), hint })
}

/// The library's text without the position, which is that of the value's end.
fn reason(error: &json5::Error) -> String {
    error.to_string().split(" at line ").next().unwrap_or_default().to_string()
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
        let found = marks.iter().find(|(at, _)| at.iter().map(String::as_str).eq(wanted.iter().copied()));
        if let Some((_, line)) = found {
            return Some(*line);
        }
        wanted.pop()?;
    }
}

/// The path and line of each key and element of a JSON5 text that is known to be well-formed.
fn marks(text: &str) -> Vec<(Vec<String>, usize)> {
    let (mut marks, mut path) = (Vec::new(), Vec::<String>::new());
    let mut elements: Vec<Option<usize>> = Vec::new(); // of each open bracket: the next element, if an array
    let (mut line, mut word, mut word_line) = (1, String::new(), 1);
    let mut worded = false; // a word stands, though it may be empty
    let mut rest = text.chars().peekable();
    let mut value_next = false; // a colon came: what follows is a value
    while let Some(c) = rest.next() {
        match c {
            '\n' => line += 1,
            '/' if rest.peek() == Some(&'/') => while rest.next_if(|c| *c != '\n').is_some() {},
            '/' if rest.peek() == Some(&'*') => {
                let mut last = ' ';
                for c in rest.by_ref() {
                    line += usize::from(c == '\n');
                    if last == '*' && c == '/' {
                        break;
                    }
                    last = c;
                }
            }
            '"' | '\'' => {
                (word, word_line, worded) = (String::new(), line, true);
                while let Some(inner) = rest.next().filter(|inner| *inner != c) {
                    line += usize::from(inner == '\n');
                    word.extend(if inner == '\\' { rest.next() } else { Some(inner) });
                }
            }
            ':' if !value_next => {
                path.push(std::mem::take(&mut word));
                worded = false;
                if path.len() <= DEEPEST {
                    marks.push((path.clone(), word_line));
                }
                value_next = true;
            }
            '{' | '[' => {
                if let Some(Some(n)) = elements.last_mut() {
                    path.push(n.to_string());
                    if path.len() <= DEEPEST {
                        marks.push((path.clone(), line));
                    }
                    *n += 1;
                }
                elements.push((c == '[').then_some(0));
                value_next = false;
            }
            ',' | '}' | ']' => {
                if let Some(Some(n)) = elements.last_mut().filter(|_| worded && path.len() < DEEPEST) {
                    marks.push((path.iter().cloned().chain([n.to_string()]).collect(), word_line));
                    *n += 1;
                }
                word.clear();
                worded = false;
                if value_next {
                    path.pop();
                }
                value_next = false;
                if c != ',' {
                    elements.pop();
                    let element = matches!(elements.last(), Some(Some(_)));
                    // What closes was itself a value of a key, or an element.
                    value_next = !element && !path.is_empty();
                    if element {
                        path.pop();
                    }
                }
            }
            c if c.is_whitespace() => {}
            c => {
                if !worded {
                    word_line = line;
                }
                worded = true;
                word.push(c);
            }
        }
    }
    marks
}
