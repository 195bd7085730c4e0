//! Unit tests of the `barred` module.

use super::*;
use crate::record::account::offered;
use crate::record::executions::ran;

#[test]
fn a_read_in_a_barred_zone_is_reported_while_the_rule_is_in_force() {
    let bar = BarredZone {
        class: Some(0),
        zone: 1,
        in_force: 100,
        until: 900,
    };
    let found = |class: usize, engine: usize, from: i64| {
        let own = Offered {
            class,
            ..offered("a", 0, 0)
        };
        let mut wrong = Violations::new();
        let ran = [ran("a", "", (engine, 0), (from, from + 5))];
        check(
            &mut wrong,
            &ran,
            &[own],
            (std::slice::from_ref(&bar), &|engine| engine / 2),
        );
        !wrong.is_empty()
    };
    assert!(found(0, 2, 101) && found(0, 3, 899));
    assert!(!found(0, 2, 100) && !found(0, 2, 900) && !found(0, 1, 500) && !found(1, 2, 500));
}
