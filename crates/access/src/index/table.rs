//! The table by the fields that rules name, and its entries: the groups of tables cut into ranges, with the rules
//! of each in order. Rules are numbered by their place in the set's order.

use std::collections::{BTreeSet, HashMap};

use crate::rule::{Rule, RuleSet};

/// Customer, workload and front of a rule.
pub(super) const FIELDS: usize = 3;

/// Customer, workload and front by number; 0 where a rule names none.
pub(super) type FieldNumbers = [u32; FIELDS];

/// The fields that rules of an entry name, a bit for each.
pub(super) type FieldMask = u8;

/// The values of the fields that entries are found by; None where the rule names none.
pub(super) fn fields(rule: &Rule) -> [Option<&String>; FIELDS] {
    [&rule.customer, &rule.workload, &rule.front].map(Option::as_ref)
}

/// Which of the fields are named.
pub(super) fn mask_of(numbers: &FieldNumbers) -> FieldMask {
    (0..FIELDS).fold(0, |mask, field| {
        mask | u8::from(numbers[field] > 0) << field
    })
}

/// Whether a mask has the bit of a field.
pub(super) fn names_field(mask: FieldMask, field: usize) -> bool {
    mask >> field & 1 == 1
}

/// Rules of one entry, in order; a list ends with the first rule that always holds, as none behind it ever decides.
#[derive(Clone, Debug, Default)]
pub(super) struct Cell {
    /// Those that name no tables.
    pub without_tables: Vec<u32>,
    /// Where each range of groups begins.
    pub starts: Vec<u32>,
    /// The rules about each range.
    ranges: Vec<Vec<u32>>,
    /// Those about tables that let less through: they hold where the groups are unknown.
    pub restrictive: Vec<u32>,
}

/// Where a rule about tables begins or ends. Of one group, ends sort first.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Edge {
    group: u32,
    begins: bool,
    rule: u32,
}

impl Cell {
    /// The entry of these rules, which come in order.
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

    /// Cuts the groups into ranges at these edges.
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

    /// The rules about a group.
    pub fn rules_for_group(&self, group: u32) -> Option<&Vec<u32>> {
        let after = self.starts.partition_point(|start| *start <= group);
        self.ranges.get(after.checked_sub(1)?)
    }
}

/// Entries by the fields that their rules name.
#[derive(Clone, Debug, Default)]
pub(super) struct Table {
    pub cells: HashMap<FieldNumbers, Cell>,
    /// The fields that the rules of some entry name.
    pub masks: Vec<FieldMask>,
}

impl Table {
    /// The table of a set's rules, which come in order for each entry.
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

/// The rules up to the first that always holds.
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
