//! Unit tests of the `rules` module.

use crate::operator_file::sections::tests::read;

#[test]
fn rules_with_unknown_name_or_value_out_of_range_are_rejected() {
    let good = "{ rules: { file: 'rules.json5', region: 'eu',\n regions: { eu: ['here'] },\n customers: ['acme'] } }";
    let rules = read(good).unwrap().rules.unwrap();
    assert_eq!(
        (rules.lease, rules.drift_ppm, rules.log_interval),
        (3_000_000, 10_000, 60_000_000)
    );
    assert_eq!(rules.customers, Some(vec!["acme".to_string()]));
    for (from, to, expected) in [
        ("'rules.json5'", "''", "line 1: rules.file: is empty; give"),
        (
            "region: 'eu'",
            "region: 'us'",
            "line 1: rules.region: 'us' is not among the regions: eu, here; name",
        ),
        (
            "['here']",
            "['there']",
            "line 2: rules.regions.eu[0]: 'there' is not among the settings' locations",
        ),
        (
            "['here']",
            "[]",
            "line 2: rules.regions.eu: holds no location; name one",
        ),
        (
            "['acme']",
            "['acne']",
            "line 3: rules.customers[0]: 'acne' is not among the settings' customers",
        ),
        (
            "file:",
            "lease_ms: 1, file:",
            "line 1: rules.lease_ms: is not from 500 to 60000",
        ),
        (
            "file:",
            "drift_ppm: 300000, file:",
            "line 1: rules.drift_ppm: is over 200000",
        ),
        (
            "file:",
            "tell_every_ms: 5, file:",
            "line 1: rules.tell_every_ms: is not from",
        ),
        (
            "file:",
            "what_if_hours: 169, file:",
            "line 1: rules.what_if_hours: is not from 0 to 168",
        ),
        (
            "file:",
            "fiel: 1, file:",
            "line 1: rules.fiel: unknown field",
        ),
    ] {
        let error = read(&good.replace(from, to)).unwrap_err();
        assert!(error.starts_with(expected), "{to}: {error}");
    }
}
