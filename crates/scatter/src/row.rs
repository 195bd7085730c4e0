//! Checks whether expressions depend on one row only, and whether all dialects read them alike. The
//! expressions within an expression are enumerated here, because the visitor of `sqlparser` is
//! generic code over its whole syntax tree, which adds minutes to a release build.

use std::ops::ControlFlow;

use sqlparser::ast::{
    BinaryOperator, Expr, Function, FunctionArg, FunctionArgExpr, FunctionArguments, InTarget,
    SelectItem, UnaryOperator, Value as SqlValue,
};

/// Functions of one row only. Any other function may be an aggregate, or return another value at
/// each call.
const SINGLE_ROW_FUNCTIONS: [&str; 24] = [
    "abs",
    "ceil",
    "ceiling",
    "char_length",
    "coalesce",
    "concat",
    "floor",
    "greatest",
    "least",
    "left",
    "length",
    "lower",
    "lpad",
    "ltrim",
    "mod",
    "nullif",
    "replace",
    "right",
    "round",
    "rpad",
    "rtrim",
    "substr",
    "trim",
    "upper",
];

type ExpressionCheck = fn(&Expr) -> ControlFlow<String>;

/// Describes the first part of an expression that does not depend on one row only; None if there is
/// none.
pub(crate) fn non_row_expression(e: &Expr) -> Option<String> {
    walk(e, check_single_row)
}

/// Like [`non_row_expression`], for an item of a select list.
pub(crate) fn selected_non_row_expression(item: &SelectItem) -> Option<String> {
    match item {
        SelectItem::UnnamedExpr(e) | SelectItem::ExprWithAlias { expr: e, .. } => {
            non_row_expression(e)
        }
        SelectItem::Wildcard(options) | SelectItem::QualifiedWildcard(_, options) => {
            let plain = options.opt_replace.is_none() && options.opt_alias.is_none();
            (!plain).then(|| "* with other values".to_string())
        }
        SelectItem::ExprWithAliases { .. } => Some("several names of one value".to_string()),
    }
}

/// Whether every dialect reads the operators of a single-row expression alike and with the same
/// precedence.
pub(crate) fn is_unambiguous(e: &Expr) -> bool {
    walk(e, check_unambiguous).is_none()
}

/// Applies a check to an expression and all expressions within it. Iterative, since chains of
/// operators may be as long as the statement.
fn walk(e: &Expr, check: ExpressionCheck) -> Option<String> {
    let mut open = vec![e];
    while let Some(e) = open.pop() {
        if let ControlFlow::Break(what) = check(e) {
            return Some(what);
        }
        push_operands(e, &mut open);
    }
    None
}

/// Pushes the expressions directly within a single-row expression. Each field is named, so that a
/// field added by a later version of `sqlparser` is noticed here.
fn push_operands<'a>(e: &'a Expr, open: &mut Vec<&'a Expr>) {
    match e {
        Expr::IsFalse(e)
        | Expr::IsNotFalse(e)
        | Expr::IsTrue(e)
        | Expr::IsNotTrue(e)
        | Expr::IsNull(e)
        | Expr::IsNotNull(e)
        | Expr::IsUnknown(e)
        | Expr::IsNotUnknown(e)
        | Expr::Nested(e)
        | Expr::UnaryOp { op: _, expr: e }
        | Expr::Cast {
            kind: _,
            expr: e,
            data_type: _,
            format: _,
        }
        | Expr::Extract {
            field: _,
            syntax: _,
            expr: e,
        }
        | Expr::Ceil { expr: e, field: _ }
        | Expr::Floor { expr: e, field: _ }
        | Expr::Collate {
            expr: e,
            collation: _,
        } => open.push(e),
        Expr::IsDistinctFrom(a, b)
        | Expr::IsNotDistinctFrom(a, b)
        | Expr::Position { expr: a, r#in: b }
        | Expr::RLike {
            negated: _,
            expr: a,
            pattern: b,
            regexp: _,
        }
        | Expr::BinaryOp {
            left: a,
            op: _,
            right: b,
        } => open.extend([&**a, &**b]),
        Expr::Between {
            expr,
            negated: _,
            low,
            high,
        } => open.extend([&**expr, &**low, &**high]),
        Expr::Like {
            negated: _,
            any: _,
            expr,
            pattern,
            escape_char,
        }
        | Expr::ILike {
            negated: _,
            any: _,
            expr,
            pattern,
            escape_char,
        }
        | Expr::SimilarTo {
            negated: _,
            expr,
            pattern,
            escape_char,
        } => {
            open.extend([&**expr, &**pattern]);
            open.extend(escape_char.as_deref());
        }
        Expr::In {
            expr,
            target: InTarget::List(list),
            negated: _,
            global: _,
        } => {
            open.push(expr);
            open.extend(list);
        }
        Expr::Interval(interval) => open.push(&interval.value),
        Expr::Substring {
            expr,
            substring_from,
            substring_for,
            special: _,
            shorthand: _,
        } => {
            open.push(expr);
            open.extend(substring_from.as_deref());
            open.extend(substring_for.as_deref());
        }
        Expr::Trim {
            trim_where: _,
            trim_what,
            expr,
            trim_characters,
        } => {
            open.push(expr);
            open.extend(trim_what.as_deref());
            open.extend(trim_characters.iter().flatten());
        }
        Expr::Case {
            case_token: _,
            end_token: _,
            operand,
            conditions,
            else_result,
        } => {
            open.extend(operand.as_deref());
            open.extend(
                conditions
                    .iter()
                    .flat_map(|when| [&when.condition, &when.result]),
            );
            open.extend(else_result.as_deref());
        }
        Expr::Function(f) => open.extend(arguments(f).into_iter().flatten()),
        _ => {}
    }
}

/// The arguments of a call of the form `name(a, b)`, without any other clause.
pub(crate) fn arguments(f: &Function) -> Option<Vec<&Expr>> {
    let plain = f.over.is_none()
        && f.filter.is_none()
        && f.within_group.is_empty()
        && f.null_treatment.is_none();
    let plain = plain && matches!(f.parameters, FunctionArguments::None);
    let FunctionArguments::List(list) = &f.args else {
        return None;
    };
    let plain = plain && list.clauses.is_empty() && list.duplicate_treatment.is_none();
    let one = |arg: &FunctionArg| matches!(arg, FunctionArg::Unnamed(FunctionArgExpr::Expr(_)));
    if !plain || !list.args.iter().all(one) {
        return None;
    }
    let all = list.args.iter().filter_map(|arg| match arg {
        FunctionArg::Unnamed(FunctionArgExpr::Expr(e)) => Some(e),
        _ => None,
    });
    Some(all.collect())
}

/// Checks whether an expression, apart from its operands, depends on one row only.
fn check_single_row(e: &Expr) -> ControlFlow<String> {
    let stop = |what: &str| ControlFlow::Break(what.to_string());
    match e {
        Expr::Identifier(name) if name.value.eq_ignore_ascii_case("rownum") => stop("ROWNUM"),
        Expr::Identifier(_)
        | Expr::CompoundIdentifier(_)
        | Expr::TypedString(_)
        | Expr::Interval(_) => ControlFlow::Continue(()),
        Expr::IsFalse(_)
        | Expr::IsNotFalse(_)
        | Expr::IsTrue(_)
        | Expr::IsNotTrue(_)
        | Expr::IsNull(_) => ControlFlow::Continue(()),
        Expr::IsNotNull(_) | Expr::IsUnknown(_) | Expr::IsNotUnknown(_) => {
            ControlFlow::Continue(())
        }
        Expr::IsDistinctFrom(..) | Expr::IsNotDistinctFrom(..) => ControlFlow::Continue(()),
        Expr::In {
            target: InTarget::List(_),
            ..
        }
        | Expr::Between { .. }
        | Expr::BinaryOp { .. } => ControlFlow::Continue(()),
        Expr::Like { .. } | Expr::ILike { .. } | Expr::SimilarTo { .. } | Expr::RLike { .. } => {
            ControlFlow::Continue(())
        }
        Expr::UnaryOp { .. } | Expr::Cast { .. } | Expr::Extract { .. } | Expr::Ceil { .. } => {
            ControlFlow::Continue(())
        }
        Expr::Floor { .. } | Expr::Position { .. } | Expr::Substring { .. } | Expr::Trim { .. } => {
            ControlFlow::Continue(())
        }
        Expr::Collate { .. } | Expr::Nested(_) | Expr::Case { .. } => ControlFlow::Continue(()),
        Expr::Value(value) if matches!(value.value, SqlValue::Placeholder(_)) => {
            stop("a placeholder")
        }
        Expr::Value(_) => ControlFlow::Continue(()),
        Expr::Function(f) => {
            let name = f.name.to_string().to_ascii_lowercase();
            match arguments(f).is_some() && SINGLE_ROW_FUNCTIONS.contains(&name.as_str()) {
                true => ControlFlow::Continue(()),
                false => ControlFlow::Break(format!("function '{name}'")),
            }
        }
        Expr::Subquery(_) | Expr::Exists { .. } | Expr::In { .. } => stop("a statement within it"),
        _ => stop("an expression of another kind"),
    }
}

/// Checks whether every dialect reads an operator alike and with the same precedence.
fn check_unambiguous(e: &Expr) -> ControlFlow<String> {
    use BinaryOperator::{
        And, Divide, Eq, Gt, GtEq, Lt, LtEq, Minus, Modulo, Multiply, NotEq, Or, Plus,
    };
    let known = match e {
        Expr::BinaryOp { op, .. } => {
            matches!(
                op,
                And | Or
                    | Eq
                    | NotEq
                    | Lt
                    | Gt
                    | LtEq
                    | GtEq
                    | Plus
                    | Minus
                    | Multiply
                    | Divide
                    | Modulo
            )
        }
        Expr::UnaryOp { op, .. } => {
            matches!(
                op,
                UnaryOperator::Not | UnaryOperator::Minus | UnaryOperator::Plus
            )
        }
        _ => true,
    };
    if known {
        ControlFlow::Continue(())
    } else {
        ControlFlow::Break(String::new())
    }
}
