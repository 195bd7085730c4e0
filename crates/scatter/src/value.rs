//! Values of columns as summaries keep them, literals as statements write them, and how the two compare: where engines
//! may differ, a comparison answers for each of them.

use hallmux_hash::fnv1a;
use serde::{Deserialize, Serialize};

/// The most digits behind the point that a column of numbers may have.
pub const MAX_SCALE: u8 = 18; // digits behind the point: with 18 before it they fit 128 bits by far
const MAX_LITERAL_DIGITS: usize = 30; // of a literal; longer ones are not understood
const FLOAT_TOLERANCE: f64 = 1e-6; // of a float: an engine may round a literal to four bytes, which is off by a tenth of that

/// What a column holds, as its site declares it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kind {
    /// Whole numbers and decimals, in units of the last digit behind the point.
    Number {
        /// How many digits there are behind the point, at most [`MAX_SCALE`].
        scale: u8,
    },
    /// Binary floating-point numbers of either size.
    Float,
    /// Text, compared by this collation.
    Text(Collation),
    /// Truth values.
    Bool,
    /// Anything else: only nulls are told.
    Other,
}

impl Kind {
    /// Whether two values are equal for an engine exactly where they are so here.
    pub fn is_equal_by_value(self) -> bool {
        matches!(
            self,
            Kind::Number { .. } | Kind::Text(Collation::C | Collation::Exact) | Kind::Bool
        )
    }
}

/// What is known of how a column of text compares.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Collation {
    /// By bytes, as `C`.
    C,
    /// Equal only where the bytes are; the order is another's.
    Exact,
    /// Unequal bytes may be equal (case, accents, spaces at the end).
    Unknown,
}

/// A value that is not null.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Value {
    /// A number in units of the last digit behind the point, as the column's scale says.
    Number(i128),
    /// A binary floating-point number.
    Float(f64),
    /// Text, as the engine gives it.
    Text(String),
    /// A truth value.
    Bool(bool),
    /// Of a column whose kind tells nothing.
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

    /// What the membership filter knows it by; the same in every build.
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

/// A constant of a statement.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Literal {
    /// Digits with at most one point; negative or not.
    Number {
        /// Whether a minus stands before it.
        negative: bool,
        /// The digits, with at most one point among them.
        digits: String,
    },
    /// Text between single quotes.
    Text(String),
    /// TRUE or FALSE.
    Bool(bool),
}

/// The values of a column between which a literal lies: the same where it is one of them.
#[derive(Clone, Debug, PartialEq)]
pub struct Point {
    /// The literal is at or above this value, however an engine rounds it.
    pub below: Value,
    /// The literal is at or below this value, however an engine rounds it.
    pub above: Value,
    /// It is a value of the column for every engine.
    pub exact: bool,
}

impl Literal {
    /// Where it lies among the values of a column. None: engines may make anything of it.
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
        // Between two values: engines may round it to either, or compare it as it is.
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

/// Order of two values of one kind; None where they are of two.
pub fn order(a: &Value, b: &Value) -> Option<std::cmp::Ordering> {
    match (a, b) {
        (Value::Number(a), Value::Number(b)) => Some(a.cmp(b)),
        (Value::Float(a), Value::Float(b)) => a.partial_cmp(b),
        (Value::Text(a), Value::Text(b)) => Some(a.as_bytes().cmp(b.as_bytes())),
        (Value::Bool(a), Value::Bool(b)) => Some(a.cmp(b)),
        _ => None,
    }
}

/// Surely less; false where they can't be compared.
pub fn less(a: &Value, b: &Value) -> bool {
    order(a, b) == Some(std::cmp::Ordering::Less)
}

#[cfg(test)]
#[path = "value_tests.rs"]
mod tests;
