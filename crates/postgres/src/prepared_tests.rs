//! Unit tests of the `prepared` module.

use super::*;
use crate::sql::SessionEffect;

#[test]
fn equal_statements_are_stored_once_and_dropped_when_unreferenced() {
    let mut catalogue = Catalogue::default();
    let first = catalogue.prepare(b"select 1\0\0\0");
    assert!(Rc::ptr_eq(&first, &catalogue.prepare(b"select 1\0\0\0")));
    assert_ne!(
        first.number,
        catalogue.prepare(b"select 1\0\0\x01\0\0\0\x17").number
    );
    assert_eq!(first.text(), b"select 1");
    for i in 0..10 * MIN_SWEEP_ENTRIES {
        catalogue.prepare(format!("select {i}\0\0\0").as_bytes());
    }
    assert!(catalogue.prepared.len() <= 2 * MIN_SWEEP_ENTRIES);
    assert!(Rc::ptr_eq(&first, &catalogue.prepare(b"select 1\0\0\0")));
}

#[test]
fn settings_apply_changes_and_can_be_restored() {
    let mut settings = SessionSettings::default();
    let scan = sql::scan(b"SET a = 1; SET b = 2; SET a = 3; RESET b; SET c TO 'x'");
    for effect in &scan.effects {
        match &effect.effect {
            SessionEffect::Setting(change) => settings.apply(change),
            other => panic!("{other:?}"),
        }
    }
    assert_eq!(
        settings.restoring_sql(),
        "RESET ALL; SET a = 3; SET c TO 'x'"
    );
    settings.apply(&Change::ResetAll);
    assert_eq!(settings.restoring_sql(), "RESET ALL");
}
