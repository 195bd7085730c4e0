//! What is wrong with a configuration, where it stands, and what an operator can do about it. Every text reads
//! "where: what is wrong; what to do", in one line.

use std::fmt;

/// Where in a text: line and column, counted from 1, as far as they are known, and the key's path.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Place {
    pub line: Option<usize>,
    pub column: Option<usize>,
    /// Like `requestClasses[1].aimMs`; empty for the text itself.
    pub path: String,
}

impl fmt::Display for Place {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut between = "";
        if let Some(line) = self.line {
            write!(f, "line {line}")?;
            if let Some(column) = self.column {
                write!(f, ", column {column}")?;
            }
            between = ": ";
        }
        if self.path.is_empty() && !between.is_empty() {
            return Ok(());
        }
        write!(f, "{between}{}", if self.path.is_empty() { "the text" } else { &self.path })
    }
}

/// Why a configuration can't be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    #[error("{variable}: not set; set it to {meant}")]
    Unset { variable: &'static str, meant: &'static str },
    #[error("{variable}: '{value}': {said}; {remedy}")]
    Variable { variable: &'static str, value: String, said: String, remedy: &'static str },
    #[error("{variable}: {path}: can't be read: {said}; name a file that the front's user may read")]
    Unreadable { variable: &'static str, path: String, said: String },
    #[error("{place}: not UTF-8; write the file as UTF-8")]
    NotText { place: Place },
    #[error("{place}: {said}; mend the text from there on")]
    Malformed { place: Place, said: String },
    #[error("{place}: brackets stand open {most} deep; no key is meant so deep, close some")]
    Deep { place: Place, most: usize },
    #[error("{place}: {what}")]
    Key { place: Place, what: Box<What> },
    /// An error of a file, by the variable that names the file.
    #[error("{variable}: {path}: {error}")]
    InFile { variable: &'static str, path: String, error: Box<Error> },
}

/// What is wrong with a key that is in its place, or should be.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum What {
    #[error("missing in NODE_CONFIG; add it as the README shows")]
    Missing,
    #[error("missing in NODE_CONFIG, and {variable} is not set; add the key or set the variable")]
    Unsaid { variable: &'static str },
    /// As the library says it: a wrong type, a key that is missing, unknown or there twice, a number too large.
    #[error("{said}; {shown}")]
    Form { said: String, shown: &'static str },
    #[error("'{value}': {said}; {remedy}")]
    Value { value: String, said: String, remedy: &'static str },
    #[error("unknown word '{word}'; give one of {}", .known.join(", "))]
    Word { word: String, known: Vec<&'static str> },
    #[error("'{name}' is not among {whose}: {}; name one of them", listed(.known))]
    Stranger { name: String, whose: &'static str, known: Vec<String> },
    #[error("is not from {least} to {most}; give a value within")]
    Range { least: String, most: String },
    #[error("is under {least}; give no less")]
    Under { least: String },
    #[error("is over {most}; give no more")]
    Over { most: String },
    #[error("is no key: 64 hexadecimal digits; give a public key, as a front's log tells its own at start")]
    NoKey,
    /// What is wrong at one place alone.
    #[error("{what}; {remedy}")]
    Unfit { what: String, remedy: String },
}

const MOST_LISTED: usize = 16; // names in a line; of more only so many are told

fn listed(names: &[String]) -> String {
    let told: Vec<&str> = names.iter().take(MOST_LISTED).map(String::as_str).collect();
    let more = names.len().saturating_sub(told.len());
    match (told.is_empty(), more) {
        (true, _) => "none".to_string(),
        (_, 0) => told.join(", "),
        _ => format!("{} and {more} more", told.join(", ")),
    }
}

impl What {
    pub fn range(least: impl fmt::Display, most: impl fmt::Display) -> What {
        What::Range { least: least.to_string(), most: most.to_string() }
    }

    pub fn under(least: impl fmt::Display) -> What {
        What::Under { least: least.to_string() }
    }

    pub fn over(most: impl fmt::Display) -> What {
        What::Over { most: most.to_string() }
    }

    pub fn stranger(name: &str, whose: &'static str, known: &[String]) -> What {
        What::Stranger { name: name.to_string(), whose, known: known.to_vec() }
    }
}

/// "What is wrong; what to do", as it is written where it stands once.
impl From<&str> for What {
    fn from(text: &str) -> What {
        let (what, remedy) =
            text.split_once("; ").unwrap_or((text, "deploy/operator.example.json5 shows it"));
        What::Unfit { what: what.to_string(), remedy: remedy.to_string() }
    }
}

impl From<String> for What {
    fn from(text: String) -> What {
        What::from(text.as_str())
    }
}

/// For callers whose errors are words for a person.
impl From<Error> for String {
    fn from(error: Error) -> String {
        error.to_string()
    }
}

impl Error {
    /// As the error of the file that a variable names, where it is one of a text.
    pub(crate) fn in_file(self, variable: &'static str, path: &str) -> Error {
        match self {
            Error::NotText { .. } | Error::Malformed { .. } | Error::Deep { .. } | Error::Key { .. } => {
                Error::InFile { variable, path: path.to_string(), error: Box::new(self) }
            }
            other => other,
        }
    }
}

#[cfg(test)]
#[path = "error_tests.rs"]
mod tests;
