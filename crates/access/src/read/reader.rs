//! Reads values of a file, and gathers what is wrong with them.

use serde_json::{Map, Value};

use crate::error::Problem;
use crate::known::KnownNames;

pub(super) struct Reader<'a> {
    pub known: &'a KnownNames,
    pub errors: Vec<(String, Problem)>,
}

impl Reader<'_> {
    pub fn problem<T>(&mut self, path: &str, what: Problem) -> Option<T> {
        self.errors.push((path.to_string(), what));
        None
    }

    pub fn keys(&mut self, path: &str, object: &Map<String, Value>, known: &'static str) {
        for key in object
            .keys()
            .filter(|key| !known.split(", ").any(|k| k == *key))
        {
            let path = if path.is_empty() {
                key.clone()
            } else {
                format!("{path}.{key}")
            };
            self.errors.push((path, Problem::Key { known }));
        }
    }

    pub fn text(&mut self, path: &str, object: &Map<String, Value>, key: &str) -> Option<String> {
        match object.get(key)? {
            Value::String(text) if !text.is_empty() => Some(text.clone()),
            _ => self.problem(&format!("{path}.{key}"), Problem::Kind { needs: "text" }),
        }
    }

    /// A name out of a list; where the list is empty any will do.
    pub fn name(
        &mut self,
        path: &str,
        object: &Map<String, Value>,
        key: &str,
        list: &'static str,
        known: Vec<String>,
    ) -> Option<String> {
        let name = self.text(path, object, key)?;
        if known.is_empty() || known.contains(&name) {
            return Some(name);
        }
        self.problem(
            &format!("{path}.{key}"),
            Problem::Name {
                name,
                list,
                known: known.join(", "),
            },
        )
    }
}

/// JSON5 has one kind of number; whole ones may be written with a point.
pub(super) fn number(value: &Value) -> Option<i64> {
    let fits = |f: &f64| f.fract() == 0.0 && f.abs() < 9e15;
    value
        .as_i64()
        .or_else(|| value.as_f64().filter(fits).map(|f| f as i64))
}

pub(super) fn whole(value: &Value) -> Option<u64> {
    number(value).and_then(|n| u64::try_from(n).ok())
}
