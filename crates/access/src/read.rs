//! A file of rules read as a whole: JSON5, every error at once with its path and line.

mod rule;

use serde_json::{Map, Value};

use crate::check;
use crate::error::{FileError, FileErrors, Problem};
use crate::known::KnownNames;
use crate::rule::{DefaultEffect, Rule, RuleSet};

const MOST_RULES: usize = 200_000; // rules; twice what the cost of a decision was measured with
const KEYS: &str = "version, default, rules, roll_back_to, what_if";

/// What a file asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RulesCommand {
    /// This set is to hold for the fleet.
    Replace(RuleSet),
    /// What this set would decide otherwise is to be told; nothing changes.
    WhatIf(RuleSet),
    /// The set of an earlier version is to hold again, under a new one.
    RollBack {
        /// The version under which the earlier set is to hold.
        version: u64,
        /// The version of the earlier set.
        to: u64,
    },
}

impl RulesCommand {
    /// The version that the file states.
    pub fn version(&self) -> u64 {
        match self {
            RulesCommand::Replace(set) | RulesCommand::WhatIf(set) => set.version,
            RulesCommand::RollBack { version, .. } => *version,
        }
    }
}

/// The line on which the value at a path like `rules[2].name` begins.
pub type LineLookup<'a> = &'a dyn Fn(&str) -> Option<usize>;

/// Reads a file's text and checks it against what is known. `file` names it in the errors.
pub fn read(
    file: &str,
    text: &str,
    known: &KnownNames,
    lines: LineLookup,
) -> Result<RulesCommand, FileErrors> {
    let mut reader = Reader {
        known,
        errors: Vec::new(),
    };
    let command = reader.file(text);
    let mut errors = reader.errors;
    if let (Some(RulesCommand::Replace(set) | RulesCommand::WhatIf(set)), true) =
        (&command, errors.is_empty())
    {
        errors = check::check(set, known, lines);
    }
    match command {
        Some(command) if errors.is_empty() => Ok(command),
        _ => {
            let at = |(path, what): (String, Problem)| FileError {
                line: lines(&path),
                path,
                what,
            };
            let mut errors: Vec<FileError> = errors.into_iter().map(at).collect();
            errors.sort_by_key(|f| f.line);
            errors.dedup(); // a rule that moves is read as three
            Err(FileErrors {
                file: file.to_string(),
                errors,
            })
        }
    }
}

pub(crate) struct Reader<'a> {
    known: &'a KnownNames,
    errors: Vec<(String, Problem)>,
}

impl Reader<'_> {
    pub(crate) fn known(&self) -> &KnownNames {
        self.known
    }

    pub(crate) fn problem<T>(&mut self, path: &str, what: Problem) -> Option<T> {
        self.errors.push((path.to_string(), what));
        None
    }

    fn file(&mut self, text: &str) -> Option<RulesCommand> {
        let value: Value = match json5::from_str(text) {
            Ok(value) => value,
            Err(e) => return self.problem("", Problem::Form(e.to_string())),
        };
        let Value::Object(file) = value else {
            return self.problem(
                "",
                Problem::Kind {
                    needs: "object of version and rules",
                },
            );
        };
        self.keys("", &file, KEYS);
        let version = match file.get("version") {
            None => self.problem(
                "version",
                Problem::Missing {
                    needs: "a whole number that grows with each change",
                },
            ),
            Some(v) => match whole(v).filter(|v| *v > 0) {
                Some(version) => Some(version),
                None => self.problem(
                    "version",
                    Problem::Kind {
                        needs: "whole number from 1",
                    },
                ),
            },
        };
        if let Some(to) = file.get("roll_back_to") {
            for key in ["rules", "default", "what_if"]
                .into_iter()
                .filter(|key| file.contains_key(*key))
            {
                self.errors.push((
                    key.to_string(),
                    Problem::Key {
                        known: "version, roll_back_to",
                    },
                ));
            }
            let to = whole(to)
                .or_else(|| self.problem("roll_back_to", Problem::Kind { needs: "version" }))?;
            return Some(RulesCommand::RollBack {
                version: version?,
                to,
            });
        }
        let default = match file.get("default").map(Value::as_str) {
            Some(Some("allow")) => Some(DefaultEffect::Allow),
            Some(Some("deny")) => Some(DefaultEffect::Deny),
            None => self.problem(
                "default",
                Problem::Missing {
                    needs: "'allow' or 'deny'",
                },
            ),
            _ => self.problem(
                "default",
                Problem::Kind {
                    needs: "'allow' or 'deny'",
                },
            ),
        };
        let rules = match file.get("rules") {
            Some(Value::Array(rules)) => rules.as_slice(),
            None => {
                return self.problem(
                    "rules",
                    Problem::Missing {
                        needs: "a list of rules, which may be empty",
                    },
                )
            }
            _ => {
                return self.problem(
                    "rules",
                    Problem::Kind {
                        needs: "list of rules",
                    },
                )
            }
        };
        if rules.len() > MOST_RULES {
            return self.problem(
                "rules",
                Problem::TooMany {
                    count: rules.len(),
                    most: MOST_RULES,
                },
            );
        }
        let asks = match file.get("what_if").map(Value::as_bool) {
            None => Some(false),
            Some(Some(asks)) => Some(asks),
            Some(None) => self.problem(
                "what_if",
                Problem::Kind {
                    needs: "true or false",
                },
            ),
        };
        let read: Vec<Option<Vec<Rule>>> = rules
            .iter()
            .enumerate()
            .map(|(at, r)| self.rule(at, r))
            .collect();
        let read: Option<Vec<Vec<Rule>>> = read.into_iter().collect();
        let set = RuleSet::new(version?, default?, read?.concat());
        Some(if asks? {
            RulesCommand::WhatIf(set)
        } else {
            RulesCommand::Replace(set)
        })
    }

    pub(crate) fn keys(&mut self, path: &str, object: &Map<String, Value>, known: &'static str) {
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

    pub(crate) fn text(
        &mut self,
        path: &str,
        object: &Map<String, Value>,
        key: &str,
    ) -> Option<String> {
        match object.get(key)? {
            Value::String(text) if !text.is_empty() => Some(text.clone()),
            _ => self.problem(&format!("{path}.{key}"), Problem::Kind { needs: "text" }),
        }
    }

    /// A name out of a list; where the list is empty any will do.
    pub(crate) fn name(
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
fn number(value: &Value) -> Option<i64> {
    let fits = |f: &f64| f.fract() == 0.0 && f.abs() < 9e15;
    value
        .as_i64()
        .or_else(|| value.as_f64().filter(fits).map(|f| f as i64))
}

pub(crate) fn whole(value: &Value) -> Option<u64> {
    number(value).and_then(|n| u64::try_from(n).ok())
}
