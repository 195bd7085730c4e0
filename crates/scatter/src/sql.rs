//! Reads what a statement selects, by means of `sqlparser`: a table, a condition and a limit. Text
//! that dialects read in different ways is rejected, so that no engine's reading of it is missed.

mod names;

use sqlparser::ast::{
    Distinct, DuplicateTreatment, Expr, FunctionArguments, GroupByExpr, Ident, LimitClause,
    ObjectName, Query as Parsed, Select, SelectFlavor, SelectItem, SetExpr, Statement,
    TableWithJoins, Value as SqlValue,
};
use sqlparser::dialect::GenericDialect;
use sqlparser::parser::Parser;

pub(crate) use names::{literal, plain_name, table, table_reference, ColumnScope, TableReference};

use crate::combine::{self, Aggregate};
use crate::condition::Condition;
use crate::join::{self, Join};
use crate::row::{is_unambiguous, non_row_expression, selected_non_row_expression};

use names::alias_of;

// The nesting depth of conditions is bounded by the statement's length.
const MAX_STATEMENT_BYTES: usize = 16 << 10;

/// A statement whose answer can be built from those of its sites.
#[derive(Clone, Debug, PartialEq)]
pub struct Query {
    /// The table group, from the number in the schema's name.
    pub group: u32,
    /// The table's name, without its schema; in lower case unless it is quoted.
    pub table: String,
    /// The condition on the rows of this table.
    pub condition: Condition,
    /// The statement's LIMIT, if it has one.
    pub limit: Option<u64>,
    /// The aggregates of the answer, which is one row computed from those of the parts; None if
    /// rows are selected.
    pub combine: Option<Vec<Aggregate>>,
    /// The column whose distinct values in all rows are counted, if the statement asks for nothing
    /// else.
    pub distinct: Option<String>,
    /// The second table of a join, whose matching rows are at the same site.
    pub join: Option<Join>,
}

/// Why the answer to a statement can't be built from parts.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Unsupported {
    /// The statement is too long to be parsed; holds its length in bytes.
    #[error(
        "a statement of {0} bytes, over {MAX_STATEMENT_BYTES}: shorten it, or name a scatter.whole_site for it"
    )]
    Long(usize),
    /// Dialects read the text in different ways; holds the part that causes it.
    #[error(
        "text that dialects read in different ways ({0}): write it without, or name a scatter.whole_site"
    )]
    Ambiguous(&'static str),
    /// The statement can't be parsed, or there are several; holds the parser's message.
    #[error("not understood ({0}): write it plainer, or name a scatter.whole_site")]
    Syntax(String),
    /// A clause can't be computed from the sites' answers; holds its name.
    #[error("{0} can't be put together from the sites' parts: leave it out, or name a scatter.whole_site")]
    NotDivisible(String),
    /// The join is of two table groups that may lie at different sites; holds their numbers.
    #[error(
        "a join of groups {0} and {1}, which scatter.together does not name: name them where equal keys lie \
         at one site, or name a scatter.whole_site"
    )]
    NotColocated(u32, u32),
    /// The table's name does not contain its group.
    #[error("names no table as SCHEMA_NUMBER.TABLE: name the group's schema, or name a scatter.whole_site")]
    NoGroup,
}

pub(crate) fn not_divisible<T>(what: impl Into<String>) -> Result<T, Unsupported> {
    Err(Unsupported::NotDivisible(what.into()))
}

/// Finds text that begins or ends strings or comments in some dialects only.
fn ambiguous(text: &str) -> Option<&'static str> {
    let is_ambiguous_comment = |(at, _): (usize, &str)| {
        text[at + 2..]
            .chars()
            .next()
            .is_some_and(|c| !c.is_whitespace())
    };
    let has_ambiguous_comment = || {
        let mut rest = text;
        while let Some((_, after_start)) = rest.split_once("/*") {
            let Some((comment, after)) = after_start.split_once("*/") else {
                return true;
            };
            if comment.contains("/*") || comment.starts_with(['!', '+', 'M']) {
                return true;
            }
            rest = after;
        }
        false
    };
    match () {
        () if text.contains('\\') => Some("a backslash"),
        () if text.contains('#') => Some("#"),
        () if text.contains('$') => Some("$"),
        () if text.match_indices("--").any(is_ambiguous_comment) => {
            Some("-- without a space behind")
        }
        () if has_ambiguous_comment() => Some("a comment within a comment, or one with orders"),
        () => None,
    }
}

pub(crate) fn parse(statement: &[u8]) -> Result<Statement, Unsupported> {
    if statement.len() > MAX_STATEMENT_BYTES {
        return Err(Unsupported::Long(statement.len()));
    }
    let Ok(text) = std::str::from_utf8(statement) else {
        return Err(Unsupported::Syntax("it is no UTF-8".to_string()));
    };
    if let Some(what) = ambiguous(text) {
        return Err(Unsupported::Ambiguous(what));
    }
    match Parser::parse_sql(&GenericDialect {}, text) {
        Ok(mut all) => match (all.pop(), all.is_empty()) {
            (Some(statement), true) => Ok(statement),
            (Some(_), false) => Err(Unsupported::Syntax("several statements".to_string())),
            (None, _) => Err(Unsupported::Syntax("no statement".to_string())),
        },
        Err(e) => Err(Unsupported::Syntax(e.to_string())),
    }
}

/// Reads a statement whose answer can be built from parts.
pub fn read(statement: &[u8]) -> Result<Query, Unsupported> {
    query_of_statement(parse(statement)?)
}

/// Reads a `SELECT COUNT(DISTINCT column)` over all rows of a table, which sketches may answer.
/// None for other statements.
pub fn read_distinct(statement: &[u8]) -> Option<Query> {
    let mut statement = parse(statement).ok()?;
    let Statement::Query(query) = &mut statement else {
        return None;
    };
    let SetExpr::Select(select) = &mut *query.body else {
        return None;
    };
    let (SelectItem::UnnamedExpr(Expr::Function(f))
    | SelectItem::ExprWithAlias {
        expr: Expr::Function(f),
        ..
    }) = select.projection.first_mut()?
    else {
        return None;
    };
    let FunctionArguments::List(list) = &mut f.args else {
        return None;
    };
    let counts = f.name.to_string().eq_ignore_ascii_case("count");
    if !counts || list.duplicate_treatment.take() != Some(DuplicateTreatment::Distinct) {
        return None;
    }
    // The rules for `max(column)` apply here too: a single column, and no other clause.
    f.name = ObjectName::from(vec![Ident::new("max")]);
    let query = query_of_statement(statement).ok()?;
    let [Aggregate {
        column: Some(column),
        ..
    }] = &query.combine.as_ref()?[..]
    else {
        return None;
    };
    let selects_all_rows = query.condition == Condition::Constant(true);
    let distinct = Some(column.clone()).filter(|_| selects_all_rows)?;
    Some(Query {
        combine: None,
        distinct: Some(distinct),
        ..query
    })
}

fn query_of_statement(statement: Statement) -> Result<Query, Unsupported> {
    let Statement::Query(query) = statement else {
        return not_divisible("what is no SELECT");
    };
    // Each field is named, so that a clause added by a later version of `sqlparser` is noticed
    // here.
    let Parsed {
        with,
        body,
        order_by,
        limit_clause,
        fetch,
        locks,
        for_clause,
        settings,
        format_clause,
        pipe_operators,
    } = *query;
    for (is_present, what) in [
        (with.is_some(), "WITH"),
        (order_by.is_some(), "ORDER BY"),
        (fetch.is_some(), "FETCH"),
        (!locks.is_empty(), "FOR UPDATE"),
        (
            for_clause.is_some() || settings.is_some() || format_clause.is_some(),
            "FOR, SETTINGS or FORMAT",
        ),
        (!pipe_operators.is_empty(), "a pipe"),
    ] {
        if is_present {
            return not_divisible(what);
        }
    }
    let SetExpr::Select(select) = *body else {
        return not_divisible("UNION or another set of statements");
    };
    let limit = match limit_clause {
        None => None,
        Some(LimitClause::LimitOffset {
            limit,
            offset: None,
            limit_by,
        }) if limit_by.is_empty() => limit.map(|limit| row_limit(&limit)).transpose()?,
        Some(_) => return not_divisible("OFFSET"),
    };
    select_from(*select, limit)
}

fn row_limit(limit: &Expr) -> Result<u64, Unsupported> {
    let count = match limit {
        Expr::Value(value) => match &value.value {
            SqlValue::Number(digits, false) => digits.parse().ok(),
            _ => None,
        },
        _ => None,
    };
    count.ok_or_else(|| Unsupported::NotDivisible("LIMIT by anything but a number".to_string()))
}

fn select_from(select: Select, limit: Option<u64>) -> Result<Query, Unsupported> {
    let Select {
        select_token: _,
        optimizer_hints,
        distinct,
        select_modifiers,
        top,
        top_before_distinct: _,
        projection,
        exclude,
        into,
        from,
        lateral_views,
        prewhere,
        selection,
        connect_by,
        group_by,
        cluster_by,
        distribute_by,
        sort_by,
        having,
        named_window,
        qualify,
        window_before_qualify: _,
        value_table_mode,
        flavor,
    } = select;
    let grouped = !matches!(&group_by, GroupByExpr::Expressions(by, with) if by.is_empty() && with.is_empty());
    let sorted = !cluster_by.is_empty() || !distribute_by.is_empty() || !sort_by.is_empty();
    for (is_present, what) in [
        (
            distinct.is_some_and(|d| !matches!(d, Distinct::All)),
            "DISTINCT",
        ),
        (grouped || having.is_some(), "GROUP BY"),
        (top.is_some(), "TOP"),
        (into.is_some(), "INTO"),
        (sorted, "SORT BY"),
        (!named_window.is_empty() || qualify.is_some(), "a window"),
        (
            !lateral_views.is_empty() || !connect_by.is_empty() || prewhere.is_some(),
            "a clause of one dialect",
        ),
        (
            !optimizer_hints.is_empty() || select_modifiers.is_some() || exclude.is_some(),
            "a hint or modifier",
        ),
        (
            value_table_mode.is_some() || flavor != SelectFlavor::Standard,
            "a SELECT of another form",
        ),
    ] {
        if is_present {
            return not_divisible(what);
        }
    }
    query_of_tables(&from, &projection, selection.as_ref(), limit)
}

/// Reads a SELECT without other clauses.
fn query_of_tables(
    from: &[TableWithJoins],
    projection: &[SelectItem],
    selection: Option<&Expr>,
    limit: Option<u64>,
) -> Result<Query, Unsupported> {
    let [from] = from else {
        return not_divisible("a list of tables");
    };
    let TableReference {
        group,
        table,
        alias,
    } = table_reference(&from.relation)?;
    let aliases: Vec<String> = projection.iter().filter_map(alias_of).collect();
    let (first, joins) = (
        ColumnScope {
            table: alias,
            aliases,
            qualified: !from.joins.is_empty(),
        },
        &from.joins[..],
    );
    let (names, joined) = match joins {
        [] => (first, None),
        [other] => join::read(other, first, selection).map(|(names, join)| (names, Some(join)))?,
        _ => return not_divisible("a join of more than two tables"),
    };
    let combine = combine::read(projection, &names)?;
    if combine.is_some() && limit.is_some() {
        return not_divisible("LIMIT beside aggregates");
    }
    let unsupported = projection
        .iter()
        .filter(|_| combine.is_none())
        .find_map(selected_non_row_expression);
    if let Some(what) = unsupported.or_else(|| selection.and_then(non_row_expression)) {
        return not_divisible(what);
    }
    let condition = condition(selection, &names);
    let (condition, join) = match joined {
        None => (condition, None),
        Some((on, join)) => (Condition::All(vec![condition, on]), Some(join)),
    };
    Ok(Query {
        group,
        table,
        condition,
        limit,
        combine,
        distinct: None,
        join,
    })
}

/// The condition on the rows of a table.
pub(crate) fn condition(selection: Option<&Expr>, names: &ColumnScope) -> Condition {
    match selection {
        None => Condition::Constant(true),
        // MySQL reads some operators as AND and OR, which changes the structure of the whole
        // condition.
        Some(e) if !is_unambiguous(e) => Condition::Other,
        Some(e) => crate::from_sql::condition(e, names),
    }
}
