//! Unit tests of the `fold` module.

use super::*;

/// Rule, customer and region of a row, and the part in which released builds store it.
const PARTS: [(&str, &str, &str, usize); 4] = [
    ("eu-only", "acme", "west", 14),
    ("", "", "", 15),
    ("a", "b", "c", 8),
    ("deny-all", "*", "east", 3),
];

/// Guards against a change of the hash: if fronts of different builds disagreed on the part of a
/// row, its counts would be stored in two parts.
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
