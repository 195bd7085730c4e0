//! Unit tests of the `order` module.

use super::*;

#[test]
fn what_was_overtaken_or_comes_twice_is_not_taken() {
    let mut order = MessageOrder::default();
    for (from, incarnation, number, taken) in [
        (1, 1, 1, true),
        (1, 1, 3, true),
        (1, 1, 2, false),
        (1, 1, 3, false),
        (2, 1, 1, true), // each sender counts for itself
        (1, 1, 0, true), // that need not come in order
        (1, 2, 1, true),
        (1, 1, 9, false), // of an earlier incarnation
        (1, 2, 2, true),
    ] {
        assert_eq!(
            order.accepts(from, incarnation, number),
            taken,
            "{from} {incarnation} {number}"
        );
    }
}
