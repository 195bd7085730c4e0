//! The condition of a statement, and what a summary proves about it: that no row makes it TRUE, or
//! that none makes it FALSE. A condition that is not understood proves neither.

use serde::{Deserialize, Serialize};

use crate::build::prefix_successor;
use crate::filter::Members;
use crate::runs;
use crate::summary::{Column, Table};
use crate::value::{less, Collation, Kind, Literal, Value};

/// A condition on the columns of one table, in the three-valued logic of SQL.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Condition {
    /// All of the conditions hold (`AND`).
    All(Vec<Condition>),
    /// At least one of the conditions holds (`OR`).
    Any(Vec<Condition>),
    /// The condition is FALSE; NULL stays NULL (`NOT`).
    Not(Box<Condition>),
    /// A column is compared with a constant; NULL if the column is null.
    Compare {
        /// The column's name, in lower case.
        column: String,
        /// The comparison, with the column on the left.
        by: Comparison,
        /// The constant.
        literal: Literal,
    },
    /// A column is null; the result is never NULL.
    Null {
        /// The column's name, in lower case.
        column: String,
    },
    /// LIKE with a pattern that begins with this prefix.
    StartsWith {
        /// The column's name, in lower case.
        column: String,
        /// The pattern up to its first wildcard.
        prefix: String,
    },
    /// A boolean column by itself.
    IsTrue {
        /// The column's name, in lower case.
        column: String,
    },
    /// TRUE or FALSE for all rows.
    Constant(bool),
    /// A condition that is not understood.
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
    /// The comparison that holds exactly where this one does not, for values that are not null.
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

    /// The same comparison with its operands exchanged.
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
    /// Whether the table's statistics prove that no row makes the condition TRUE.
    pub fn never_true(&self, table: &Table) -> bool {
        table.rows == 0
            || self.never_has_truth(table, true, self.leaves() <= MAX_LEAVES_WITH_CONSTANTS)
    }

    /// Whether the table's statistics prove that no row gives the condition this truth value.
    /// `check_constants` also tests the constants of equalities against the other conditions.
    fn never_has_truth(&self, table: &Table, truth: bool, check_constants: bool) -> bool {
        let column = |name: &str| table.columns.iter().find(|c| c.name == name);
        let never = |c: &Condition| c.never_has_truth(table, truth, check_constants);
        match self {
            // One operand that is never TRUE suffices for an AND that is never TRUE; an AND that is
            // never FALSE needs all operands to be never FALSE.
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

    /// Whether the condition contains an equality, which a filter may rule out.
    pub fn has_equality(&self) -> bool {
        match self {
            Condition::All(all) | Condition::Any(all) => all.iter().any(Condition::has_equality),
            Condition::Compare { by, .. } => *by == Comparison::Equal,
            _ => false,
        }
    }

    /// Whether the whole condition is understood and refers only to columns that the table's
    /// summary describes.
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

    /// The number of comparisons in the condition.
    pub fn leaves(&self) -> usize {
        match self {
            Condition::All(all) | Condition::Any(all) => all.iter().map(Condition::leaves).sum(),
            Condition::Not(inner) => inner.leaves(),
            _ => 1,
        }
    }

    /// Estimates the fraction of the rows that make the condition TRUE. The estimate only orders
    /// sites.
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

// Fraction of the rows, where the statistics give no estimate.
const DEFAULT_SELECTIVITY: f64 = 0.3;
// Each constant of a condition is tested against all other conditions. With 32 constants a thousand
// sites take a millisecond or two.
const MAX_LEAVES_WITH_CONSTANTS: usize = 32;
// Integers between two bounds that are each looked up in the filter.
const MAX_FILTER_PROBES: i128 = 64;

/// Whether a column must equal one of a few constants, each of which is absent from the column or
/// contradicts another condition.
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
            // A table with one row of this constant: the other conditions on the column may rule
            // the row out.
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

/// Whether conditions bound a column of numbers to a range in which it has no value, either because
/// of its runs or because its filter holds none of the few values of the range.
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
                // However an engine rounds the literal, the value is at least the next one.
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
    /// Whether the column's runs prove that it has no value in this range, both ends included.
    fn has_no_value_between(&self, low: i128, high: i128) -> bool {
        !self.runs.is_empty() && !runs::overlaps(&self.runs, low, high)
    }

    /// Estimates the fraction of the range between the column's bounds that satisfies the
    /// comparison.
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

    /// Whether the column's statistics prove that no value that is not null satisfies the
    /// comparison.
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

    /// Whether the column's bounds prove that no value has this prefix. LIKE compares characters,
    /// so that bytes decide wherever equality compares bytes.
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
