//! Unit tests of the `scatter` module.

use super::super::sections::tests::read;

#[test]
fn unknown_name_or_value_out_of_range_is_rejected_with_its_line() {
    let good = format!(
        "{{ scatter: {{\nloads: 'none', workloads: ['lookup'],\nsites: {{ here: '{}' }},\nschemas: {{ '17': 3 }} }} }}",
        "0f".repeat(32)
    );
    let scatter = read(&good).unwrap().scatter.unwrap();
    assert_eq!(
        (scatter.schemas.get(&17), scatter.marks_loads),
        (Some(&3), false)
    );
    for (from, to, expected) in [
        (
            "'lookup'",
            "'pay'",
            "line 2: scatter.workloads[0]: 'pay' is not among",
        ),
        (
            "here:",
            "there:",
            "line 3: scatter.sites.there: 'there' is not among",
        ),
        (
            "'0f",
            "'0",
            "line 3: scatter.sites.here: is not a public key",
        ),
        (
            "'17'",
            "'x'",
            "line 4: scatter.schemas.x: is not the number",
        ),
        (
            "schemas:",
            "whole_site: 'x', schemas:",
            "line 4: scatter.whole_site: 'x' is not among",
        ),
        ("'none'", "'x'", "line 2: scatter.loads: 'x' is neither"),
        (
            "'none'",
            "'marked'",
            "line 2: scatter.loads: 'marked' needs gossip.ledger",
        ),
        (
            "schemas:",
            "writes: ['x'], schemas:",
            "line 4: scatter.writes[0]: 'x' is not among",
        ),
        (
            "schemas:",
            "oldest_ms: 1, schemas:",
            "line 4: scatter.oldest_ms: is not from",
        ),
        (
            "schemas:",
            "partial: ['x'], schemas:",
            "line 4: scatter.partial[0]: 'x' is not among",
        ),
        (
            "schemas:",
            "keep: { memory_kb: 1, bytes_a_second: 1000 }, schemas:",
            "line 4: scatter.keep.memory_kb: is not",
        ),
        (
            "schemas:",
            "keep: { memory_kb: 16, bytes_a_second: 1 }, schemas:",
            "line 4: scatter.keep.bytes_a_second: is",
        ),
        (
            "schemas:",
            "audits: { one_in: 0, a_minute: 6 }, schemas:",
            "line 4: scatter.audits.one_in: is not",
        ),
        (
            "schemas:",
            "audits: { one_in: 9, a_minute: 0 }, schemas:",
            "line 4: scatter.audits.a_minute: is",
        ),
        ("'lookup'", "", "line 3: scatter.sites: names no site"),
    ] {
        let error = read(&good.replace(from, to)).unwrap_err();
        assert!(error.starts_with(expected), "{error}");
    }
}
