//! Writes JSON with a line for each key and element, so that the line of each is known, with one thing changed.

use std::collections::BTreeMap;

use serde_json::Value;

/// A change of the value at a path.
#[derive(Clone, Debug)]
pub enum Change {
    None,
    /// By another text.
    Replace(String),
    Remove,
    /// So that it is there twice.
    Duplicate,
    /// One more key, and its value, into the object there.
    Insert(String, String),
}

pub struct Layout {
    pub text: String,
    /// The line of each path.
    pub lines: BTreeMap<String, usize>,
}

/// Paths of all values, as errors word them.
pub fn paths(value: &Value) -> Vec<String> {
    layout(value, "", &Change::None)
        .lines
        .into_keys()
        .filter(|path| !path.is_empty())
        .collect()
}

pub fn layout(value: &Value, at: &str, change: &Change) -> Layout {
    let mut out = Layout {
        text: String::new(),
        lines: BTreeMap::from([(String::new(), 1)]),
    };
    out.write(value, "", at, change);
    out.text.push('\n');
    out
}

impl Layout {
    fn write(&mut self, value: &Value, path: &str, at: &str, change: &Change) {
        let entries: Vec<(String, String, &Value)> = match value {
            Value::Object(map) => {
                let key = |key: &String| format!("{}: ", Value::from(key.as_str()));
                let below = |key: &String| {
                    if path.is_empty() {
                        key.clone()
                    } else {
                        format!("{path}.{key}")
                    }
                };
                map.iter()
                    .map(|(k, value)| (below(k), key(k), value))
                    .collect()
            }
            Value::Array(list) => {
                let below = |n: usize| format!("{path}[{n}]");
                list.iter()
                    .enumerate()
                    .map(|(n, value)| (below(n), String::new(), value))
                    .collect()
            }
            _ => return self.text.push_str(&value.to_string()),
        };
        self.text.push(if value.is_object() { '{' } else { '[' });
        let mut first = true;
        let next = |out: &mut Layout, first: &mut bool| {
            out.text
                .push_str(if std::mem::take(first) { "\n" } else { ",\n" });
        };
        for (below, key, value) in entries {
            let times = match change {
                Change::Remove if below == at => 0,
                Change::Duplicate if below == at => 2,
                _ => 1,
            };
            for _ in 0..times {
                next(self, &mut first);
                let line = 1 + self.text.matches('\n').count();
                self.lines.entry(below.clone()).or_insert(line);
                self.text.push_str(&key);
                match change {
                    Change::Replace(text) if below == at => self.text.push_str(text),
                    _ => self.write(value, &below, at, change),
                }
            }
        }
        if let (Change::Insert(key, text), true) = (change, path == at && value.is_object()) {
            next(self, &mut first);
            let line = 1 + self.text.matches('\n').count();
            self.lines.insert(
                if path.is_empty() {
                    key.clone()
                } else {
                    format!("{path}.{key}")
                },
                line,
            );
            self.text
                .push_str(&format!("{}: {text}", Value::from(key.as_str())));
        }
        self.text
            .push_str(if value.is_object() { "\n}" } else { "\n]" });
    }
}
