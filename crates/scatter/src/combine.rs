//! Combines the aggregates of the sites into one row. Counts, sums of decimals of any length,
//! minima and maxima of numbers are exact; floats are added as doubles in the order of the sites.
//! Aggregates that depend on a collation are not supported.

use bigdecimal::BigDecimal;
use sqlparser::ast::{Expr, Function, FunctionArg, FunctionArgExpr, FunctionArguments, SelectItem};

use crate::row::{arguments, non_row_expression};
use crate::sql::{ColumnScope, Unsupported};
use crate::value::Kind;

// How engines write NULL.
const NULL_SPELLINGS: [&str; 4] = ["", "\\N", "NULL", "null"];
const MAX_NUMBER_CHARS: usize = 1_000;

/// The aggregates that can be computed from those of the sites.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AggregateKind {
    /// `count(*)` or `count(column)`; the counts are added.
    Count,
    /// `sum(column)`; the sums are added.
    Sum,
    /// `min(column)`; the least value is the result.
    Min,
    /// `max(column)`; the greatest value is the result.
    Max,
}

/// One column of the answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Aggregate {
    /// How the values of the parts are combined.
    pub kind: AggregateKind,
    /// The column that is aggregated; None for `count(*)` and for counts of expressions.
    pub column: Option<String>,
    /// Whether the column holds floats, which are added as doubles in the order of the sites.
    pub float: bool,
}

/// Reads the aggregates of a select list. None if it has no aggregates.
pub(crate) fn read(
    projection: &[SelectItem],
    names: &ColumnScope,
) -> Result<Option<Vec<Aggregate>>, Unsupported> {
    let kind_of = |f: &Function| match f.name.to_string().to_ascii_lowercase().as_str() {
        "count" => Some(AggregateKind::Count),
        "sum" => Some(AggregateKind::Sum),
        "min" => Some(AggregateKind::Min),
        "max" => Some(AggregateKind::Max),
        _ => None,
    };
    let aggregate_call = |item: &SelectItem| match item {
        SelectItem::UnnamedExpr(Expr::Function(f))
        | SelectItem::ExprWithAlias {
            expr: Expr::Function(f),
            ..
        } => kind_of(f).map(|kind| (kind, f.clone())),
        _ => None,
    };
    let all: Vec<(AggregateKind, Function)> =
        projection.iter().filter_map(aggregate_call).collect();
    if all.is_empty() {
        return Ok(None);
    }
    let not_divisible = |what: &str| Err(Unsupported::NotDivisible(what.to_string()));
    if all.len() < projection.len() {
        return not_divisible("aggregates beside other columns");
    }
    let mut aggregates = Vec::new();
    for (kind, f) in all {
        let column = match (kind, arguments(&f).as_deref()) {
            (AggregateKind::Count, None) if is_row_count(&f) => None,
            (AggregateKind::Count, Some([e])) if non_row_expression(e).is_none() => None,
            (AggregateKind::Sum | AggregateKind::Min | AggregateKind::Max, Some([e])) => {
                match names.column(e) {
                    Some(column) => Some(column),
                    None => {
                        return not_divisible("a sum, least or greatest of anything but a column")
                    }
                }
            }
            _ => {
                return not_divisible("an aggregate with DISTINCT, OVER, FILTER or other arguments")
            }
        };
        aggregates.push(Aggregate {
            kind,
            column,
            float: false,
        });
    }
    Ok(Some(aggregates))
}

/// Whether the call is exactly `count(*)`.
fn is_row_count(f: &Function) -> bool {
    let plain = f.over.is_none()
        && f.filter.is_none()
        && f.within_group.is_empty()
        && f.null_treatment.is_none();
    let plain = plain && matches!(f.parameters, FunctionArguments::None);
    match &f.args {
        FunctionArguments::List(list) => {
            let one = matches!(
                list.args[..],
                [FunctionArg::Unnamed(FunctionArgExpr::Wildcard)]
            );
            plain && one && list.clauses.is_empty() && list.duplicate_treatment.is_none()
        }
        _ => false,
    }
}

impl Aggregate {
    /// Checks that the aggregate can be combined, given the kind of its column at the sites, and
    /// notes whether it is a float. Minimum and maximum of text depend on the collation and are not
    /// supported.
    pub fn check(&mut self, column_kind: impl Fn(&str) -> Option<Kind>) -> Result<(), Unsupported> {
        let Some(column) = &self.column else {
            return Ok(());
        };
        match (self.kind, column_kind(column)) {
            (AggregateKind::Count, _) | (_, Some(Kind::Number { .. })) => Ok(()),
            (_, None) => Err(Unsupported::NotDivisible(format!(
                "column '{column}', of whose kind no two summaries speak alike, or none,"
            ))),
            (_, Some(Kind::Float)) => {
                self.float = true;
                Ok(())
            }
            _ => Err(Unsupported::NotDivisible(format!(
                "the least or greatest of '{column}', which is no column of numbers,"
            ))),
        }
    }

    fn join(&self, fields: &[&str]) -> Option<String> {
        let null = fields.iter().find(|field| NULL_SPELLINGS.contains(field));
        if self.float && self.kind != AggregateKind::Count {
            return self.join_floats(fields, null.copied());
        }
        let values = fields
            .iter()
            .filter(|field| !NULL_SPELLINGS.contains(field));
        let values: Vec<(BigDecimal, &str)> = values
            .map(|field| Some((parse_decimal(field)?, *field)))
            .collect::<Option<_>>()?;
        if values.is_empty() || self.kind == AggregateKind::Count && null.is_some() {
            return null
                .filter(|_| self.kind != AggregateKind::Count)
                .map(|null| (*null).to_string());
        }
        match self.kind {
            AggregateKind::Count | AggregateKind::Sum => {
                let sum: BigDecimal = values.iter().map(|(number, _)| number).sum();
                Some(sum.to_plain_string())
            }
            AggregateKind::Min => values
                .iter()
                .min_by(|a, b| a.0.cmp(&b.0))
                .map(|(_, field)| (*field).to_string()),
            AggregateKind::Max => values
                .iter()
                .max_by(|a, b| a.0.cmp(&b.0))
                .map(|(_, field)| (*field).to_string()),
        }
    }

    /// Combines floats: adds doubles in the order of the sites, so that each attempt has the same
    /// result, or returns the least or the greatest one as its site wrote it.
    fn join_floats(&self, fields: &[&str], null: Option<&str>) -> Option<String> {
        let values = fields
            .iter()
            .filter(|field| !NULL_SPELLINGS.contains(field));
        let values: Vec<(f64, &str)> = values
            .map(|field| Some((parse_float(field)?, *field)))
            .collect::<Option<_>>()?;
        if values.is_empty() {
            return null.map(str::to_string);
        }
        match self.kind {
            AggregateKind::Min => values
                .iter()
                .min_by(|a, b| a.0.total_cmp(&b.0))
                .map(|(_, f)| (*f).to_string()),
            AggregateKind::Max => values
                .iter()
                .max_by(|a, b| a.0.total_cmp(&b.0))
                .map(|(_, f)| (*f).to_string()),
            // The sum of a single site is returned as the site wrote it.
            _ if values.len() == 1 => Some(values[0].1.to_string()),
            _ => Some(values.iter().map(|(number, _)| number).sum::<f64>())
                .filter(|sum| sum.is_finite())
                .map(|sum| sum.to_string()),
        }
    }
}

/// Parses a finite float; engines treat other values differently.
fn parse_float(field: &str) -> Option<f64> {
    let plain = |c: u8| c.is_ascii_digit() || b"+-.eE".contains(&c);
    let short = field.len() <= MAX_NUMBER_CHARS && field.bytes().all(plain);
    field
        .parse()
        .ok()
        .filter(|number: &f64| short && number.is_finite())
}

fn parse_decimal(field: &str) -> Option<BigDecimal> {
    let plain = |c: u8| c.is_ascii_digit() || b"+-.".contains(&c);
    field
        .parse()
        .ok()
        .filter(|_| field.len() <= MAX_NUMBER_CHARS && field.bytes().all(plain))
}

/// Combines one row from each part into one row. If a part's answer is malformed, returns the index
/// of the first such part.
pub fn join(aggregates: &[Aggregate], parts: &[&[u8]]) -> Result<Vec<u8>, usize> {
    let (mut rows, mut empty): (Vec<Vec<&str>>, usize) = (Vec::new(), 0);
    for (at, part) in parts.iter().enumerate() {
        let text = std::str::from_utf8(part)
            .ok()
            .and_then(|text| text.strip_suffix('\n'));
        let mut fields: Vec<&str> = text
            .filter(|text| !text.contains('\n'))
            .ok_or(at)?
            .split('\t')
            .collect();
        // Rows of engines have three columns; columns that were not selected are empty.
        let extra_fields = fields.split_off(aggregates.len().min(fields.len()));
        if fields.len() != aggregates.len() || extra_fields.iter().any(|field| !field.is_empty()) {
            return Err(at);
        }
        empty = empty.max(extra_fields.len());
        rows.push(fields);
    }
    let mut joined = Vec::new();
    for (place, aggregate) in aggregates.iter().enumerate() {
        let fields: Vec<&str> = rows
            .iter()
            .filter_map(|row| row.get(place).copied())
            .collect();
        let Some(field) = aggregate.join(&fields) else {
            let is_malformed = |field: &&str| aggregate.join(&[field]).is_none();
            return Err(fields.iter().position(is_malformed).unwrap_or(0));
        };
        joined.push(field);
    }
    joined.resize(joined.len() + empty, String::new());
    Ok([joined.join("\t").as_bytes(), b"\n"].concat())
}

#[cfg(test)]
#[path = "combine_tests.rs"]
mod tests;
