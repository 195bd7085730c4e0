//! A scatter-gather answer has every matching row: those held from the start, and those of each
//! load that any front had acknowledged before the scatter was sent. Rows of a load still in flight
//! may be present or not; no other rows may be.

use std::collections::{BTreeMap, BTreeSet};

use crate::check::Violations;

/// A row by its site and value, with when its load was sent and when a front had acknowledged it.
#[derive(Clone, Debug, PartialEq)]
pub struct Row {
    pub site: usize,
    pub value: i64,
    pub asked: i64,
    /// `i64::MAX` if no front has.
    pub acknowledged: i64,
}

/// A scattered statement as its client saw it.
#[derive(Clone, Debug)]
pub struct Scatter {
    pub id: String,
    /// The requested range of values, both ends inclusive.
    pub between: (i64, i64),
    pub sent: i64,
    pub answered: i64,
    /// Rows by site and value; `None` if there was no complete answer.
    pub rows: Option<Vec<(usize, i64)>>,
    /// Sites that the access rules bar, or that the answer names as missing.
    pub without: BTreeSet<usize>,
}

/// Reports missing and surplus rows of each scatter that has a complete answer.
pub fn check(wrong: &mut Violations, scatters: &[Scatter], held: &[Row]) {
    for scatter in scatters {
        let Some(rows) = &scatter.rows else { continue };
        let matches = |row: &&Row| {
            (scatter.between.0..=scatter.between.1).contains(&row.value)
                && row.asked <= scatter.answered
        };
        let (mut least, mut most) = (BTreeMap::<_, usize>::new(), BTreeMap::<_, usize>::new());
        for row in held.iter().filter(matches) {
            *most.entry((row.site, row.value)).or_default() += 1;
            let due = row.acknowledged < scatter.sent && !scatter.without.contains(&row.site);
            *least.entry((row.site, row.value)).or_default() += usize::from(due);
        }
        let mut received = BTreeMap::<_, usize>::new();
        rows.iter()
            .for_each(|row| *received.entry(*row).or_default() += 1);
        for (row, least) in least {
            let received = received.get(&row).copied().unwrap_or(0);
            if received < least {
                let finding = format!("{}: {received} of {least} rows {row:?}", scatter.id);
                wrong.entry("row_missing").or_default().push(finding);
            }
        }
        for (row, received) in received {
            let most = most.get(&row).copied().unwrap_or(0);
            if received > most {
                let finding = format!("{}: {received} of {most} rows {row:?}", scatter.id);
                wrong.entry("row_too_many").or_default().push(finding);
            }
        }
    }
}

#[cfg(test)]
#[path = "rows_tests.rs"]
mod tests;
