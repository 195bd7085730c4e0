//! Names and constants of a statement: which table and group, which column, which value.

use sqlparser::ast::{
    Expr, Ident, ObjectName, SelectItem, TableFactor, UnaryOperator, Value as SqlValue,
};

use super::{not_divisible, Unsupported};
use crate::value::Literal;

const STAGING_SCHEMA: &str = "staging"; // the schema that is no group's

/// The group and the table that a name of two parts stands for.
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

/// A name as it is kept: quoted ones as they are.
pub(crate) fn plain_name(name: &Ident) -> String {
    match name.quote_style {
        None => name.value.to_ascii_lowercase(),
        Some(_) => name.value.clone(),
    }
}

/// A table as a statement names it.
pub(crate) struct TableReference {
    pub group: u32,
    pub table: String,
    /// What its columns are named by.
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

/// Which names stand for columns of the table.
#[derive(Clone)]
pub(crate) struct ColumnScope {
    pub table: String,
    /// Given to what is selected: dialects differ in what they stand for in a condition.
    pub aliases: Vec<String>,
    /// Beside another table: a name by itself may be a column of either.
    pub qualified: bool,
}

impl ColumnScope {
    /// The column that an expression names; `None`: it names none, or dialects differ on it.
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
        // What is quoted is a name in one dialect and text in another.
        let plain = name
            .quote_style
            .is_none()
            .then(|| name.value.to_ascii_lowercase())?;
        (!self.aliases.contains(&plain)).then_some(plain)
    }
}

/// A constant that is not null.
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
