//! Reads values of a rules file and collects the errors.

use serde_json::{Map, Value};

use crate::error::{LocatedProblem, Problem};
use crate::known::KnownNames;

/// Reads a file against the names that rules may use.
pub(super) struct Reader<'a> {
    pub known: &'a KnownNames,
    pub errors: Vec<LocatedProblem>,
}

impl Reader<'_> {
    /// Reports an error and returns `None` in place of the value that could not be read.
    pub fn fail<T>(&mut self, path: &str, problem: Problem) -> Option<T> {
        self.report(path.to_string(), problem);
        None
    }

    /// Reports an error.
    pub fn report(&mut self, path: String, problem: Problem) {
        self.errors.push(LocatedProblem { path, problem });
    }

    /// Reports the keys of an object that are not in `known`, a list separated by commas.
    pub fn check_keys(&mut self, path: &str, object: &Map<String, Value>, known: &'static str) {
        for key in object
            .keys()
            .filter(|key| !known.split(", ").any(|k| k == *key))
        {
            let path = if path.is_empty() {
                key.clone()
            } else {
                format!("{path}.{key}")
            };
            self.report(path, Problem::UnknownKey { known });
        }
    }

    /// Reads a non-empty text; `None` if the key is missing or its value is no such text.
    pub fn read_text(
        &mut self,
        path: &str,
        object: &Map<String, Value>,
        key: &str,
    ) -> Option<String> {
        match object.get(key)? {
            Value::String(text) if !text.is_empty() => Some(text.clone()),
            _ => self.fail(
                &format!("{path}.{key}"),
                Problem::WrongType {
                    needs: "a non-empty text",
                },
            ),
        }
    }

    /// Reads a name that has to be on a list; an empty list allows any name.
    pub fn read_name(
        &mut self,
        path: &str,
        object: &Map<String, Value>,
        key: &str,
        list: &'static str,
        known: Vec<String>,
    ) -> Option<String> {
        let name = self.read_text(path, object, key)?;
        if known.is_empty() || known.contains(&name) {
            return Some(name);
        }
        self.fail(
            &format!("{path}.{key}"),
            Problem::UnknownName {
                name,
                list,
                known: known.join(", "),
            },
        )
    }
}

/// Below this bound, a 64-bit floating-point number represents every integer exactly.
const MAX_EXACT_INTEGER: f64 = 9e15;

/// Reads an integer. JSON5 has a single type of number, so an integer may be written with a decimal
/// point.
pub(super) fn read_integer(value: &Value) -> Option<i64> {
    let is_whole = |number: &f64| number.fract() == 0.0 && number.abs() < MAX_EXACT_INTEGER;
    value
        .as_i64()
        .or_else(|| value.as_f64().filter(is_whole).map(|number| number as i64))
}

/// Reads an integer that is not negative.
pub(super) fn read_unsigned(value: &Value) -> Option<u64> {
    read_integer(value).and_then(|n| u64::try_from(n).ok())
}
