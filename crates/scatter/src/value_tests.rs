//! Unit tests of the `value` module.

use super::*;

fn point(text: &str, scale: u8) -> Option<(i128, i128)> {
    let (negative, digits) = text
        .strip_prefix('-')
        .map_or((false, text), |digits| (true, digits));
    let point = Literal::Number {
        negative,
        digits: digits.into(),
    }
    .point(Kind::Number { scale })?;
    match (point.below, point.above) {
        (Value::Number(below), Value::Number(above)) => Some((below, above)),
        _ => None,
    }
}

#[test]
fn hashes_are_the_same_in_every_build() {
    assert_eq!(Value::Text("abc".into()).hash(), 0xe71f_a219_0541_574b);
    assert_eq!(Value::Number(7).hash(), 0x9b25_de61_27c0_1ba2);
    assert_eq!(crate::store::summary_id("ash", 17), 0xf563_fdf5_1c9a_ffbc);
}

#[test]
fn number_literals_equal_a_value_or_lie_between_two() {
    for (text, scale, found) in [
        ("7", 0, Some((7, 7))),
        ("-7", 2, Some((-700, -700))),
        ("7.5", 0, Some((7, 8))),
        ("-7.5", 0, Some((-8, -7))),
        ("7.500", 1, Some((75, 75))),
        (".25", 1, Some((2, 3))),
        ("1e3", 0, None),
        (".", 0, None),
        ("1.2.3", 0, None),
        ("9999999999999999999999999999999", 0, None),
    ] {
        assert_eq!(point(text, scale), found, "{text} at {scale}");
    }
}
