//! A set compiled, so that the cost of a decision hardly grows with its rules: a table by the fields that rules name,
//! and within each entry the tables' groups cut into ranges with the rules of each in order.

mod compare;
mod shadow;
mod table;
mod verdict;

use std::collections::HashMap;

use crate::rule::{Attributes, DefaultEffect, MatchedRules, RateLimit, RuleEffect, RuleSet};
use crate::shares::Limit;

use table::{fields, names_field, Cell, FieldMask, FieldNumbers, Table, FIELDS};
pub use verdict::Verdict;

/// Groups of tables of one statement; with more they count as unknown.
const MAX_GROUPS: usize = 16;
/// Why a statement is denied whose groups are unknown.
const GROUPS_UNKNOWN: &str =
    "the groups of tables that it reads cannot be told, and a rule bars some";
/// Why a statement is denied by the default.
const NO_RULE_ALLOWS: &str = "no rule allows it";

/// A rule set compiled for look-up.
#[derive(Clone, Debug)]
pub struct Index {
    /// The rules it was compiled from.
    pub set: RuleSet,
    /// The numbers of the values that rules name, by field.
    value_numbers: [HashMap<String, u32>; FIELDS],
    /// The rules that decide.
    deciding_rules: Table,
    /// The rules that only count.
    counting_rules: Table,
}

impl Index {
    /// Compiles a set. Rules of one customer, workload and front whose table ranges overlap are listed once for
    /// each range of groups that they cover.
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

    /// The rules about a statement.
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

    /// The first rule of a table that is about a statement and holds now. `numbers` are those of the statement's
    /// fields, where some rule names them.
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

    /// Judges a statement by all groups of tables that it reads: barred for one is barred for all.
    /// None: they are unknown.
    pub fn judge(&self, attributes: &Attributes, groups: Option<&[u32]>, wall_ms: u64) -> Verdict {
        let judge = |group: Option<u32>, tables_known: bool| {
            let attributes = Attributes {
                group,
                tables_known,
                ..*attributes
            };
            self.judge_group(&attributes, wall_ms)
        };
        let Some(groups) = groups.filter(|groups| groups.len() <= MAX_GROUPS) else {
            return judge(None, false);
        };
        let verdicts = groups.iter().map(|group| judge(Some(*group), true));
        verdicts
            .reduce(Verdict::intersect)
            .unwrap_or_else(|| judge(None, true))
    }

    fn judge_group(&self, attributes: &Attributes, wall_ms: u64) -> Verdict {
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

    /// The limits that a verdict holds a statement to.
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

    /// The name of a rule, by its place in the order.
    pub fn rule_name(&self, rule: usize) -> &str {
        self.set.rules.get(rule).map_or("", |rule| &rule.name)
    }
}

/// The key of the entry whose rules name the fields of a mask; None where no rule names a value of the statement.
fn entry_key(mask: FieldMask, numbers: &[Option<u32>; FIELDS]) -> Option<FieldNumbers> {
    let mut key: FieldNumbers = Default::default();
    for (field, number) in numbers.iter().enumerate() {
        if names_field(mask, field) {
            key[field] = (*number)?;
        }
    }
    Some(key)
}

/// The rules of an entry about the tables that a statement reads.
fn rules_for_tables<'a>(cell: &'a Cell, attributes: &Attributes) -> Option<&'a Vec<u32>> {
    match attributes.group {
        Some(group) => cell.rules_for_group(group),
        None if attributes.tables_known => None,
        None => Some(&cell.restrictive),
    }
}
