//! Unit tests of the `fold` module.

use super::*;

/// Rule, customer and region of a row, and the part that released builds keep it in.
const PARTS: [(&str, &str, &str, usize); 4] = [
    ("eu-only", "acme", "west", 14),
    ("", "", "", 15),
    ("a", "b", "c", 8),
    ("deny-all", "*", "east", 3),
];

/// Fronts of all versions must agree on the part of a row, or its counts would stand in two.
#[test]
fn a_rows_part_is_the_same_in_every_build() {
    for (rule, customer, region, part) in PARTS {
        let [rule, customer, region] = [rule, customer, region].map(str::to_string);
        assert_eq!(
            part_index(&Hit {
                rule,
                customer,
                region
            }),
            part
        );
    }
}
