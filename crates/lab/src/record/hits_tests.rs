//! Unit tests of the `hits` module.

use super::*;
use crate::record::account::offered;

#[test]
fn lost_and_doubled_hits_are_reported() {
    let mut all = [offered("a", 0, 0), offered("b", 0, 0), offered("c", 0, 0)];
    all[2].asked.outcome = Outcome::Lost;
    let found = |counted: i64| {
        let mut wrong = Violations::new();
        check(
            &mut wrong,
            &all,
            &BTreeMap::from([("r".to_string(), counted)]),
            &|_| Some("r".into()),
        );
        wrong.into_keys().collect::<Vec<_>>()
    };
    assert!(found(2).is_empty() && found(3).is_empty());
    assert_eq!(
        (found(1), found(4)),
        (vec!["hit_lost"], vec!["hit_doubled"])
    );
    let mut wrong = Violations::new();
    check(
        &mut wrong,
        &all,
        &BTreeMap::from([("never".to_string(), 1)]),
        &|_| None,
    );
    assert!(wrong.contains_key("hit_doubled"));
}
