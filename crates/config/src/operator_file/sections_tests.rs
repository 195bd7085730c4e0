//! Unit tests of the `sections` module, and the parser that the tests of the sections share.

use super::{LoadSignal, OperatorConfig};

const SETTINGS: &str = r#"{"instances": 1, "areas": ["here"], "kinds": ["std", "pg"], "rules": {},
    "customers": [{"name": "acme"}],
    "requestClasses": [{"name": "lookup", "aimMs": 1000, "deadlineMs": 5000, "repeat": "repeatable"}]}"#;

/// Parses an operator's file against settings with one workload, one customer, one location and two
/// kinds.
pub fn read(text: &str) -> Result<OperatorConfig, String> {
    Ok(OperatorConfig::parse(
        text,
        &crate::Settings::parse(SETTINGS).unwrap(),
    )?)
}

#[test]
fn example_file_is_accepted_with_every_section() {
    let text = include_str!("../../../../deploy/operator.example.json5");
    let more = SETTINGS.replace(r#"["here"]"#, r#"["here", "std-eu", "std-us", "std-ap"]"#);
    let settings = crate::Settings::parse(&more).unwrap();
    // These settings define no load report.
    let example =
        OperatorConfig::parse(&text.replace("load_signal: 'in_flight',", ""), &settings).unwrap();
    assert!(example.postgres.is_some() && example.gossip.is_some() && example.scatter.is_some());
    assert!(example.rules.is_some());
}

const REPORTING: &str = r#"{"instances": 120, "areas": ["here"], "kinds": ["std"], "rules": {},
    "report": {"names": ["cpu", "waiting"], "source": "on_probe"},
    "requestClasses": [{"name": "lookup", "aimMs": 1000, "deadlineMs": 5000, "repeat": "repeatable"}]}"#;

#[test]
fn load_signal_missing_from_the_reports_is_rejected() {
    let settings = crate::Settings::parse(REPORTING).unwrap();
    let layout = &settings.agreement.report;
    assert_eq!(
        (layout.active, layout.busy, layout.waiting),
        (None, Some(0), Some(1))
    );
    // Without the key, the settings alone select the load figure.
    let without_key = OperatorConfig::parse("{}", &settings).unwrap();
    assert_eq!(without_key.load_signal, None);
    let chosen = OperatorConfig::parse("{ load_signal: 'utilization' }", &settings).unwrap();
    assert_eq!(chosen.load_signal, Some(LoadSignal::Utilization));
    // The earlier load signal with reports of the later form is rejected with the key and its line.
    let mixed = OperatorConfig::parse("{\n  load_signal: 'in_flight',\n}", &settings)
        .unwrap_err()
        .to_string();
    assert!(
        mixed.starts_with("line 2: load_signal: 'in_flight' needs 'active'"),
        "{mixed}"
    );
    let unknown = OperatorConfig::parse("{ load_signal: 'rough' }", &settings)
        .unwrap_err()
        .to_string();
    assert!(
        unknown.starts_with("line 1: load_signal: 'rough' is neither"),
        "{unknown}"
    );
}

#[test]
fn selected_load_signal_disables_the_other_figure() {
    let both = REPORTING.replace(r#"["cpu", "waiting"]"#, r#"["active", "cpu"]"#);
    let settings = crate::Settings::parse(&both).unwrap();
    let (mut earlier, mut later) = (
        settings.agreement.report.clone(),
        settings.agreement.report.clone(),
    );
    OperatorConfig::parse("{ load_signal: 'in_flight' }", &settings)
        .unwrap()
        .apply_load_signal(&mut earlier);
    OperatorConfig::parse("{ load_signal: 'utilization' }", &settings)
        .unwrap()
        .apply_load_signal(&mut later);
    assert_eq!((earlier.active, earlier.busy), (Some(0), None));
    assert_eq!((later.active, later.busy), (None, Some(1)));
}
