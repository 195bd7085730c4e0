//! Writes JSON with a line for each key and element, so that the line of each is known, with one thing changed.

use std::collections::BTreeMap;

use serde_json::Value;

/// What becomes of the value at a path.
#[derive(Clone, Debug)]
pub enum Change {
    Nothing,
    /// Another text stands in its place.
    Becomes(String),
    Goes,
    /// It stands there twice.
    Doubles,
    /// The object there has a key more.
    Gains(String, String),
}

pub struct LaidOut {
    pub text: String,
    /// The line of each path.
    pub lines: BTreeMap<String, usize>,
}

/// Paths of all values, as errors word them.
pub fn paths(value: &Value) -> Vec<String> {
    laid_out(value, "", &Change::Nothing).lines.into_keys().filter(|path| !path.is_empty()).collect()
}

pub fn laid_out(value: &Value, at: &str, change: &Change) -> LaidOut {
    let mut out = LaidOut { text: String::new(), lines: BTreeMap::from([(String::new(), 1)]) };
    out.write(value, "", at, change);
    out.text.push('\n');
    out
}

impl LaidOut {
    fn write(&mut self, value: &Value, path: &str, at: &str, change: &Change) {
        let entries: Vec<(String, String, &Value)> = match value {
            Value::Object(map) => {
                let key = |key: &String| format!("{}: ", Value::from(key.as_str()));
                let below =
                    |key: &String| if path.is_empty() { key.clone() } else { format!("{path}.{key}") };
                map.iter().map(|(k, value)| (below(k), key(k), value)).collect()
            }
            Value::Array(list) => {
                let below = |n: usize| format!("{path}[{n}]");
                list.iter().enumerate().map(|(n, value)| (below(n), String::new(), value)).collect()
            }
            _ => return self.text.push_str(&value.to_string()),
        };
        self.text.push(if value.is_object() { '{' } else { '[' });
        let mut first = true;
        let next = |out: &mut LaidOut, first: &mut bool| {
            out.text.push_str(if std::mem::take(first) { "\n" } else { ",\n" });
        };
        for (below, key, value) in entries {
            let times = match change {
                Change::Goes if below == at => 0,
                Change::Doubles if below == at => 2,
                _ => 1,
            };
            for _ in 0..times {
                next(self, &mut first);
                let line = 1 + self.text.matches('\n').count();
                self.lines.entry(below.clone()).or_insert(line);
                self.text.push_str(&key);
                match change {
                    Change::Becomes(text) if below == at => self.text.push_str(text),
                    _ => self.write(value, &below, at, change),
                }
            }
        }
        if let (Change::Gains(key, text), true) = (change, path == at && value.is_object()) {
            next(self, &mut first);
            let line = 1 + self.text.matches('\n').count();
            self.lines.insert(if path.is_empty() { key.clone() } else { format!("{path}.{key}") }, line);
            self.text.push_str(&format!("{}: {text}", Value::from(key.as_str())));
        }
        self.text.push_str(if value.is_object() { "\n}" } else { "\n]" });
    }
}
