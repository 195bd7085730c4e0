//! Finds rules that can never decide because another rule always takes precedence.

use super::table::{fields, mask_of, names_field, Cell, FieldNumbers};
use super::Index;
use crate::rule::{Rule, RuleEffect, TableRange};

impl Index {
    /// Returns a rule that takes precedence over rule `at` wherever and whenever that rule would
    /// match.
    pub fn shadowing_rule(&self, at: usize) -> Option<usize> {
        let rule = self.set.rules.get(at)?;
        let cells = self.wider_cells(rule);
        let covering_rule = cells
            .iter()
            .find_map(|cell| self.find_covering(&cell.without_tables, at, rule));
        if covering_rule.is_some() {
            return covering_rule;
        }
        // Each range of the rule's groups needs such a rule; the ranges of the entries differ.
        let mut last = None;
        for start in range_starts(&cells, rule.tables?) {
            let covering = cells
                .iter()
                .find_map(|cell| self.find_covering(cell.rules_for_group(start)?, at, rule));
            last = Some(covering?);
        }
        last
    }

    /// Returns the entries whose rules name a subset of this rule's fields, with the same values.
    fn wider_cells(&self, rule: &Rule) -> Vec<&Cell> {
        let table = match rule.effect {
            RuleEffect::Count => &self.counting_rules,
            RuleEffect::Deny { .. } | RuleEffect::Allow { .. } => &self.deciding_rules,
        };
        let mut numbers: FieldNumbers = Default::default();
        for (field, name) in fields(rule).into_iter().enumerate() {
            let number = name.and_then(|name| self.value_numbers[field].get(name));
            numbers[field] = number.copied().unwrap_or(0);
        }
        let mask = mask_of(&numbers);
        let wider = table.masks.iter().filter(|other| **other & !mask == 0);
        let cell = |mask: &u8| {
            let mut key = numbers;
            for (field, number) in key.iter_mut().enumerate() {
                if !names_field(*mask, field) {
                    *number = 0;
                }
            }
            table.cells.get(&key)
        };
        wider.filter_map(cell).collect()
    }

    /// Returns a rule of the list that takes precedence over rule `at` and is active whenever that
    /// rule is.
    fn find_covering(&self, list: &[u32], at: usize, rule: &Rule) -> Option<usize> {
        let spans = |by: &usize| {
            self.set
                .rules
                .get(*by)
                .is_some_and(|by| by.covers_period_of(rule))
        };
        let before = list.iter().map(|by| *by as usize);
        before.take_while(|by| *by < at).find(spans)
    }
}

/// Returns the first group of each range of the entries that lies within these tables.
fn range_starts(cells: &[&Cell], tables: TableRange) -> Vec<u32> {
    let mut starts = vec![tables.first];
    for cell in cells {
        let from = cell.starts.partition_point(|start| *start <= tables.first);
        let within = cell.starts.iter().skip(from);
        starts.extend(within.take_while(|start| **start <= tables.last));
    }
    starts
}
