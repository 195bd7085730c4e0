//! Determines from a load's text which rows it adds.

use sqlparser::ast::{
    Assignment, AssignmentTarget, ConflictTarget, Expr, Ident, Insert, OnConflict,
    OnConflictAction, OnInsert, SetExpr, Statement, TableObject, Value as SqlValue,
};

use crate::load_markers::{Affected, Cell};
use crate::sql::{self, literal, plain_name};

// Larger loads are recorded with fewer columns, or as changing anything.
const MAX_MARKER_ROWS_BYTES: usize = 256;
// The same holds for loads with more distinct rows.
const MAX_MARKER_ROWS: usize = 64;

/// The rows of an `INSERT ... VALUES` into a table of the group that has no other effect; None for
/// other statements.
pub(crate) fn rows(statement: Statement, group: u32) -> Option<Affected> {
    let Statement::Insert(insert) = statement else {
        return None;
    };
    let Insert {
        or: None,
        ignore: false,
        table,
        columns,
        overwrite: false,
        source,
        on,
        ..
    } = insert
    else {
        return None;
    };
    if insert.replace_into
        || insert.by_name
        || insert.partitioned.is_some()
        || !insert.assignments.is_empty()
    {
        return None;
    }
    if insert.multi_table_insert_type.is_some() || columns.is_empty() {
        return None;
    }
    let TableObject::TableName(name) = table else {
        return None;
    };
    let (_, table) = sql::table(&name).filter(|(named, _)| *named == group)?;
    let source = *source?;
    let SetExpr::Values(values) = *source.body else {
        return None;
    };
    if source.with.is_some() || source.limit_clause.is_some() || !source.pipe_operators.is_empty() {
        return None;
    }
    let name = |name: &sqlparser::ast::ObjectName| match &name.0[..] {
        [part] => part.as_ident().map(plain_name),
        _ => None,
    };
    let columns: Vec<String> = columns.iter().map(name).collect::<Option<_>>()?;
    let cell = |e: &Expr| match e {
        Expr::Value(value) if value.value == SqlValue::Null => Cell::Null,
        e => literal(e).map_or(Cell::Unknown, Cell::Is),
    };
    let rows: Vec<Vec<Cell>> = values
        .rows
        .iter()
        .map(|row| row.content.iter().map(cell).collect())
        .collect();
    let reliable = match on {
        None => (0..columns.len()).collect(),
        Some(on) => reliable_columns(&on, &columns)?,
    };
    shorten(table, &columns, &rows, reliable)
}

/// The columns whose values are certain even if a row exists already: those of the conflict target
/// and those that are set to the new value. Other columns may keep their old values.
fn reliable_columns(on: &OnInsert, columns: &[String]) -> Option<Vec<usize>> {
    let OnInsert::OnConflict(OnConflict {
        conflict_target,
        action,
    }) = on
    else {
        return None;
    };
    let OnConflictAction::DoUpdate(update) = action else {
        return Some((0..columns.len()).collect());
    };
    let position_of = |name: &Ident| {
        columns
            .iter()
            .position(|column| *column == plain_name(name))
    };
    let Some(ConflictTarget::Columns {
        columns: target, ..
    }) = conflict_target
    else {
        return None;
    };
    let mut reliable: Vec<usize> = target.iter().map(position_of).collect::<Option<_>>()?;
    for Assignment { target, value } in &update.assignments {
        let AssignmentTarget::ColumnName(name) = target else {
            return None;
        };
        let [part] = &name.0[..] else { return None };
        let position = position_of(part.as_ident()?)?;
        match value {
            Expr::CompoundIdentifier(parts) => match &parts[..] {
                [from, name]
                    if plain_name(from) == "excluded" && position_of(name) == Some(position) =>
                {
                    reliable.push(position)
                }
                // Another value, which is not evaluated here.
                _ => reliable.retain(|at| *at != position),
            },
            _ => reliable.retain(|at| *at != position),
        }
    }
    reliable.sort_unstable();
    reliable.dedup();
    (!reliable.is_empty()).then_some(reliable)
}

/// Reduces the rows to what a load marker stores. If they are too many, the columns with the fewest
/// distinct values are kept: a load of a day's rows is identified by its day.
fn shorten(
    table: String,
    columns: &[String],
    rows: &[Vec<Cell>],
    reliable: Vec<usize>,
) -> Option<Affected> {
    let with_columns = |reliable: &[usize]| {
        let project = |row: &Vec<Cell>| {
            reliable
                .iter()
                .filter_map(|at| row.get(*at).cloned())
                .collect()
        };
        let mut all: Vec<Vec<Cell>> = Vec::new();
        for row in rows.iter().map(project) {
            if !all.contains(&row) {
                all.push(row);
            }
            if all.len() > MAX_MARKER_ROWS {
                return None;
            }
        }
        let columns = reliable
            .iter()
            .filter_map(|at| columns.get(*at).cloned())
            .collect();
        let touched = Affected::Rows {
            table: table.clone(),
            columns,
            rows: all,
        };
        let fits =
            postcard::to_stdvec(&touched).is_ok_and(|bytes| bytes.len() <= MAX_MARKER_ROWS_BYTES);
        fits.then_some(touched)
    };
    if rows.iter().any(|row| row.len() != columns.len()) {
        return None;
    }
    let mut order = reliable;
    let touched = with_columns(&order);
    if touched.is_some() {
        return touched;
    }
    let distinct = |at: &usize| {
        let mut seen: Vec<&Cell> = Vec::new();
        for cell in rows.iter().filter_map(|row| row.get(*at)) {
            if !seen.contains(&cell) && seen.len() <= MAX_MARKER_ROWS {
                seen.push(cell);
            }
        }
        seen.len()
    };
    order.sort_by_cached_key(distinct);
    (1..order.len())
        .rev()
        .find_map(|count| with_columns(&order[..count]))
}
