//! Joins of two tables whose groups lie at the same sites. The operator guarantees that rows with
//! equal keys are at one site. A site is left out if one of its tables has no row that matches the
//! conditions, or if the two have no key in common.

use sqlparser::ast::{BinaryOperator, Expr, Join as Joined, JoinConstraint, JoinOperator};

use crate::condition::Condition;
use crate::filter::Members;
use crate::from_sql::operands;
use crate::load_markers::Affected;
use crate::plan::{reason_to_ask, Basis, LoadInfo, Reason};
use crate::row::{is_unambiguous, non_row_expression};
use crate::runs;
use crate::sql::{condition, not_divisible, table_reference, ColumnScope, Query, Unsupported};
use crate::summary::{Column, Summary, Table};
use crate::value::{less, Kind, Value};

// Values of the smaller side that are looked up in the filter of the other side.
const MAX_KEY_PROBES: i128 = 4_096;

/// The second table of a join.
#[derive(Clone, Debug, PartialEq)]
pub struct Join {
    /// The table group of the second table.
    pub group: u32,
    /// The name of the second table, without its schema.
    pub table: String,
    /// The condition on the rows of the second table.
    pub condition: Condition,
    /// Pairs of columns that must be equal, one of the first table and one of the second.
    pub keys: Vec<(String, String)>,
}

/// The column scope of the first table, the join's condition on its rows, and the second table.
pub(crate) type JoinParts = (ColumnScope, (Condition, Join));

/// Reads an inner join.
pub(crate) fn read(
    joined: &Joined,
    first: ColumnScope,
    selection: Option<&Expr>,
) -> Result<JoinParts, Unsupported> {
    let Joined {
        relation,
        global: false,
        join_operator,
    } = joined
    else {
        return not_divisible("GLOBAL JOIN");
    };
    let (JoinOperator::Join(JoinConstraint::On(on)) | JoinOperator::Inner(JoinConstraint::On(on))) =
        join_operator
    else {
        return not_divisible("a join that is no JOIN ... ON");
    };
    if let Some(what) = non_row_expression(on) {
        return not_divisible(what);
    }
    let mut on = on;
    while let Expr::Nested(inner) = on {
        on = inner;
    }
    let other_table = table_reference(relation)?;
    if other_table.alias == first.table {
        return not_divisible("a join of two tables by one name");
    }
    let second = ColumnScope {
        table: other_table.alias,
        ..first.clone()
    };
    let table_condition = |names: &ColumnScope| {
        Condition::All(vec![
            condition(selection, names),
            condition(Some(on), names),
        ])
    };
    let equal = |e: &Expr| {
        let Expr::BinaryOp {
            left,
            op: BinaryOperator::Eq,
            right,
        } = e
        else {
            return None;
        };
        match (first.column(left), second.column(right)) {
            (Some(a), Some(b)) => Some((a, b)),
            _ => Some((first.column(right)?, second.column(left)?)),
        }
    };
    let all = operands(on, &BinaryOperator::And);
    let keys = all
        .into_iter()
        .filter(|_| is_unambiguous(on))
        .filter_map(equal)
        .collect();
    let join = Join {
        group: other_table.group,
        table: other_table.table,
        condition: table_condition(&second),
        keys,
    };
    let first_condition = condition(Some(on), &first);
    Ok((first, (first_condition, join)))
}

/// A site's summary and its table for one side of the join; None if there is none.
type Side<'a> = Option<(&'a Summary, &'a Table)>;

/// Why a site must be asked for a join; None if no row of it can match.
pub(crate) fn reason_to_ask_join(
    query: &Query,
    join: &Join,
    basis: &Basis,
    site: &str,
) -> Option<Reason> {
    let side = |group: u32, table: &str| -> Side {
        let summary = basis.summaries.current(basis.wall_ms, site, group)?;
        Some((summary, summary.table(table)?))
    };
    let (first, second) = (
        side(query.group, &query.table),
        side(join.group, &join.table),
    );
    let (first_loads, second_loads) = basis.loads.sides();
    let reason = |side: Side, condition: &Condition, loads: &LoadInfo| match side {
        None => Some(Reason::NoSummary),
        Some((summary, table)) => reason_to_ask(condition, summary, table, loads),
    };
    let first_reason = reason(first, &query.condition, &first_loads)?;
    reason(second, &join.condition, &second_loads)?;
    let (Some(first), Some(second)) = (first, second) else {
        return Some(first_reason);
    };
    let unaffected_by_loads =
        is_unaffected(first, &first_loads) && is_unaffected(second, &second_loads);
    let column = |table: &Table, name: &str| table.columns.iter().position(|c| c.name == *name);
    let keys_disjoint = |(a, b): &(String, String)| {
        let (a, b) = (column(first.1, a), column(second.1, b));
        let columns = a
            .zip(b)
            .and_then(|(a, b)| Some((first.1.columns.get(a)?, second.1.columns.get(b)?)));
        columns.is_some_and(|(a, b)| share_no_value((a, first.1.rows), (b, second.1.rows)))
    };
    (!unaffected_by_loads || !join.keys.iter().any(keys_disjoint)).then_some(first_reason)
}

/// Whether no load that the summary does not cover can have changed the table.
fn is_unaffected((summary, table): (&Summary, &Table), loads: &LoadInfo) -> bool {
    let in_other_table = |touched: &Affected| matches!(touched, Affected::Rows { table: name, .. } if *name != table.name);
    match loads {
        LoadInfo::Markers(markers) => markers
            .uncovered(summary)
            .is_some_and(|uncovered| uncovered.into_iter().all(in_other_table)),
        LoadInfo::NoLoads => true,
        LoadInfo::JoinMarkers(..) | LoadInfo::Unknown => false,
    }
}

/// Whether no value of one column can equal a value of the other.
fn share_no_value((a, rows_a): (&Column, u64), (b, rows_b): (&Column, u64)) -> bool {
    // NULL equals nothing.
    if a.nulls == rows_a || b.nulls == rows_b {
        return true;
    }
    // Engines differ on the equality of values of different kinds.
    if a.kind != b.kind || !a.kind.is_equal_by_value() {
        return false;
    }
    if let (Some((from_a, to_a)), Some((from_b, to_b))) = (&a.bounds, &b.bounds) {
        if less(to_a, from_b) || less(to_b, from_a) {
            return true;
        }
    }
    let (runs_a, runs_b) = (runs_of(a), runs_of(b));
    if let (Some(all), Some(others)) = (&runs_a, &runs_b) {
        if !all
            .iter()
            .any(|(from, to)| runs::overlaps(others, *from, *to))
        {
            return true;
        }
    }
    shares_no_listed_value(a, runs_a, b) || shares_no_listed_value(b, runs_b, a)
}

/// The ranges that contain the numbers of a column, as far as the summary states them.
fn runs_of(column: &Column) -> Option<runs::Runs> {
    match (&column.bounds, column.runs.is_empty()) {
        (Some((Value::Number(from), Value::Number(to))), true) => Some(vec![(*from, *to)]),
        (_, false) => Some(column.runs.clone()),
        _ => None,
    }
}

/// Whether none of the values that the first column can have is in the other.
fn shares_no_listed_value(few: &Column, runs: Option<runs::Runs>, other: &Column) -> bool {
    let Some(members) = &other.members else {
        return false;
    };
    if let Some(Members::All(hashes)) = &few.members {
        return hashes.iter().all(|hash| !members.may_contain(*hash));
    }
    let (Kind::Number { .. }, Some(runs)) = (few.kind, runs) else {
        return false;
    };
    let count = runs.iter().try_fold(0_i128, |sum, (from, to)| {
        sum.checked_add(to.checked_sub(*from)?.checked_add(1)?)
    });
    let in_few = |hash: u64| {
        few.members
            .as_ref()
            .is_none_or(|members| members.may_contain(hash))
    };
    let in_both = |value: i128| {
        let hash = Value::Number(value).hash();
        in_few(hash) && members.may_contain(hash)
    };
    count.is_some_and(|count| count <= MAX_KEY_PROBES)
        && !runs.iter().any(|(from, to)| (*from..=*to).any(in_both))
}
