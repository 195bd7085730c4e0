//! Reads a rules file as a whole.

use serde_json::{Map, Value};

use super::reader::{read_unsigned, Reader};
use super::RulesCommand;
use crate::error::Problem;
use crate::rule::{DefaultEffect, Rule, RuleSet};

/// The number of rules allowed in a file.
const MAX_RULES: usize = 200_000;
const KEYS: &str = "version, default, rules, roll_back_to, what_if";
/// The keys allowed in a roll-back.
const ROLL_BACK_KEYS: &str = "version, roll_back_to";
/// The keys not allowed in a roll-back.
const SET_KEYS: [&str; 3] = ["rules", "default", "what_if"];

impl Reader<'_> {
    /// Returns `None` if the text cannot be used; the reader then holds the errors.
    pub fn read_file(&mut self, text: &str) -> Option<RulesCommand> {
        let value: Value = match json5::from_str(text) {
            Ok(value) => value,
            Err(e) => return self.fail("", Problem::Syntax(e.to_string())),
        };
        let Value::Object(file) = value else {
            let needs = "an object of version and rules";
            return self.fail("", Problem::WrongType { needs });
        };
        self.check_keys("", &file, KEYS);
        let version = self.version(&file);
        if let Some(to) = file.get("roll_back_to") {
            return self.roll_back(&file, version, to);
        }
        let default = self.default_effect(&file);
        let rules = self.rule_list(&file)?;
        let what_if = self.what_if(&file);
        let rules = self.rules(rules);
        let set = RuleSet::new(version?, default?, rules?);
        Some(if what_if? {
            RulesCommand::WhatIf(set)
        } else {
            RulesCommand::Replace(set)
        })
    }

    fn version(&mut self, file: &Map<String, Value>) -> Option<u64> {
        let Some(value) = file.get("version") else {
            let needs = "a whole number that grows with each change";
            return self.fail("version", Problem::Missing { needs });
        };
        let needs = "a whole number from 1";
        read_unsigned(value)
            .filter(|version| *version > 0)
            .or_else(|| self.fail("version", Problem::WrongType { needs }))
    }

    fn roll_back(
        &mut self,
        file: &Map<String, Value>,
        version: Option<u64>,
        to: &Value,
    ) -> Option<RulesCommand> {
        for key in SET_KEYS.into_iter().filter(|key| file.contains_key(*key)) {
            let known = ROLL_BACK_KEYS;
            self.report(key.to_string(), Problem::UnknownKey { known });
        }
        let needs = "the version to restore";
        let to = read_unsigned(to)
            .or_else(|| self.fail("roll_back_to", Problem::WrongType { needs }))?;
        Some(RulesCommand::RollBack {
            version: version?,
            to,
        })
    }

    fn default_effect(&mut self, file: &Map<String, Value>) -> Option<DefaultEffect> {
        let needs = "'allow' or 'deny'";
        let Some(value) = file.get("default") else {
            return self.fail("default", Problem::Missing { needs });
        };
        match value.as_str() {
            Some("allow") => Some(DefaultEffect::Allow),
            Some("deny") => Some(DefaultEffect::Deny),
            _ => self.fail("default", Problem::WrongType { needs }),
        }
    }

    fn rule_list<'v>(&mut self, file: &'v Map<String, Value>) -> Option<&'v [Value]> {
        let rules = match file.get("rules") {
            Some(Value::Array(rules)) => rules,
            None => {
                let needs = "a list of rules, which may be empty";
                return self.fail("rules", Problem::Missing { needs });
            }
            _ => {
                let needs = "a list of rules";
                return self.fail("rules", Problem::WrongType { needs });
            }
        };
        if rules.len() > MAX_RULES {
            let problem = Problem::TooManyRules {
                count: rules.len(),
                max: MAX_RULES,
            };
            return self.fail("rules", problem);
        }
        Some(rules)
    }

    /// Returns whether the file only asks what its rule set would change.
    fn what_if(&mut self, file: &Map<String, Value>) -> Option<bool> {
        let Some(value) = file.get("what_if") else {
            return Some(false);
        };
        let needs = "true or false";
        value
            .as_bool()
            .or_else(|| self.fail("what_if", Problem::WrongType { needs }))
    }

    /// Reads all rules, so that all errors are found; returns `None` if any rule has one.
    fn rules(&mut self, list: &[Value]) -> Option<Vec<Rule>> {
        let mut all = Some(Vec::new());
        for (at, value) in list.iter().enumerate() {
            match (self.read_rule(at, value), &mut all) {
                (Some(rules), Some(all)) => all.extend(rules),
                (_, all) => *all = None,
            }
        }
        all
    }
}
