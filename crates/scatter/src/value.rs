//! Values of columns as summaries store them, literals as statements write them, and comparisons
//! between them. Where engines may differ, the result holds for each of them.

use hallmux_hash::fnv1a;
use serde::{Deserialize, Serialize};

/// The maximum number of decimal places of a column of numbers. With 18 digits before
/// the point as well, values fit 128 bits with a wide margin.
pub const MAX_SCALE: u8 = 18;
// Longer literals are not understood.
const MAX_LITERAL_DIGITS: usize = 30;
// Relative. An engine may round a literal to four bytes, which is off by at most a tenth of this.
const FLOAT_TOLERANCE: f64 = 1e-6;

/// The kind of values that a column holds, as its site declares it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kind {
    /// Integers and decimals, in units of the last decimal place.
    Number {
        /// The number of decimal places, at most [`MAX_SCALE`].
        scale: u8,
    },
    /// Binary floating-point numbers of four or eight bytes.
    Float,
    /// Text with this collation.
    Text(Collation),
    /// Booleans.
    Bool,
    /// Any other kind, of which only nulls are described.
    Other,
}

impl Kind {
    /// Whether engines consider two values equal exactly if they are equal here.
    pub fn is_equal_by_value(self) -> bool {
        matches!(
            self,
            Kind::Number { .. } | Kind::Text(Collation::C | Collation::Exact) | Kind::Bool
        )
    }
}

/// What is known about the comparison of a text column.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Collation {
    /// Compared by bytes, as with collation `C`.
    C,
    /// Equal only if the bytes are equal; the order is unknown.
    Exact,
    /// Different bytes may be equal (case, accents, trailing spaces).
    Unknown,
}

/// A value that is not null.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Value {
    /// A number in units of the last decimal place, according to the column's scale.
    Number(i128),
    /// A binary floating-point number.
    Float(f64),
    /// Text, as the engine returns it.
    Text(String),
    /// A boolean.
    Bool(bool),
    /// A value of a column of kind [`Kind::Other`].
    Other,
}

impl Value {
    /// Whether a column of this kind can hold the value.
    pub fn fits(&self, kind: Kind) -> bool {
        matches!(
            (self, kind),
            (Value::Number(_), Kind::Number { .. })
                | (Value::Float(_), Kind::Float)
                | (Value::Text(_), Kind::Text(_))
                | (Value::Bool(_), Kind::Bool)
                | (Value::Other, Kind::Other)
        )
    }

    /// The value's hash in membership filters; the same in every build.
    pub fn hash(&self) -> u64 {
        match self {
            Value::Number(n) => fnv1a(n.to_le_bytes()),
            Value::Text(text) => fnv1a(text.bytes()),
            Value::Bool(b) => u64::from(*b),
            Value::Float(f) => f.to_bits(),
            Value::Other => 0,
        }
    }
}

/// A constant in a statement.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Literal {
    /// A decimal number.
    Number {
        /// Whether the number has a minus sign.
        negative: bool,
        /// The digits, with at most one decimal point.
        digits: String,
    },
    /// Text in single quotes.
    Text(String),
    /// TRUE or FALSE.
    Bool(bool),
}

/// The neighbouring values of a literal among a column's values; both are the same if the literal
/// is one of them.
#[derive(Clone, Debug, PartialEq)]
pub struct Point {
    /// The literal is at or above this value, however an engine rounds it.
    pub below: Value,
    /// The literal is at or below this value, however an engine rounds it.
    pub above: Value,
    /// Whether the literal is a value of the column for every engine.
    pub exact: bool,
}

impl Literal {
    /// Locates the literal among the values of a column. None if engines may interpret it in
    /// different ways.
    pub fn point(&self, kind: Kind) -> Option<Point> {
        let exact = |v: Value| {
            Some(Point {
                below: v.clone(),
                above: v,
                exact: true,
            })
        };
        match (self, kind) {
            (Literal::Number { negative, digits }, Kind::Number { scale }) => {
                decimal_point(*negative, digits, scale)
            }
            (Literal::Number { negative, digits }, Kind::Float) => {
                let nearest: f64 = digits.parse().ok().filter(|f: &f64| f.is_finite())?;
                let nearest = if *negative { -nearest } else { nearest };
                let tolerance = nearest.abs() * FLOAT_TOLERANCE + f64::from(f32::MIN_POSITIVE);
                let (below, above) = (
                    Value::Float(nearest - tolerance),
                    Value::Float(nearest + tolerance),
                );
                Some(Point {
                    below,
                    above,
                    exact: false,
                })
            }
            (Literal::Text(text), Kind::Text(Collation::C | Collation::Exact)) => {
                exact(Value::Text(text.clone()))
            }
            (Literal::Bool(b), Kind::Bool) => exact(Value::Bool(*b)),
            _ => None,
        }
    }
}

fn decimal_point(negative: bool, digits: &str, scale: u8) -> Option<Point> {
    let (integer_digits, fraction_digits) = digits.split_once('.').unwrap_or((digits, ""));
    let is_digits = |text: &str| text.bytes().all(|c| c.is_ascii_digit());
    if !is_digits(integer_digits)
        || !is_digits(fraction_digits)
        || integer_digits.len() + fraction_digits.len() > MAX_LITERAL_DIGITS
        || digits == "."
    {
        return None;
    }
    let fraction_digits = fraction_digits.trim_end_matches('0');
    let kept: String = fraction_digits
        .chars()
        .chain(std::iter::repeat('0'))
        .take(usize::from(scale))
        .collect();
    let units: i128 = format!("0{integer_digits}{kept}").parse().ok()?;
    let (low, high) = match fraction_digits.len() > usize::from(scale) {
        // Between two values: engines may round it to either, or compare it exactly.
        true => (units, units + 1),
        false => (units, units),
    };
    let (below, above) = if negative { (-high, -low) } else { (low, high) };
    Some(Point {
        below: Value::Number(below),
        above: Value::Number(above),
        exact: low == high,
    })
}

/// The order of two values of one kind; None if their kinds differ or they have no order.
pub fn order(a: &Value, b: &Value) -> Option<std::cmp::Ordering> {
    match (a, b) {
        (Value::Number(a), Value::Number(b)) => Some(a.cmp(b)),
        (Value::Float(a), Value::Float(b)) => a.partial_cmp(b),
        (Value::Text(a), Value::Text(b)) => Some(a.as_bytes().cmp(b.as_bytes())),
        (Value::Bool(a), Value::Bool(b)) => Some(a.cmp(b)),
        _ => None,
    }
}

/// Whether `a` is certainly less than `b`; false if they can't be compared.
pub fn less(a: &Value, b: &Value) -> bool {
    order(a, b) == Some(std::cmp::Ordering::Less)
}

#[cfg(test)]
#[path = "value_tests.rs"]
mod tests;
