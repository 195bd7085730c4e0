//! Writes JSON with each key and array element on its own line, records the lines, and applies one
//! change.

use std::collections::BTreeMap;

use serde_json::Value;

/// A change at a path.
#[derive(Clone, Debug)]
pub enum Change {
    None,
    /// Replaces the value by a text.
    Replace(String),
    Remove,
    /// Writes the key or element twice.
    Duplicate,
    /// Adds a key and the text of its value to the object at the path.
    Insert(String, String),
}

/// A written text and its lines.
pub struct Layout {
    pub text: String,
    /// The line of each path, counted from 1.
    pub lines: BTreeMap<String, usize>,
}

/// The paths of all values, as error texts write them.
pub fn paths(value: &Value) -> Vec<String> {
    layout(value, "", &Change::None)
        .lines
        .into_keys()
        .filter(|path| !path.is_empty())
        .collect()
}

/// Writes a value with a change at `changed_path`.
pub fn layout(value: &Value, changed_path: &str, change: &Change) -> Layout {
    let mut out = Layout {
        text: String::new(),
        lines: BTreeMap::from([(String::new(), 1)]),
    };
    out.write(value, "", changed_path, change);
    out.text.push('\n');
    out
}

impl Layout {
    fn write(&mut self, value: &Value, path: &str, changed_path: &str, change: &Change) {
        let entries: Vec<(String, String, &Value)> = match value {
            Value::Object(map) => {
                let key = |key: &String| format!("{}: ", Value::from(key.as_str()));
                let child_path = |key: &String| {
                    if path.is_empty() {
                        key.clone()
                    } else {
                        format!("{path}.{key}")
                    }
                };
                map.iter()
                    .map(|(k, value)| (child_path(k), key(k), value))
                    .collect()
            }
            Value::Array(list) => {
                let child_path = |n: usize| format!("{path}[{n}]");
                list.iter()
                    .enumerate()
                    .map(|(n, value)| (child_path(n), String::new(), value))
                    .collect()
            }
            _ => return self.text.push_str(&value.to_string()),
        };
        self.text.push(if value.is_object() { '{' } else { '[' });
        let mut first = true;
        let separator = |out: &mut Layout, first: &mut bool| {
            out.text
                .push_str(if std::mem::take(first) { "\n" } else { ",\n" });
        };
        for (child_path, key, value) in entries {
            let copies = match change {
                Change::Remove if child_path == changed_path => 0,
                Change::Duplicate if child_path == changed_path => 2,
                _ => 1,
            };
            for _ in 0..copies {
                separator(self, &mut first);
                let line = 1 + self.text.matches('\n').count();
                self.lines.entry(child_path.clone()).or_insert(line);
                self.text.push_str(&key);
                match change {
                    Change::Replace(text) if child_path == changed_path => self.text.push_str(text),
                    _ => self.write(value, &child_path, changed_path, change),
                }
            }
        }
        if let (Change::Insert(key, text), true) =
            (change, path == changed_path && value.is_object())
        {
            separator(self, &mut first);
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
