//! A statement's condition, and what a summary proves of it: that no row can make it TRUE, or none FALSE. What is not
//! understood proves neither.

use serde::{Deserialize, Serialize};

use crate::build::prefix_successor;
use crate::filter::Members;
use crate::runs;
use crate::summary::{Column, Table};
use crate::value::{less, Collation, Kind, Literal, Value};

/// A condition over the columns of one table, in three-valued logic as in SQL.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Condition {
    /// All of them hold (`AND`).
    All(Vec<Condition>),
    /// One of them holds (`OR`).
    Any(Vec<Condition>),
    /// It is FALSE; NULL stays NULL (`NOT`).
    Not(Box<Condition>),
    /// A column compared with a constant; NULL for a null.
    Compare {
        /// The column's name, in lower case.
        column: String,
        /// How they are compared, the column on the left.
        by: Comparison,
        /// The constant.
        literal: Literal,
    },
    /// A column is null; never NULL itself.
    Null {
        /// The column's name, in lower case.
        column: String,
    },
    /// LIKE with this beginning, and anything behind it.
    StartsWith {
        /// The column's name, in lower case.
        column: String,
        /// The beginning, up to the first wildcard of the pattern.
        prefix: String,
    },
    /// A column of truth values by itself.
    IsTrue {
        /// The column's name, in lower case.
        column: String,
    },
    /// TRUE or FALSE for all rows.
    Constant(bool),
    /// Not understood.
    Other,
}

/// How a column's value is compared with a constant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Comparison {
    /// `=`
    Equal,
    /// `<>`
    Unequal,
    /// `<`
    Less,
    /// `<=`
    AtMost,
    /// `>`
    Greater,
    /// `>=`
    AtLeast,
}

impl Comparison {
    /// What holds where this does not, for a value that is not null.
    fn complement(self) -> Comparison {
        match self {
            Comparison::Equal => Comparison::Unequal,
            Comparison::Unequal => Comparison::Equal,
            Comparison::Less => Comparison::AtLeast,
            Comparison::AtLeast => Comparison::Less,
            Comparison::Greater => Comparison::AtMost,
            Comparison::AtMost => Comparison::Greater,
        }
    }

    /// The same with its sides changed.
    pub fn flipped(self) -> Comparison {
        match self {
            Comparison::Less => Comparison::Greater,
            Comparison::Greater => Comparison::Less,
            Comparison::AtMost => Comparison::AtLeast,
            Comparison::AtLeast => Comparison::AtMost,
            same => same,
        }
    }
}

impl Condition {
    /// Surely no row of the table makes it TRUE.
    pub fn never_true(&self, table: &Table) -> bool {
        table.rows == 0
            || self.never_has_truth(table, true, self.leaves() <= MAX_LEAVES_WITH_CONSTANTS)
    }

    /// Surely no row gives it this truth value.
    fn never_has_truth(&self, table: &Table, truth: bool, check_constants: bool) -> bool {
        let column = |name: &str| table.columns.iter().find(|c| c.name == name);
        let never = |c: &Condition| c.never_has_truth(table, truth, check_constants);
        match self {
            // One that is never TRUE keeps the whole from being TRUE; for FALSE all must never be FALSE.
            Condition::All(all) if truth => {
                all.iter().any(never)
                    || excluded_by_range(all, table)
                    || check_constants && no_listed_value_fits(all, table)
            }
            Condition::All(all) => all.iter().all(never),
            Condition::Any(any) if truth => any.iter().all(never),
            Condition::Any(any) => any.iter().any(never),
            Condition::Not(inner) => inner.never_has_truth(table, !truth, check_constants),
            Condition::Constant(value) => *value != truth,
            Condition::Null { column: name } => column(name).is_some_and(|c| match truth {
                true => c.nulls == 0,
                false => c.nulls == table.rows,
            }),
            Condition::Compare {
                column: name,
                by,
                literal,
            } => {
                let by = if truth { *by } else { by.complement() };
                column(name).is_some_and(|c| c.nulls == table.rows || c.excludes(by, literal))
            }
            Condition::IsTrue { column: name } => column(name).is_some_and(|c| {
                c.nulls == table.rows || c.excludes(Comparison::Equal, &Literal::Bool(truth))
            }),
            Condition::StartsWith {
                column: name,
                prefix,
            } => {
                truth
                    && column(name)
                        .is_some_and(|c| c.nulls == table.rows || c.never_starts_with(prefix))
            }
            Condition::Other => false,
        }
    }

    /// Whether an equality is asked for, which a filter may rule out.
    pub fn has_equality(&self) -> bool {
        match self {
            Condition::All(all) | Condition::Any(all) => all.iter().any(Condition::has_equality),
            Condition::Compare { by, .. } => *by == Comparison::Equal,
            _ => false,
        }
    }

    /// Whether all of it is understood, and over columns that the table's summary tells of.
    pub fn is_summarized(&self, table: &Table) -> bool {
        let summarized = |name: &String| {
            table
                .columns
                .iter()
                .any(|c| c.name == *name && c.bounds.is_some())
        };
        match self {
            Condition::All(all) | Condition::Any(all) => all.iter().all(|c| c.is_summarized(table)),
            Condition::Not(inner) => inner.is_summarized(table),
            Condition::Compare { column, .. } | Condition::IsTrue { column } => summarized(column),
            Condition::StartsWith { column, .. } => summarized(column),
            Condition::Null { column } => table.columns.iter().any(|c| c.name == *column),
            Condition::Constant(_) => true,
            Condition::Other => false,
        }
    }

    /// How many comparisons it is made of.
    pub fn leaves(&self) -> usize {
        match self {
            Condition::All(all) | Condition::Any(all) => all.iter().map(Condition::leaves).sum(),
            Condition::Not(inner) => inner.leaves(),
            _ => 1,
        }
    }

    /// Which share of the rows may make it TRUE, by a guess that only ever orders sites.
    pub fn selectivity(&self, table: &Table) -> f64 {
        if self.never_true(table) {
            return 0.0;
        }
        match self {
            Condition::All(all) => all.iter().map(|c| c.selectivity(table)).product(),
            Condition::Any(any) => any
                .iter()
                .map(|c| c.selectivity(table))
                .sum::<f64>()
                .min(1.0),
            Condition::Compare {
                column,
                by: Comparison::Equal,
                ..
            } => {
                let column = table.columns.iter().find(|c| c.name == *column);
                column.map_or(0.1, |c| 1.0 / c.distinct.max(1) as f64)
            }
            Condition::Compare {
                column,
                by,
                literal,
            } => {
                let column = table.columns.iter().find(|c| c.name == *column);
                column
                    .and_then(|c| c.range_fraction(*by, literal))
                    .unwrap_or(DEFAULT_SELECTIVITY)
            }
            Condition::StartsWith { .. } => DEFAULT_SELECTIVITY,
            _ => 0.5,
        }
    }
}

const DEFAULT_SELECTIVITY: f64 = 0.3; // of the rows, where nothing tells how many
const MAX_LEAVES_WITH_CONSTANTS: usize = 32; // of a condition whose constants are each held against the whole: a thousand sites in a millisecond or two
const MAX_FILTER_PROBES: i128 = 64; // whole numbers between two bounds that are each asked of the filter

/// A column that must be one of a few constants, none of which it has or the rest allows.
fn no_listed_value_fits(all: &[Condition], table: &Table) -> bool {
    let is_refuted = |condition: &Condition| {
        let any = match condition {
            Condition::Any(any) if any.len() <= MAX_LEAVES_WITH_CONSTANTS => &any[..],
            one => std::slice::from_ref(one),
        };
        any.iter().all(|one| {
            let Condition::Compare {
                column: name,
                by: Comparison::Equal,
                literal,
            } = one
            else {
                return false;
            };
            let Some(column) = table.columns.iter().find(|c| c.name == *name) else {
                return false;
            };
            let Some(point) = literal.point(column.kind) else {
                return false;
            };
            // A row of that constant alone: what else is asked of the column may rule it out.
            let bounds = Some((point.below, point.above));
            let (name, tight) = (column.name.clone(), point.exact);
            let (kind, distinct, runs) = (column.kind, 1, Vec::new());
            let column_of_literal = Column {
                name,
                kind,
                nulls: 0,
                distinct,
                bounds,
                tight,
                runs,
                sketch: None,
                members: None,
            };
            let row = Table {
                name: String::new(),
                rows: 1,
                columns: vec![column_of_literal],
            };
            column.excludes(Comparison::Equal, literal)
                || all.iter().any(|c| c.never_has_truth(&row, true, false))
        })
    };
    all.iter().any(is_refuted)
}

/// Bounds on one column of numbers between which it has no value: by its runs, or each of the few by its
/// filter.
fn excluded_by_range(all: &[Condition], table: &Table) -> bool {
    table.columns.iter().any(|column| {
        let Kind::Number { .. } = column.kind else {
            return false;
        };
        let Some((Value::Number(mut low), Value::Number(mut high))) = column.bounds else {
            return false;
        };
        let mut is_bounded = false;
        for condition in all {
            let Condition::Compare {
                column: name,
                by,
                literal,
            } = condition
            else {
                continue;
            };
            let point = literal.point(column.kind).filter(|_| *name == column.name);
            let Some((Value::Number(below), Value::Number(above))) =
                point.map(|p| (p.below, p.above))
            else {
                continue;
            };
            match by {
                Comparison::AtLeast => low = low.max(below),
                Comparison::AtMost => high = high.min(above),
                // However an engine rounds the literal: the next value at least.
                Comparison::Greater => low = low.max(below.saturating_add(1)),
                Comparison::Less => high = high.min(above.saturating_sub(1)),
                Comparison::Equal | Comparison::Unequal => continue,
            }
            is_bounded = true;
        }
        let few = high
            .checked_sub(low)
            .is_some_and(|span| span < MAX_FILTER_PROBES);
        let none_in_filter =
            |members: &Members| (low..=high).all(|n| !members.may_contain(Value::Number(n).hash()));
        is_bounded
            && (column.has_no_value_between(low, high)
                || few && column.members.as_ref().is_some_and(none_in_filter))
    })
}

impl Column {
    /// Surely no value from the one to the other, by its runs.
    fn has_no_value_between(&self, low: i128, high: i128) -> bool {
        !self.runs.is_empty() && !runs::overlaps(&self.runs, low, high)
    }

    /// Which part of the range between its bounds lies so to the literal.
    fn range_fraction(&self, by: Comparison, literal: &Literal) -> Option<f64> {
        let (least, greatest) = self.bounds.as_ref()?;
        let at = literal.point(self.kind)?.above;
        let number = |v: &Value| match v {
            Value::Number(n) => Some(*n as f64),
            Value::Float(f) => Some(*f),
            _ => None,
        };
        let (least, greatest, at) = (number(least)?, number(greatest)?, number(&at)?);
        let below = ((at - least) / (greatest - least).max(1.0)).clamp(0.0, 1.0);
        match by {
            Comparison::Less | Comparison::AtMost => Some(below),
            Comparison::Greater | Comparison::AtLeast => Some(1.0 - below),
            Comparison::Equal | Comparison::Unequal => None,
        }
    }

    /// Surely no value that is not null compares so to the literal.
    fn excludes(&self, by: Comparison, literal: &Literal) -> bool {
        let (Some(point), Some((least, greatest))) = (literal.point(self.kind), &self.bounds)
        else {
            return false;
        };
        let ordered = !matches!(self.kind, Kind::Text(Collation::Exact | Collation::Unknown));
        let same = |a: &Value, b: &Value| {
            point.exact && crate::value::order(a, b).is_some_and(|o| o.is_eq())
        };
        match by {
            Comparison::Equal => {
                let outside = less(&point.above, least) || less(greatest, &point.below);
                let outside = outside
                    || matches!((&point.below, &point.above),
                        (Value::Number(low), Value::Number(high)) if self.has_no_value_between(*low, *high));
                let absent = |v: &Value| {
                    self.members
                        .as_ref()
                        .is_some_and(|m| !m.may_contain(v.hash()))
                };
                outside || self.kind != Kind::Float && absent(&point.below) && absent(&point.above)
            }
            Comparison::Unequal => self.tight && same(least, greatest) && same(least, &point.below),
            Comparison::Less => ordered && (less(&point.above, least) || same(&point.above, least)),
            Comparison::AtMost => ordered && less(&point.above, least),
            Comparison::Greater => {
                ordered && (less(greatest, &point.below) || same(greatest, &point.below))
            }
            Comparison::AtLeast => ordered && less(greatest, &point.below),
        }
    }

    /// Surely no value begins so. LIKE goes by characters, so bytes tell wherever equality goes by bytes.
    fn never_starts_with(&self, prefix: &str) -> bool {
        let by_bytes = matches!(self.kind, Kind::Text(Collation::C | Collation::Exact));
        let Some((Value::Text(least), Value::Text(greatest))) =
            self.bounds.as_ref().filter(|_| by_bytes)
        else {
            return false;
        };
        let least_is_after =
            prefix_successor(prefix).is_some_and(|above| least.as_bytes() >= above.as_bytes());
        greatest.as_bytes() < prefix.as_bytes() || least_is_after
    }
}
