//! A set looked at as a whole: rules that can never match, rules that contradict each other, workloads that are left
//! with no engine.

use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap};

use crate::error::Problem;
use crate::index::Index;
use crate::known::{KnownNames, WorkloadLocations};
use crate::lines::LineLookup;
use crate::rule::{DefaultEffect, Rule, RuleEffect, RuleSet, TableRange};

/// Customer, workload and front, and how high: rules of one group could each decide the same statement.
type Level<'a> = (
    [Option<&'a str>; 3],
    (Reverse<i32>, Reverse<u32>, Reverse<u8>, u32),
);

/// All that is wrong with a set, each with the path of what it is about.
pub fn check(set: &RuleSet, known: &KnownNames, lines: LineLookup) -> Vec<(String, Problem)> {
    let mut errors = names(set, lines);
    let index = Index::new(set.clone());
    for (at, rule) in set.rules.iter().enumerate() {
        if let Some(by) = index.shadow(at).and_then(|by| set.rules.get(by)) {
            let what = Problem::Shadowed {
                rule: rule.name.clone(),
                by: by.name.clone(),
                line: line(lines, by.place),
            };
            errors.push((path(rule), what));
        }
        errors.extend(barred(rule, known));
    }
    errors.extend(contradictions(set, lines));
    errors.extend(
        known
            .workloads
            .iter()
            .filter_map(|workload| left_with_none(set, known, workload)),
    );
    errors
}

fn path(rule: &Rule) -> String {
    format!("rules[{}]", rule.place)
}

fn line(lines: LineLookup, place: usize) -> usize {
    lines(&format!("rules[{place}]")).unwrap_or(0)
}

fn names(set: &RuleSet, lines: LineLookup) -> Vec<(String, Problem)> {
    let mut rules: Vec<&Rule> = set.rules.iter().collect();
    rules.sort_by_key(|r| r.place);
    let mut seen = HashMap::new();
    let mut errors = Vec::new();
    for rule in rules {
        // A rule that moves is read as three.
        let first = seen
            .get(rule.name.as_str())
            .filter(|first| **first != rule.place);
        if let Some(first) = first {
            let what = Problem::Twice {
                rule: rule.name.clone(),
                line: line(lines, *first),
            };
            errors.push((format!("{}.name", path(rule)), what));
        } else {
            seen.insert(rule.name.as_str(), rule.place);
        }
    }
    errors
}

/// A rule that allows a workload nowhere that it may run.
fn barred(rule: &Rule, known: &KnownNames) -> Option<(String, Problem)> {
    let RuleEffect::Allow {
        places: Some(places),
    } = &rule.effect
    else {
        return None;
    };
    let about = |w: &&WorkloadLocations| rule.workload.as_ref().is_none_or(|name| *name == w.name);
    let none = |w: &&WorkloadLocations| {
        let bound = known.bound(w);
        !bound.is_empty() && !bound.iter().any(|place| places.contains(place))
    };
    let workload = known.workloads.iter().filter(about).find(none)?;
    let named = |place: u16| known.locations.get(place as usize).cloned();
    let bound: Vec<String> = known
        .bound(workload)
        .into_iter()
        .filter_map(named)
        .collect();
    let (rule_name, bound) = (rule.name.clone(), bound.join(", "));
    Some((
        path(rule),
        Problem::NoEngine {
            rule: rule_name,
            workload: workload.name.clone(),
            bound,
        },
    ))
}

/// Deny goes before allow at the same height; two that allow different places have no order.
fn contradictions(set: &RuleSet, lines: LineLookup) -> Vec<(String, Problem)> {
    let mut levels: BTreeMap<Level, Vec<&Rule>> = BTreeMap::new();
    for rule in set
        .rules
        .iter()
        .filter(|r| matches!(r.effect, RuleEffect::Allow { .. }))
    {
        let who = [&rule.customer, &rule.workload, &rule.front].map(|name| name.as_deref());
        levels.entry((who, rule.height())).or_default().push(rule);
    }
    let mut errors = Vec::new();
    for level in levels.values_mut() {
        let tables = |r: &Rule| {
            r.tables.unwrap_or(TableRange {
                first: 0,
                last: u32::MAX,
            })
        };
        level.sort_by_key(|r| (tables(r), r.place));
        for (at, rule) in level.iter().enumerate() {
            let mut behind = level.iter().skip(at + 1);
            let meets = |r: &&&Rule| tables(r).first <= tables(rule).last;
            let together = |r: &Rule| rule.from_ms < r.until_ms && r.from_ms < rule.until_ms;
            let other = behind
                .by_ref()
                .take_while(meets)
                .find(|r| together(r) && !r.agrees(rule));
            if let Some(other) = other {
                let (rule, other) = if other.place < rule.place {
                    (*rule, *other)
                } else {
                    (*other, *rule)
                };
                let line = line(lines, other.place);
                let what = Problem::Contradicts {
                    rule: rule.name.clone(),
                    other: other.name.clone(),
                    line,
                };
                errors.push((path(rule), what));
            }
        }
    }
    errors
}

/// A workload that no customer may run any more.
fn left_with_none(
    set: &RuleSet,
    known: &KnownNames,
    workload: &WorkloadLocations,
) -> Option<(String, Problem)> {
    if known.covered.is_some() {
        return None; // the customers that no rule can be about may run it
    }
    let about = |r: &&Rule| {
        r.workload
            .as_ref()
            .is_none_or(|name| *name == workload.name)
    };
    let name = workload.name.clone();
    for rule in set.rules.iter().filter(about) {
        let all = rule.customer.is_none()
            && rule.tables.is_none()
            && rule.front.is_none()
            && rule.always();
        match &rule.effect {
            RuleEffect::Allow { .. } => return None,
            RuleEffect::Deny { .. } if all => {
                return Some((
                    path(rule),
                    Problem::AllDenied {
                        rule: rule.name.clone(),
                        workload: name,
                    },
                ))
            }
            _ => {}
        }
    }
    let denies = set.default == DefaultEffect::Deny;
    denies.then_some((
        "default".to_string(),
        Problem::NothingAllowed { workload: name },
    ))
}
