//! Unit tests of the `rules` module.

use super::*;

#[test]
fn versions_and_hits_are_parsed_from_log_lines() {
    let line = "2026 INFO hits of rule bound by customer ruled in r3: 41";
    assert_eq!(parse_hits_line(line), Some(("bound r3".into(), 41)));
    assert_eq!(
        number_after("x judges by version 12 of the rules", "judges by version "),
        Some(12)
    );
    assert_eq!(number_after("no such thing", "version "), None);
}
