//! Tests of [`MessageOrder`].

use super::*;

#[test]
fn out_of_order_and_duplicate_messages_are_dropped() {
    let mut order = MessageOrder::default();
    for (from, incarnation, number, accepted) in [
        (1, 1, 1, true),
        (1, 1, 3, true),
        (1, 1, 2, false),
        (1, 1, 3, false),
        (2, 1, 1, true), // senders are independent of each other
        (1, 1, 0, true), // number 0 may arrive in any order
        (1, 2, 1, true),
        (1, 1, 9, false), // sent by an earlier incarnation
        (1, 2, 2, true),
    ] {
        assert_eq!(
            order.accepts(from, incarnation, number),
            accepted,
            "{from} {incarnation} {number}"
        );
    }
}
