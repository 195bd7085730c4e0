//! A rule set compiled so that the cost of a decision hardly grows with the number of rules: a
//! table keyed by the fields that rules name, in which each entry divides the table groups into
//! ranges and lists the rules of each range in order of precedence.

mod compare;
mod shadow;
mod table;
mod verdict;

use std::collections::HashMap;

use crate::rule::{Attributes, DefaultEffect, MatchedRules, RateLimit, RuleEffect, RuleSet};
use crate::shares::Limit;

use table::{fields, names_field, Cell, FieldMask, FieldNumbers, Table, FIELDS};
pub use verdict::Verdict;

/// The number of table groups evaluated for one statement; with more, its groups count as unknown.
const MAX_GROUPS: usize = 16;
/// The reason of a denial for unknown table groups.
const GROUPS_UNKNOWN: &str =
    "the groups of tables that it reads cannot be told, and a rule bars some";
/// The reason of a denial by the default.
const NO_RULE_ALLOWS: &str = "no rule allows it";

/// A rule set compiled for lookup.
#[derive(Clone, Debug)]
pub struct Index {
    /// The rule set that the index was compiled from.
    pub set: RuleSet,
    /// For each field, the number assigned to each value that rules name.
    value_numbers: [HashMap<String, u32>; FIELDS],
    /// The rules that decide.
    deciding_rules: Table,
    /// The rules that only count.
    counting_rules: Table,
}

impl Index {
    /// Compiles a rule set. Rules of one customer, workload and front whose table ranges overlap
    /// are listed once for each range of groups that they cover.
    pub fn new(set: RuleSet) -> Index {
        let mut value_numbers: [HashMap<String, u32>; FIELDS] = Default::default();
        let mut deciding: HashMap<FieldNumbers, Vec<u32>> = HashMap::new();
        let mut counting = deciding.clone();
        for (at, rule) in set.rules.iter().enumerate() {
            let mut numbers: FieldNumbers = Default::default();
            for (field, name) in fields(rule).into_iter().enumerate() {
                if let Some(name) = name {
                    let next = value_numbers[field].len() as u32 + 1;
                    numbers[field] = *value_numbers[field].entry(name.clone()).or_insert(next);
                }
            }
            let rules = match rule.effect {
                RuleEffect::Count => &mut counting,
                RuleEffect::Deny { .. } | RuleEffect::Allow { .. } => &mut deciding,
            };
            rules.entry(numbers).or_default().push(at as u32);
        }
        Index {
            value_numbers,
            deciding_rules: Table::new(&set, deciding),
            counting_rules: Table::new(&set, counting),
            set,
        }
    }

    /// Returns the rules that match a statement.
    pub fn find(&self, attributes: &Attributes, wall_ms: u64) -> MatchedRules {
        let names = [attributes.customer, attributes.workload, attributes.front];
        let number = |field: usize| self.value_numbers[field].get(names[field]).copied();
        let numbers = [0, 1, 2].map(number);
        let first = |table: &Table| self.find_first(table, &numbers, attributes, wall_ms);
        MatchedRules {
            deciding: first(&self.deciding_rules),
            counting: first(&self.counting_rules),
        }
    }

    /// Returns the first rule of a table that matches a statement and is active now. `numbers` are
    /// those of the statement's values, `None` where no rule names the value.
    fn find_first(
        &self,
        table: &Table,
        numbers: &[Option<u32>; FIELDS],
        attributes: &Attributes,
        wall_ms: u64,
    ) -> Option<usize> {
        let mut first_rule = None::<u32>;
        for mask in &table.masks {
            let key = entry_key(*mask, numbers);
            let Some(cell) = key.and_then(|key| table.cells.get(&key)) else {
                continue;
            };
            for list in [
                Some(&cell.without_tables),
                rules_for_tables(cell, attributes),
            ]
            .into_iter()
            .flatten()
            {
                let found = list
                    .iter()
                    .take_while(|at| first_rule.is_none_or(|first_rule| **at < first_rule))
                    .find(|at| {
                        let rule = self.set.rules.get(**at as usize);
                        rule.is_some_and(|rule| rule.applies_at(attributes, wall_ms))
                    });
                first_rule = found.copied().or(first_rule);
            }
        }
        first_rule.map(|at| at as usize)
    }

    /// Evaluates a statement for all table groups that it reads; a location barred for one group is
    /// barred for the statement. `None` means that the groups are unknown.
    pub fn evaluate(
        &self,
        attributes: &Attributes,
        groups: Option<&[u32]>,
        wall_ms: u64,
    ) -> Verdict {
        let evaluate = |group: Option<u32>, tables_known: bool| {
            let attributes = Attributes {
                group,
                tables_known,
                ..*attributes
            };
            self.evaluate_group(&attributes, wall_ms)
        };
        let Some(groups) = groups.filter(|groups| groups.len() <= MAX_GROUPS) else {
            return evaluate(None, false);
        };
        let verdicts = groups.iter().map(|group| evaluate(Some(*group), true));
        verdicts
            .reduce(Verdict::intersect)
            .unwrap_or_else(|| evaluate(None, true))
    }

    fn evaluate_group(&self, attributes: &Attributes, wall_ms: u64) -> Verdict {
        let matched = self.find(attributes, wall_ms);
        let deciding = matched.deciding.and_then(|at| self.set.rules.get(at));
        let mut verdict = Verdict {
            version: self.set.version,
            rule: matched.deciding,
            counting_rule: matched.counting,
            limits: Vec::new(),
            denied: None,
            allowed: None,
        };
        let Some(rule) = deciding else {
            if self.set.default == DefaultEffect::Deny {
                verdict.denied = Some(NO_RULE_ALLOWS.to_string());
            }
            return verdict;
        };
        if rule.limit.is_some() {
            verdict.limits.extend(matched.deciding);
        }
        let groups_unknown = attributes.group.is_none() && rule.tables.is_some();
        match &rule.effect {
            _ if groups_unknown => verdict.denied = Some(GROUPS_UNKNOWN.to_string()),
            RuleEffect::Deny { reason } => verdict.denied = Some(reason.clone()),
            RuleEffect::Allow { locations } => verdict.allowed.clone_from(locations),
            RuleEffect::Count => {}
        }
        verdict
    }

    /// Returns the limits that a verdict counts against.
    pub fn limits(&self, verdict: &Verdict) -> Vec<Limit> {
        let rules = verdict
            .limits
            .iter()
            .filter_map(|at| self.set.rules.get(*at));
        rules
            .filter_map(|rule| {
                let RateLimit {
                    max_statements,
                    window,
                } = rule.limit?;
                Some(Limit {
                    rule: rule.name.clone(),
                    max_statements,
                    window,
                })
            })
            .collect()
    }

    /// Returns the name of the rule at an index of the set; empty if there is no such rule.
    pub fn rule_name(&self, rule: usize) -> &str {
        self.set.rules.get(rule).map_or("", |rule| &rule.name)
    }
}

/// Returns the key of the entry whose rules name the fields of a mask; `None` if no rule names one
/// of the statement's values.
fn entry_key(mask: FieldMask, numbers: &[Option<u32>; FIELDS]) -> Option<FieldNumbers> {
    let mut key: FieldNumbers = Default::default();
    for (field, number) in numbers.iter().enumerate() {
        if names_field(mask, field) {
            key[field] = (*number)?;
        }
    }
    Some(key)
}

/// Returns the rules of an entry for the tables that a statement reads.
fn rules_for_tables<'a>(cell: &'a Cell, attributes: &Attributes) -> Option<&'a Vec<u32>> {
    match attributes.group {
        Some(group) => cell.rules_for_group(group),
        None if attributes.tables_known => None,
        None => Some(&cell.restrictive),
    }
}
