//! Whether expressions are of one row alone, and read alike by all dialects. The expressions within one are named here, not
//! walked by the crate's own visitor: that has the whole of its tree walked by code made anew, minutes of a release build.

use std::ops::ControlFlow;

use sqlparser::ast::{
    BinaryOperator, Expr, Function, FunctionArg, FunctionArgExpr, FunctionArguments, InTarget,
    SelectItem, UnaryOperator, Value as SqlValue,
};

/// Functions of one row alone. Any other may be an aggregate, or give another value at each call.
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

/// What in an expression is not of one row alone, by itself; None: nothing.
pub(crate) fn non_row_expression(e: &Expr) -> Option<String> {
    walk(e, check_single_row)
}

/// The same of what is selected.
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

/// Whether every dialect takes its operators for the same ones, with the same rank. It is of one row.
pub(crate) fn is_unambiguous(e: &Expr) -> bool {
    walk(e, check_unambiguous).is_none()
}

/// Chains of operators may be as long as the statement: no call within a call.
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

/// The expressions directly within one, of the kinds that are of one row; each field is named, so that what a later version
/// of the crate adds is looked at here.
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

/// The arguments of a plain call: `name(a, b)` and nothing else.
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

/// Whether an expression is of one row alone, by itself.
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

/// Whether every dialect takes the operator for the same one, with the same rank.
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
