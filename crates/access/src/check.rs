//! Checks a rule set as a whole: rules that can never match, rules that contradict each other, and
//! workloads that no location remains for.

use std::collections::{BTreeMap, HashMap};

use crate::error::{LocatedProblem, Problem};
use crate::index::Index;
use crate::known::{KnownNames, WorkloadLocations};
use crate::lines::LineLookup;
use crate::rule::{DefaultEffect, Precedence, Rule, RuleEffect, RuleSet, TableRange};

/// Identifies rules that could decide the same statement with equal precedence: the customer,
/// workload and front that they name, and their precedence.
type Level<'a> = ([Option<&'a str>; 3], Precedence);

/// Returns all errors of a rule set.
pub(crate) fn check(set: &RuleSet, known: &KnownNames, lines: LineLookup) -> Vec<LocatedProblem> {
    let mut errors = repeated_names(set, lines);
    let index = Index::new(set.clone());
    for (at, rule) in set.rules.iter().enumerate() {
        if let Some(by) = index.shadowing_rule(at).and_then(|by| set.rules.get(by)) {
            let problem = Problem::Shadowed {
                rule: rule.name.clone(),
                by: by.name.clone(),
                line: rule_line(lines, by.file_index),
            };
            errors.push(at_rule(rule, problem));
        }
        errors.extend(barred_everywhere(rule, known));
    }
    errors.extend(contradictions(set, lines));
    let denied = known
        .workloads
        .iter()
        .filter_map(|workload| denied_to_all(set, known, workload));
    errors.extend(denied);
    errors
}

fn rule_path(rule: &Rule) -> String {
    format!("rules[{}]", rule.file_index)
}

fn at_rule(rule: &Rule, problem: Problem) -> LocatedProblem {
    LocatedProblem {
        path: rule_path(rule),
        problem,
    }
}

fn rule_line(lines: LineLookup, file_index: usize) -> usize {
    lines(&format!("rules[{file_index}]")).unwrap_or(0)
}

/// Returns an error for each rule that repeats the name of an earlier one.
fn repeated_names(set: &RuleSet, lines: LineLookup) -> Vec<LocatedProblem> {
    let mut rules: Vec<&Rule> = set.rules.iter().collect();
    rules.sort_by_key(|rule| rule.file_index);
    let mut first_indices: HashMap<&str, usize> = HashMap::new();
    let mut errors = Vec::new();
    for rule in rules {
        let first = *first_indices.entry(&rule.name).or_insert(rule.file_index);
        // A rule that moves tables is read as three rules with one file index.
        if first != rule.file_index {
            let problem = Problem::DuplicateName {
                rule: rule.name.clone(),
                line: rule_line(lines, first),
            };
            errors.push(LocatedProblem {
                path: format!("{}.name", rule_path(rule)),
                problem,
            });
        }
    }
    errors
}

/// Returns an error if a rule allows none of the locations that a workload is bound to.
fn barred_everywhere(rule: &Rule, known: &KnownNames) -> Option<LocatedProblem> {
    let RuleEffect::Allow {
        locations: Some(locations),
    } = &rule.effect
    else {
        return None;
    };
    let is_barred = |workload: &&WorkloadLocations| {
        let bound = known.bound_locations(workload);
        !bound.is_empty() && !bound.iter().any(|location| locations.contains(location))
    };
    let workload = known
        .workloads
        .iter()
        .filter(|workload| applies_to(rule, workload))
        .find(is_barred)?;
    let location = |index: u16| known.locations.get(index as usize).cloned();
    let bound: Vec<String> = known
        .bound_locations(workload)
        .into_iter()
        .filter_map(location)
        .collect();
    let problem = Problem::NoLocation {
        rule: rule.name.clone(),
        workload: workload.name.clone(),
        bound: bound.join(", "),
    };
    Some(at_rule(rule, problem))
}

fn applies_to(rule: &Rule, workload: &WorkloadLocations) -> bool {
    let named = rule.workload.as_ref();
    named.is_none_or(|name| *name == workload.name)
}

/// Returns an error for each allowing rule that contradicts another. Denials need no check: at
/// equal precedence a denial takes effect before an allowing rule, whereas two rules that allow
/// different locations have no order.
fn contradictions(set: &RuleSet, lines: LineLookup) -> Vec<LocatedProblem> {
    let mut levels: BTreeMap<Level, Vec<&Rule>> = BTreeMap::new();
    let allowing = set
        .rules
        .iter()
        .filter(|rule| matches!(rule.effect, RuleEffect::Allow { .. }));
    for rule in allowing {
        let fields = [&rule.customer, &rule.workload, &rule.front].map(|name| name.as_deref());
        let level = (fields, rule.precedence());
        levels.entry(level).or_default().push(rule);
    }
    levels
        .into_values()
        .flat_map(|level| contradictions_of_level(level, lines))
        .collect()
}

fn contradictions_of_level(mut level: Vec<&Rule>, lines: LineLookup) -> Vec<LocatedProblem> {
    level.sort_by_key(|rule| (table_range(rule), rule.file_index));
    let mut errors = Vec::new();
    for (at, rule) in level.iter().enumerate() {
        let mut overlapping = level
            .iter()
            .skip(at + 1)
            .take_while(|other| table_range(other).first <= table_range(rule).last);
        let contradicts = |other: &&&Rule| {
            let overlap_in_time = rule.from_ms < other.until_ms && other.from_ms < rule.until_ms;
            overlap_in_time && !other.has_same_effect(rule)
        };
        let Some(other) = overlapping.find(contradicts) else {
            continue;
        };
        let (rule, other) = if other.file_index < rule.file_index {
            (*rule, *other)
        } else {
            (*other, *rule)
        };
        let problem = Problem::Contradicts {
            rule: rule.name.clone(),
            other: other.name.clone(),
            line: rule_line(lines, other.file_index),
        };
        errors.push(at_rule(rule, problem));
    }
    errors
}

/// Returns the table groups that a rule applies to.
fn table_range(rule: &Rule) -> TableRange {
    rule.tables.unwrap_or(TableRange {
        first: 0,
        last: u32::MAX,
    })
}

/// Returns an error if a workload is denied to every customer.
fn denied_to_all(
    set: &RuleSet,
    known: &KnownNames,
    workload: &WorkloadLocations,
) -> Option<LocatedProblem> {
    if known.covered_customers.is_some() {
        return None; // customers that are not covered are never restricted
    }
    for rule in set.rules.iter().filter(|rule| applies_to(rule, workload)) {
        let for_everybody = rule.customer.is_none()
            && rule.tables.is_none()
            && rule.front.is_none()
            && rule.is_always_active();
        match &rule.effect {
            RuleEffect::Allow { .. } => return None,
            RuleEffect::Deny { .. } if for_everybody => {
                let problem = Problem::WorkloadDenied {
                    rule: rule.name.clone(),
                    workload: workload.name.clone(),
                };
                return Some(at_rule(rule, problem));
            }
            RuleEffect::Deny { .. } | RuleEffect::Count => {}
        }
    }
    (set.default == DefaultEffect::Deny).then(|| LocatedProblem {
        path: "default".to_string(),
        problem: Problem::WorkloadNotAllowed {
            workload: workload.name.clone(),
        },
    })
}
