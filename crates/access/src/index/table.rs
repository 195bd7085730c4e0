//! The table keyed by the fields that rules name, and its entries: the table groups divided into
//! ranges, with the rules of each range in order. Rules are numbered by their index in the rule
//! set.

use std::collections::{BTreeSet, HashMap};

use crate::rule::{Rule, RuleSet};

/// The number of fields that key the table: customer, workload and front.
pub(super) const FIELDS: usize = 3;

/// The numbers of a rule's customer, workload and front; 0 if the rule does not name the field.
pub(super) type FieldNumbers = [u32; FIELDS];

/// A bit for each field that the rules of an entry name.
pub(super) type FieldMask = u8;

/// Returns the values of the key fields; `None` if the rule does not name the field.
pub(super) fn fields(rule: &Rule) -> [Option<&String>; FIELDS] {
    [&rule.customer, &rule.workload, &rule.front].map(Option::as_ref)
}

/// Returns the mask of the fields that are named.
pub(super) fn mask_of(numbers: &FieldNumbers) -> FieldMask {
    (0..FIELDS).fold(0, |mask, field| {
        mask | u8::from(numbers[field] > 0) << field
    })
}

/// Returns whether a mask includes a field.
pub(super) fn names_field(mask: FieldMask, field: usize) -> bool {
    mask >> field & 1 == 1
}

/// The rules of one entry, in order. Each list ends with the first rule that is always active, as
/// no rule behind it can decide.
#[derive(Clone, Debug, Default)]
pub(super) struct Cell {
    /// The rules that name no tables.
    pub without_tables: Vec<u32>,
    /// The first group of each range.
    pub starts: Vec<u32>,
    /// The rules of each range.
    ranges: Vec<Vec<u32>>,
    /// The restrictive rules about tables, which apply if a statement's groups are unknown.
    pub restrictive: Vec<u32>,
}

/// The start or the end of a rule's table range. Within one group, ends sort before starts.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Edge {
    group: u32,
    begins: bool,
    rule: u32,
}

impl Cell {
    /// Builds the entry of these rules, which are given in order.
    fn new(set: &RuleSet, rules: &[u32]) -> Cell {
        let mut cell = Cell::default();
        let mut edges = Vec::new();
        for number in rules {
            let rule = set.rules.get(*number as usize);
            let Some((rule, tables)) = rule.and_then(|rule| Some((rule, rule.tables?))) else {
                cell.without_tables.push(*number);
                continue;
            };
            edges.push(Edge {
                group: tables.first,
                begins: true,
                rule: *number,
            });
            edges.extend(tables.last.checked_add(1).map(|group| Edge {
                group,
                begins: false,
                rule: *number,
            }));
            if rule.is_restrictive() {
                cell.restrictive.push(*number);
            }
        }
        cell.add_ranges(set, edges);
        cell.without_tables = until_always(set, cell.without_tables.into_iter());
        cell.restrictive = until_always(set, cell.restrictive.into_iter());
        cell
    }

    /// Divides the groups into ranges at these edges.
    fn add_ranges(&mut self, set: &RuleSet, mut edges: Vec<Edge>) {
        edges.sort_unstable();
        let mut open = BTreeSet::new();
        let mut edges = edges.into_iter().peekable();
        while let Some(edge) = edges.next() {
            if edge.begins {
                open.insert(edge.rule);
            } else {
                open.remove(&edge.rule);
            }
            let is_last_of_group = edges.peek().is_none_or(|next| next.group != edge.group);
            if is_last_of_group {
                self.starts.push(edge.group);
                self.ranges.push(until_always(set, open.iter().copied()));
            }
        }
    }

    /// Returns the rules about a group; `None` if it lies before the first range.
    pub fn rules_for_group(&self, group: u32) -> Option<&Vec<u32>> {
        let after = self.starts.partition_point(|start| *start <= group);
        self.ranges.get(after.checked_sub(1)?)
    }
}

/// The entries, keyed by the fields that their rules name.
#[derive(Clone, Debug, Default)]
pub(super) struct Table {
    pub cells: HashMap<FieldNumbers, Cell>,
    /// The masks of the entries' fields, without duplicates.
    pub masks: Vec<FieldMask>,
}

impl Table {
    /// Builds the table of a rule set; the rules of each entry are given in order.
    pub fn new(set: &RuleSet, rules: HashMap<FieldNumbers, Vec<u32>>) -> Table {
        let mut masks: Vec<FieldMask> = rules.keys().map(mask_of).collect();
        masks.sort_unstable();
        masks.dedup();
        let cells = rules
            .into_iter()
            .map(|(numbers, rules)| (numbers, Cell::new(set, &rules)));
        Table {
            cells: cells.collect(),
            masks,
        }
    }
}

/// Returns the rules up to and including the first that is always active.
fn until_always(set: &RuleSet, rules: impl Iterator<Item = u32>) -> Vec<u32> {
    let mut list = Vec::new();
    for number in rules {
        list.push(number);
        let rule = set.rules.get(number as usize);
        if rule.is_none_or(Rule::is_always_active) {
            break;
        }
    }
    list
}
