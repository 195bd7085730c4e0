//! A file of rules as a whole.

use serde_json::Value;

use super::reader::{whole, Reader};
use super::RulesCommand;
use crate::error::Problem;
use crate::rule::{DefaultEffect, Rule, RuleSet};

const MOST_RULES: usize = 200_000; // rules; twice what the cost of a decision was measured with
const KEYS: &str = "version, default, rules, roll_back_to, what_if";

impl Reader<'_> {
    pub fn file(&mut self, text: &str) -> Option<RulesCommand> {
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
}
