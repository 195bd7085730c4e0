//! A set compiled, so that the cost of a decision hardly grows with its rules: a table by the fields that rules name,
//! and within each entry the tables' groups cut into stretches with the rules of each in order.

mod compare;

use std::collections::HashMap;

use crate::rule::{Attributes, DefaultEffect, MatchedRules, RateLimit, Rule, RuleEffect, RuleSet};
use crate::shares::Limit;

const MOST_GROUPS: usize = 16; // groups of tables of one statement; more are as if they could not be told
const UNTOLD: &str = "the groups of tables that it reads cannot be told, and a rule bars some";
const NOWHERE: &str = "the groups of tables that it reads may be read together in no region";

/// What holds for a statement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Verdict {
    /// The version that it was judged by: the same at every try.
    pub version: u64,
    /// The rule that decided it, by its place in the set's order; None: the default.
    pub rule: Option<usize>,
    /// The rule that only counts it.
    pub counts: Option<usize>,
    /// The rules that let it through within a limit.
    pub limits: Vec<usize>,
    /// Why it is denied.
    pub denied: Option<String>,
    /// The places where it may be read, ascending; None: all.
    pub allowed: Option<Vec<u16>>,
}

impl Verdict {
    /// Whether the statement may be read at a location. `None` stands for a location that is not known, which is
    /// allowed only where all are.
    pub fn allows(&self, place: Option<u16>) -> bool {
        let named = |all: &Vec<u16>| place.is_some_and(|place| all.binary_search(&place).is_ok());
        self.denied.is_none() && self.allowed.as_ref().is_none_or(named)
    }
}

/// Rules of one entry, in order; a list ends with the first rule that always holds, as none behind it ever decides.
#[derive(Clone, Debug, Default)]
struct Cell {
    /// Those that name no tables.
    any: Vec<u32>,
    /// Where a stretch of groups begins, and the rules about it.
    starts: Vec<u32>,
    stretches: Vec<Vec<u32>>,
    /// Those about tables that let less through: they hold where the groups cannot be told.
    narrowing: Vec<u32>,
}

/// Customer, workload and front by number; 0 where a rule names none.
type Who = [u32; 3];

#[derive(Clone, Debug, Default)]
struct Table {
    cells: HashMap<Who, Cell>,
    /// Which fields some entry names, a bit for each.
    masks: Vec<u8>,
}

/// A rule set compiled for look-up.
#[derive(Clone, Debug)]
pub struct Index {
    /// The rules it was compiled from.
    pub set: RuleSet,
    names: [HashMap<String, u32>; 3],
    decide: Table,
    count: Table,
}

impl Index {
    /// Compiles a set. Rules of one customer, workload and front whose table ranges overlap are listed once for
    /// each stretch of groups that they cover.
    pub fn new(set: RuleSet) -> Index {
        let mut names: [HashMap<String, u32>; 3] = Default::default();
        let mut cells: [HashMap<Who, Vec<u32>>; 2] = Default::default();
        for (at, rule) in set.rules.iter().enumerate() {
            let mut who = [0; 3];
            for (field, name) in [&rule.customer, &rule.workload, &rule.front]
                .into_iter()
                .enumerate()
            {
                if let (Some(name), Some(names)) = (name, names.get_mut(field)) {
                    let next = names.len() as u32 + 1;
                    who[field] = *names.entry(name.clone()).or_insert(next);
                }
            }
            cells[usize::from(rule.effect == RuleEffect::Count)]
                .entry(who)
                .or_default()
                .push(at as u32);
        }
        let [decide, count] = cells.map(|cells| table(&set, cells));
        Index {
            names,
            decide,
            count,
            set,
        }
    }

    /// The rules about a statement.
    pub fn find(&self, attributes: &Attributes, wall_ms: u64) -> MatchedRules {
        let number = |field: usize, name: &str| self.names[field].get(name).copied();
        let who = [
            number(0, attributes.customer),
            number(1, attributes.workload),
            number(2, attributes.front),
        ];
        let first = |table: &Table| {
            self.first_in(table, who, attributes, wall_ms)
                .map(|at| at as usize)
        };
        MatchedRules {
            deciding: first(&self.decide),
            counting: first(&self.count),
        }
    }

    fn first_in(
        &self,
        table: &Table,
        who: [Option<u32>; 3],
        attributes: &Attributes,
        wall_ms: u64,
    ) -> Option<u32> {
        let mut least = None::<u32>;
        for mask in &table.masks {
            let mut key = [0; 3];
            let named = (0..3).filter(|field| mask >> field & 1 == 1);
            let known = named.fold(true, |known, field| match who[field] {
                Some(number) => {
                    key[field] = number;
                    known
                }
                None => false,
            });
            let Some(cell) = table.cells.get(&key).filter(|_| known) else {
                continue;
            };
            let about = match attributes.group {
                Some(group) => {
                    let at = cell.starts.partition_point(|start| *start <= group);
                    at.checked_sub(1).and_then(|at| cell.stretches.get(at))
                }
                None => Some(&cell.narrowing).filter(|_| !attributes.tables_known),
            };
            for list in [Some(&cell.any), about].into_iter().flatten() {
                let holds = |at: &&u32| {
                    self.set
                        .rules
                        .get(**at as usize)
                        .is_some_and(|r| r.holds(attributes, wall_ms))
                };
                let found = list
                    .iter()
                    .take_while(|at| least.is_none_or(|least| **at < least))
                    .find(holds);
                least = found.copied().or(least);
            }
        }
        least
    }

    /// Judges a statement by all groups of tables that it reads: barred for one is barred for all.
    /// None: they cannot be told.
    pub fn judge(&self, attributes: &Attributes, groups: Option<&[u32]>, wall_ms: u64) -> Verdict {
        let mut verdict: Option<Verdict> = None;
        let untold = groups.is_none_or(|groups| groups.len() > MOST_GROUPS);
        let groups = groups.unwrap_or_default();
        let each = groups
            .iter()
            .copied()
            .map(Some)
            .take(if untold { 0 } else { MOST_GROUPS });
        for group in each.chain(untold.then_some(None)) {
            let one = self.judge_one(
                &Attributes {
                    group,
                    tables_known: group.is_some(),
                    ..*attributes
                },
                wall_ms,
            );
            verdict = Some(match verdict {
                None => one,
                Some(before) => both(before, one),
            });
        }
        verdict.unwrap_or_else(|| {
            self.judge_one(
                &Attributes {
                    group: None,
                    tables_known: true,
                    ..*attributes
                },
                wall_ms,
            )
        })
    }

    fn judge_one(&self, attributes: &Attributes, wall_ms: u64) -> Verdict {
        let MatchedRules {
            deciding: rule,
            counting: counts,
        } = self.find(attributes, wall_ms);
        let decides = rule.and_then(|at| self.set.rules.get(at));
        let untold = attributes.group.is_none() && decides.is_some_and(|r| r.tables.is_some());
        let (denied, allowed) = match decides.map(|r| &r.effect) {
            _ if untold => (Some(UNTOLD.to_string()), None),
            Some(RuleEffect::Deny { reason }) => (Some(reason.clone()), None),
            Some(RuleEffect::Allow { places }) => (None, places.clone()),
            Some(RuleEffect::Count) => (None, None),
            None if self.set.default == DefaultEffect::Deny => {
                (Some("no rule allows it".to_string()), None)
            }
            None => (None, None),
        };
        let limits = rule
            .into_iter()
            .filter(|_| decides.is_some_and(|r| r.limit.is_some()));
        Verdict {
            version: self.set.version,
            rule,
            counts,
            limits: limits.collect(),
            denied,
            allowed,
        }
    }

    /// The limits that a verdict holds a statement to.
    pub fn limits(&self, verdict: &Verdict) -> Vec<Limit> {
        let rules = verdict
            .limits
            .iter()
            .filter_map(|at| self.set.rules.get(*at));
        let limit = |r: &Rule| {
            r.limit.map(|RateLimit { most, window }| Limit {
                rule: r.name.clone(),
                most,
                window,
            })
        };
        rules.filter_map(limit).collect()
    }

    /// The name of a rule, by its place in the order.
    pub fn name(&self, rule: usize) -> &str {
        self.set.rules.get(rule).map_or("", |r| &r.name)
    }
}

impl Index {
    /// A rule that goes before another wherever and whenever that would match.
    pub fn shadow(&self, at: usize) -> Option<usize> {
        let rule = self.set.rules.get(at)?;
        let table = if rule.effect == RuleEffect::Count {
            &self.count
        } else {
            &self.decide
        };
        let mut who = [0; 3];
        for (field, name) in [&rule.customer, &rule.workload, &rule.front]
            .into_iter()
            .enumerate()
        {
            who[field] = name
                .as_ref()
                .and_then(|name| self.names[field].get(name).copied())
                .unwrap_or(0);
        }
        let own = (0..3).fold(0, |mask, field| mask | u8::from(who[field] > 0) << field);
        let wider = table.masks.iter().filter(|mask| **mask & !own == 0);
        let key = |mask: &u8| {
            [0, 1, 2].map(|field| {
                if mask >> field & 1 == 1 {
                    who[field]
                } else {
                    0
                }
            })
        };
        let cells: Vec<&Cell> = wider
            .filter_map(|mask| table.cells.get(&key(mask)))
            .collect();
        let covers = |list: &[u32]| {
            let before = list.iter().map(|by| *by as usize).take_while(|by| *by < at);
            before
                .into_iter()
                .find(|by| self.set.rules.get(*by).is_some_and(|by| by.spans(rule)))
        };
        if let Some(by) = cells.iter().find_map(|cell| covers(&cell.any)) {
            return Some(by);
        }
        let tables = rule.tables?;
        // Each stretch of its groups must have one; the stretches of an entry differ from those of another.
        let mut starts = vec![tables.first];
        for cell in &cells {
            let from = cell.starts.partition_point(|start| *start <= tables.first);
            starts.extend(
                cell.starts
                    .iter()
                    .skip(from)
                    .take_while(|start| **start <= tables.last),
            );
        }
        let over = |start: u32| {
            cells.iter().find_map(|cell| {
                let at = cell
                    .starts
                    .partition_point(|s| *s <= start)
                    .checked_sub(1)?;
                covers(cell.stretches.get(at)?)
            })
        };
        starts
            .into_iter()
            .map(over)
            .reduce(|one, other| one.and(other))
            .flatten()
    }
}

/// What holds for a statement about which two verdicts hold.
fn both(a: Verdict, b: Verdict) -> Verdict {
    // The rule that stands first is the one that decided, a denial before all.
    let first = |a: &Verdict, b: &Verdict| {
        let order = |v: &Verdict| (v.denied.is_none(), v.rule.is_none(), v.rule);
        order(a) <= order(b)
    };
    let counts = a.counts.into_iter().chain(b.counts).min();
    let (mut one, other) = if first(&a, &b) { (a, b) } else { (b, a) };
    one.counts = counts;
    one.limits.extend(other.limits);
    one.limits.sort_unstable();
    one.limits.dedup();
    if one.denied.is_some() {
        return one;
    }
    one.allowed = match (one.allowed, other.allowed) {
        (Some(one), Some(other)) => Some(
            one.into_iter()
                .filter(|place| other.contains(place))
                .collect(),
        ),
        (one, other) => one.or(other),
    };
    if one.allowed.as_ref().is_some_and(Vec::is_empty) {
        one.denied = Some(NOWHERE.to_string());
    }
    one
}

fn table(set: &RuleSet, cells: HashMap<Who, Vec<u32>>) -> Table {
    let mask = |who: &Who| (0..3).fold(0, |mask, field| mask | u8::from(who[field] > 0) << field);
    let mut masks: Vec<u8> = cells.keys().map(mask).collect();
    masks.sort_unstable();
    masks.dedup();
    Table {
        cells: cells
            .into_iter()
            .map(|(who, rules)| (who, cell(set, &rules)))
            .collect(),
        masks,
    }
}

/// Rules come in order.
fn cell(set: &RuleSet, rules: &[u32]) -> Cell {
    let rule = |at: &u32| set.rules.get(*at as usize);
    let mut made = Cell::default();
    let mut edges: Vec<(u32, bool, u32)> = Vec::new(); // where, begins, which
    for at in rules {
        match rule(at).and_then(|r| r.tables.map(|t| (r, t))) {
            None => made.any.push(*at),
            Some((r, tables)) => {
                edges.push((tables.first, true, *at));
                edges.extend(tables.last.checked_add(1).map(|end| (end, false, *at)));
                if r.narrows() {
                    made.narrowing.push(*at);
                }
            }
        }
    }
    edges.sort_unstable();
    let mut open = std::collections::BTreeSet::new();
    let mut edges = edges.into_iter().peekable();
    while let Some((start, begins, at)) = edges.next() {
        if begins {
            open.insert(at);
        } else {
            open.remove(&at);
        }
        if edges.peek().is_none_or(|(next, ..)| *next != start) {
            made.starts.push(start);
            made.stretches.push(cut(set, open.iter().copied()));
        }
    }
    made.any = cut(set, made.any.into_iter());
    made.narrowing = cut(set, made.narrowing.into_iter());
    made
}

/// Up to the first that always holds.
fn cut(set: &RuleSet, rules: impl Iterator<Item = u32>) -> Vec<u32> {
    let mut list = Vec::new();
    for at in rules {
        list.push(at);
        if set.rules.get(at as usize).is_none_or(|r| r.always()) {
            break;
        }
    }
    list
}
