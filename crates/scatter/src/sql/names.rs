//! Names and constants of a statement: tables with their groups, columns and literals.

use sqlparser::ast::{
    Expr, Ident, ObjectName, SelectItem, TableFactor, UnaryOperator, Value as SqlValue,
};

use super::{not_divisible, Unsupported};
use crate::value::Literal;

// The schema that belongs to no group.
const STAGING_SCHEMA: &str = "staging";

/// The group and the table of a name with two parts.
pub(crate) fn table(name: &ObjectName) -> Option<(u32, String)> {
    let parts: Option<Vec<&Ident>> = name.0.iter().map(|part| part.as_ident()).collect();
    let [schema, table] = parts?[..] else {
        return None;
    };
    let (prefix, number) = schema.value.rsplit_once('_')?;
    let is_number = !number.is_empty() && number.bytes().all(|c| c.is_ascii_digit());
    let group = number
        .parse()
        .ok()
        .filter(|_| is_number && !prefix.eq_ignore_ascii_case(STAGING_SCHEMA))?;
    Some((group, plain_name(table)))
}

/// A name in its normal form: in lower case unless it is quoted.
pub(crate) fn plain_name(name: &Ident) -> String {
    match name.quote_style {
        None => name.value.to_ascii_lowercase(),
        Some(_) => name.value.clone(),
    }
}

/// A table as a statement refers to it.
pub(crate) struct TableReference {
    pub group: u32,
    pub table: String,
    /// The name that qualifies the table's columns.
    pub alias: String,
}

pub(crate) fn table_reference(relation: &TableFactor) -> Result<TableReference, Unsupported> {
    let TableFactor::Table {
        name,
        alias,
        args: None,
        with_hints,
        version: None,
        with_ordinality: false,
        partitions,
        json_path: None,
        sample: None,
        index_directives,
        inheritance: None,
    } = relation
    else {
        return not_divisible("anything but a table");
    };
    let renames_columns = alias.as_ref().is_some_and(|a| !a.columns.is_empty());
    if !with_hints.is_empty()
        || !partitions.is_empty()
        || !index_directives.is_empty()
        || renames_columns
    {
        return not_divisible("a table with hints, partitions or other names");
    }
    let (group, table) = table(name).ok_or(Unsupported::NoGroup)?;
    let alias = alias
        .as_ref()
        .map_or_else(|| table.clone(), |a| plain_name(&a.name));
    Ok(TableReference {
        group,
        table,
        alias,
    })
}

pub(super) fn alias_of(item: &SelectItem) -> Option<String> {
    match item {
        SelectItem::ExprWithAlias { alias, .. } => Some(alias.value.to_ascii_lowercase()),
        _ => None,
    }
}

/// Determines which names refer to columns of the table.
#[derive(Clone)]
pub(crate) struct ColumnScope {
    pub table: String,
    /// Aliases of the select list; dialects differ on what they refer to in a condition.
    pub aliases: Vec<String>,
    /// Whether another table is joined: an unqualified name may be a column of either then.
    pub qualified: bool,
}

impl ColumnScope {
    /// The column that an expression refers to. None if it refers to none, or if dialects differ on
    /// it.
    pub fn column(&self, e: &Expr) -> Option<String> {
        let name = match e {
            Expr::Identifier(name) if !self.qualified => name,
            Expr::CompoundIdentifier(parts) => match &parts[..] {
                [table, name] if plain_name(table) == self.table => name,
                _ => return None,
            },
            Expr::Nested(inner) => return self.column(inner),
            _ => return None,
        };
        // Quoted text is a name in some dialects and a string in others.
        let plain = name
            .quote_style
            .is_none()
            .then(|| name.value.to_ascii_lowercase())?;
        (!self.aliases.contains(&plain)).then_some(plain)
    }
}

/// A constant that is not NULL.
pub(crate) fn literal(e: &Expr) -> Option<Literal> {
    match e {
        Expr::Nested(inner) => literal(inner),
        Expr::Value(value) => match &value.value {
            SqlValue::Number(digits, false) => Some(Literal::Number {
                negative: false,
                digits: digits.clone(),
            }),
            SqlValue::SingleQuotedString(text) => Some(Literal::Text(text.clone())),
            SqlValue::Boolean(b) => Some(Literal::Bool(*b)),
            _ => None,
        },
        Expr::UnaryOp {
            op: UnaryOperator::Minus,
            expr,
        } => match literal(expr)? {
            Literal::Number {
                negative: false,
                digits,
            } => Some(Literal::Number {
                negative: true,
                digits,
            }),
            _ => None,
        },
        _ => None,
    }
}
