//! Reads one entry of a file's list of rules.

use std::ops::RangeInclusive;

use serde_json::{Map, Value};

use super::reader::{read_integer, read_unsigned, Reader};
use crate::error::Problem;
use crate::rule::{RateLimit, Rule, RuleEffect, TableRange};
use crate::Micros;

const RULE_KEYS: &str =
    "name, customer, workload, tables, front, regions, barred, then, reason, at_most, in_ms, moves, \
     priority, from, until";
/// The number of statements that a limit may allow in its window; each takes about 8 bytes.
const MAX_STATEMENTS_RANGE: RangeInclusive<u64> = 1..=100_000;
/// The window of a limit, in milliseconds.
const WINDOW_RANGE_MS: RangeInclusive<u64> = 1_000..=86_400_000;

impl Reader<'_> {
    /// Reads an entry of the list: one rule, or three for a rule that moves tables. Returns `None`
    /// if the entry has an error.
    pub(super) fn read_rule(&mut self, file_index: usize, value: &Value) -> Option<Vec<Rule>> {
        let path = &format!("rules[{file_index}]");
        let Value::Object(fields) = value else {
            return self.fail(
                path,
                Problem::WrongType {
                    needs: "an object that describes a rule",
                },
            );
        };
        let before = self.errors.len();
        self.check_keys(path, fields, RULE_KEYS);
        let name = self.rule_name(path, fields);
        let known = self.known;
        let customer = self.customer(path, fields, &name);
        let workloads = known.workloads.iter().map(|w| w.name.clone()).collect();
        let workload = self.read_name(path, fields, "workload", "settings' workloads", workloads);
        let front = self.read_name(path, fields, "front", "regions", known.region_names());
        let tables = fields.get("tables").and_then(|t| self.tables(path, t));
        let priority = self.priority(path, fields);
        let (from_ms, until_ms) = self.period(path, fields, &name);
        let moved = fields
            .contains_key("moves")
            .then(|| self.read_move(path, fields, &name));
        let effect = match &moved {
            Some(_) => Some(RuleEffect::Allow { locations: None }),
            None => self.effect(path, fields, &name),
        };
        let limit = self.limit_if_allowing(path, fields, &name, effect.as_ref());
        let rule = Rule {
            name,
            customer,
            workload,
            tables,
            front,
            effect: effect?,
            limit,
            priority,
            from_ms,
            until_ms,
            is_move_phase: false,
            file_index,
        };
        let rules = match moved {
            Some(moved) => moved?.phases(&rule),
            None => vec![rule],
        };
        (self.errors.len() == before).then_some(rules)
    }

    fn rule_name(&mut self, path: &str, fields: &Map<String, Value>) -> String {
        if !fields.contains_key("name") {
            let needs = "a name, which the log and the counts use";
            self.report(path.to_string(), Problem::Missing { needs });
            return String::new();
        }
        self.read_text(path, fields, "name").unwrap_or_default()
    }

    fn customer(&mut self, path: &str, fields: &Map<String, Value>, rule: &str) -> Option<String> {
        let known = self.known;
        let customer = self.read_name(
            path,
            fields,
            "customer",
            "settings' customers",
            known.customers.clone(),
        );
        if let Some(customer) = customer
            .as_ref()
            .filter(|customer| !known.covers_customer(customer))
        {
            let problem = Problem::CustomerNotCovered {
                rule: rule.to_string(),
                customer: customer.clone(),
            };
            self.report(format!("{path}.customer"), problem);
        }
        customer
    }

    fn priority(&mut self, path: &str, fields: &Map<String, Value>) -> i32 {
        let Some(value) = fields.get("priority") else {
            return 0;
        };
        let priority = read_integer(value).and_then(|number| i32::try_from(number).ok());
        if priority.is_none() {
            let needs = "a whole number";
            self.report(format!("{path}.priority"), Problem::WrongType { needs });
        }
        priority.unwrap_or_default()
    }

    /// Reads the start and the end of a rule's period, in Unix milliseconds.
    fn period(&mut self, path: &str, fields: &Map<String, Value>, rule: &str) -> (u64, u64) {
        let from_ms = self.time(path, fields, "from").unwrap_or(0);
        let until_ms = self.time(path, fields, "until").unwrap_or(u64::MAX);
        if from_ms >= until_ms {
            let why = "ends before it begins";
            let remedy = "give `until` a time after `from`";
            self.report(format!("{path}.until"), conflicting_keys(rule, why, remedy));
        }
        (from_ms, until_ms)
    }

    /// Reads the limit of a rule; only a rule that allows may have one.
    fn limit_if_allowing(
        &mut self,
        path: &str,
        fields: &Map<String, Value>,
        rule: &str,
        effect: Option<&RuleEffect>,
    ) -> Option<RateLimit> {
        let limit = self.limit(path, fields, rule);
        let allows = effect.is_none_or(|effect| matches!(effect, RuleEffect::Allow { .. }));
        if limit.is_some() && !allows {
            let why = "has a limit though it does not allow";
            let remedy = "remove `at_most` and `in_ms`, or say then: 'allow'";
            self.report(
                format!("{path}.at_most"),
                conflicting_keys(rule, why, remedy),
            );
        }
        limit
    }

    fn tables(&mut self, path: &str, value: &Value) -> Option<TableRange> {
        let group = |v: &Value| read_unsigned(v).and_then(|v| u32::try_from(v).ok());
        let range = |first, last| (first <= last).then_some(TableRange { first, last });
        let tables = match value {
            Value::Array(ends) => match ends.as_slice() {
                [first, last] => group(first)
                    .zip(group(last))
                    .and_then(|(first, last)| range(first, last)),
                _ => None,
            },
            one => group(one).and_then(|one| range(one, one)),
        };
        let needs = "the number of a table group, or [first, last]";
        tables.or_else(|| self.fail(&format!("{path}.tables"), Problem::WrongType { needs }))
    }

    fn limit(&mut self, path: &str, fields: &Map<String, Value>, name: &str) -> Option<RateLimit> {
        let (max_statements, window) = (fields.get("at_most"), fields.get("in_ms"));
        if max_statements.is_some() != window.is_some() {
            let why = "has one of `at_most` and `in_ms`";
            let remedy = "give both: so many statements, in a window of so many milliseconds";
            return self.fail(path, conflicting_keys(name, why, remedy));
        }
        let Some(max_statements) = read_unsigned(max_statements?)
            .filter(|max_statements| MAX_STATEMENTS_RANGE.contains(max_statements))
        else {
            let needs = "a whole number from 1 to 100000";
            return self.fail(&format!("{path}.at_most"), Problem::WrongType { needs });
        };
        let Some(window_ms) = read_unsigned(window?).filter(|ms| WINDOW_RANGE_MS.contains(ms))
        else {
            let needs = "a whole number of milliseconds from 1000 to 86400000";
            return self.fail(&format!("{path}.in_ms"), Problem::WrongType { needs });
        };
        Some(RateLimit {
            max_statements: max_statements as u32,
            window: window_ms as Micros * 1000,
        })
    }

    /// Reads a time as Unix milliseconds.
    pub fn time(&mut self, path: &str, object: &Map<String, Value>, key: &str) -> Option<u64> {
        let text = self.read_text(path, object, key)?;
        let time = text
            .parse::<jiff::Timestamp>()
            .ok()
            .and_then(|t| u64::try_from(t.as_millisecond()).ok());
        let needs = "a time by RFC 3339, such as '2026-12-01T06:00:00Z'";
        time.or_else(|| self.fail(&format!("{path}.{key}"), Problem::WrongType { needs }))
    }

    fn effect(
        &mut self,
        path: &str,
        fields: &Map<String, Value>,
        name: &str,
    ) -> Option<RuleEffect> {
        let reason = self.read_text(path, fields, "reason");
        let regions = self.regions(path, fields, "regions");
        let barred = self.regions(path, fields, "barred");
        let keyword = match fields.get("then") {
            None => "allow",
            Some(keyword) => keyword.as_str().unwrap_or_default(),
        };
        if reason.is_some() && keyword != "deny" {
            let why = "gives a reason though it does not deny";
            let remedy = "remove `reason`, or say then: 'deny'";
            self.report(
                format!("{path}.reason"),
                conflicting_keys(name, why, remedy),
            );
        }
        let names_regions = fields.contains_key("regions") || fields.contains_key("barred");
        match keyword {
            "deny" | "count" if names_regions => {
                let why = "names regions though it does not allow";
                let remedy = "remove `regions` and `barred`, or say then: 'allow'";
                self.fail(path, conflicting_keys(name, why, remedy))
            }
            "deny" => {
                let Some(reason) = reason else {
                    let why = "denies without a reason";
                    let remedy = "give it `reason`, for the log";
                    return self.fail(path, conflicting_keys(name, why, remedy));
                };
                Some(RuleEffect::Deny { reason })
            }
            "count" => Some(RuleEffect::Count),
            "allow" if fields.contains_key("regions") && fields.contains_key("barred") => {
                let why = "has both `regions` and `barred`";
                self.fail(path, conflicting_keys(name, why, "give one of them"))
            }
            "allow" => self.allow(fields, regions, barred),
            _ => {
                let needs = "'allow', 'deny' or 'count'";
                self.fail(&format!("{path}.then"), Problem::WrongType { needs })
            }
        }
    }

    /// Builds an effect that allows the named regions, or all regions but the barred ones; `None`
    /// if their list has an error.
    fn allow(
        &self,
        fields: &Map<String, Value>,
        regions: Option<Vec<u16>>,
        barred: Option<Vec<u16>>,
    ) -> Option<RuleEffect> {
        let mut locations = None;
        if fields.contains_key("regions") {
            locations = Some(regions?);
        } else if fields.contains_key("barred") {
            let barred = barred?;
            let all = 0..self.known.locations.len() as u16;
            locations = Some(all.filter(|location| !barred.contains(location)).collect());
        }
        Some(RuleEffect::Allow { locations })
    }

    /// Reads a list of regions as location indices, ascending.
    pub fn regions(
        &mut self,
        path: &str,
        fields: &Map<String, Value>,
        key: &str,
    ) -> Option<Vec<u16>> {
        let Value::Array(names) = fields.get(key)? else {
            let needs = "a list of regions";
            return self.fail(&format!("{path}.{key}"), Problem::WrongType { needs });
        };
        let mut locations = Vec::new();
        for (at, name) in names.iter().enumerate() {
            let path = format!("{path}.{key}[{at}]");
            let name = name.as_str().unwrap_or_default();
            match self.known.region_locations(name) {
                Some(named) => locations.extend(named),
                None => {
                    let problem = self.unknown_region(name);
                    self.report(path, problem);
                }
            }
        }
        locations.sort_unstable();
        locations.dedup();
        Some(locations)
    }

    /// Returns the error for an unknown region.
    pub fn unknown_region(&self, name: &str) -> Problem {
        Problem::UnknownName {
            name: name.to_string(),
            list: "regions",
            known: self.known.region_names().join(", "),
        }
    }
}

/// Returns the error for keys that cannot be combined.
pub(super) fn conflicting_keys(rule: &str, why: &'static str, remedy: &'static str) -> Problem {
    Problem::ConflictingKeys {
        rule: rule.to_string(),
        why,
        remedy,
    }
}
