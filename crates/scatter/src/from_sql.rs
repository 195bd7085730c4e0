//! Converts the expression of a statement into a condition.

use sqlparser::ast::{BinaryOperator, Expr, InTarget, UnaryOperator, Value as SqlValue};

use crate::condition::{Comparison, Condition};
use crate::sql::{literal, ColumnScope};
use crate::value::Literal;

// A condition nested more deeply is not understood.
const MAX_EXPRESSION_DEPTH: usize = 64;
// A longer list of constants is not understood.
const MAX_LIST_ITEMS: usize = 256;
// The front's only thread evaluates each comparison against each site's summary.
const MAX_CONDITION_LEAVES: usize = 256;

/// Converts an expression. Anything that is not understood becomes `Condition::Other`, which proves
/// nothing.
pub(crate) fn condition(e: &Expr, names: &ColumnScope) -> Condition {
    Some(condition_at_depth(e, names, 0))
        .filter(|c| c.leaves() <= MAX_CONDITION_LEAVES)
        .unwrap_or(Condition::Other)
}

fn condition_at_depth(e: &Expr, names: &ColumnScope, depth: usize) -> Condition {
    if depth > MAX_EXPRESSION_DEPTH {
        return Condition::Other;
    }
    let nested = |e: &Expr| condition_at_depth(e, names, depth + 1);
    match e {
        Expr::Nested(inner) => nested(inner),
        Expr::UnaryOp {
            op: UnaryOperator::Not,
            expr,
        } => Condition::Not(Box::new(nested(expr))),
        Expr::BinaryOp {
            op: BinaryOperator::And,
            ..
        } => Condition::All(
            operands(e, &BinaryOperator::And)
                .into_iter()
                .map(nested)
                .collect(),
        ),
        Expr::BinaryOp {
            op: BinaryOperator::Or,
            ..
        } => Condition::Any(
            operands(e, &BinaryOperator::Or)
                .into_iter()
                .map(nested)
                .collect(),
        ),
        Expr::BinaryOp { left, op, right } => comparison(left, op, right, names),
        Expr::Between {
            expr,
            negated,
            low,
            high,
        } => not(*negated, between(expr, low, high, names)),
        Expr::In {
            expr,
            target: InTarget::List(list),
            negated,
            global: false,
        } => not(*negated, in_list(expr, list, names)),
        Expr::IsNull(inner) => is_null(inner, false, names),
        Expr::IsNotNull(inner) => is_null(inner, true, names),
        Expr::Like {
            negated,
            any: false,
            expr,
            pattern,
            escape_char,
        } => not(*negated, like(expr, pattern, escape_char.as_deref(), names)),
        Expr::Value(value) => match value.value {
            SqlValue::Boolean(b) => Condition::Constant(b),
            _ => Condition::Other,
        },
        _ => names
            .column(e)
            .map_or(Condition::Other, |column| Condition::IsTrue { column }),
    }
}

/// Converts a comparison of a column with a constant, on either side.
fn comparison(left: &Expr, op: &BinaryOperator, right: &Expr, names: &ColumnScope) -> Condition {
    let by = match op {
        BinaryOperator::Eq => Comparison::Equal,
        BinaryOperator::NotEq => Comparison::Unequal,
        BinaryOperator::Lt => Comparison::Less,
        BinaryOperator::LtEq => Comparison::AtMost,
        BinaryOperator::Gt => Comparison::Greater,
        BinaryOperator::GtEq => Comparison::AtLeast,
        _ => return Condition::Other,
    };
    match (
        names.column(left),
        literal(right),
        literal(left),
        names.column(right),
    ) {
        (Some(column), Some(literal), ..) => Condition::Compare {
            column,
            by,
            literal,
        },
        (_, _, Some(literal), Some(column)) => Condition::Compare {
            column,
            by: by.flipped(),
            literal,
        },
        _ => Condition::Other,
    }
}

fn between(e: &Expr, low: &Expr, high: &Expr, names: &ColumnScope) -> Condition {
    let (Some(column), Some(low), Some(high)) = (names.column(e), literal(low), literal(high))
    else {
        return Condition::Other;
    };
    let bound = |by, literal| Condition::Compare {
        column: column.clone(),
        by,
        literal,
    };
    Condition::All(vec![
        bound(Comparison::AtLeast, low),
        bound(Comparison::AtMost, high),
    ])
}

fn in_list(e: &Expr, list: &[Expr], names: &ColumnScope) -> Condition {
    let (Some(column), true) = (names.column(e), list.len() <= MAX_LIST_ITEMS) else {
        return Condition::Other;
    };
    let equal = |e: &Expr| {
        let (column, by) = (column.clone(), Comparison::Equal);
        literal(e).map_or(Condition::Other, |literal| Condition::Compare {
            column,
            by,
            literal,
        })
    };
    Condition::Any(list.iter().map(equal).collect())
}

/// Converts LIKE by the part of the pattern before its first wildcard.
fn like(e: &Expr, pattern: &Expr, escape: Option<&Expr>, names: &ColumnScope) -> Condition {
    let (Some(column), Some(Literal::Text(pattern))) = (names.column(e), literal(pattern)) else {
        return Condition::Other;
    };
    let escape = match escape {
        None => None,
        Some(e) => match literal(e) {
            Some(Literal::Text(text)) if text.chars().count() == 1 => text.chars().next(),
            _ => return Condition::Other,
        },
    };
    let end = pattern.find(|c| matches!(c, '%' | '_' | '[') || Some(c) == escape);
    let prefix = pattern[..end.unwrap_or(pattern.len())].to_string();
    Condition::StartsWith { column, prefix }
}

/// Negates a condition if requested. A condition that is not understood stays so.
fn not(negated: bool, condition: Condition) -> Condition {
    match condition {
        Condition::Other => Condition::Other,
        condition if negated => Condition::Not(Box::new(condition)),
        condition => condition,
    }
}

fn is_null(inner: &Expr, negated: bool, names: &ColumnScope) -> Condition {
    names.column(inner).map_or(Condition::Other, |column| {
        not(negated, Condition::Null { column })
    })
}

/// The operands of a chain of one operator, which may be as long as the statement.
pub(crate) fn operands<'a>(e: &'a Expr, operator: &BinaryOperator) -> Vec<&'a Expr> {
    let (mut members, mut remaining) = (Vec::new(), e);
    while let Expr::BinaryOp { left, op, right } = remaining {
        if op != operator {
            break;
        }
        members.push(&**right);
        remaining = left;
    }
    members.push(remaining);
    members
}
