//! Tests of the order among the statements of one key.

use super::OrderQueues;

const KEY: Option<u32> = Some(7);

fn queue(statements: &[u32]) -> OrderQueues {
    let mut queues = OrderQueues::default();
    for id in statements {
        queues.enqueue(KEY, *id);
    }
    queues
}

#[test]
fn statements_of_a_key_run_in_order_of_arrival() {
    let mut queues = queue(&[1, 2]);
    assert!(queues.is_first(KEY, 1, false, 0) && !queues.is_first(KEY, 2, false, 0));
    queues.remove(KEY, 1, 0);
    assert!(queues.is_first(KEY, 2, false, 0));
    assert!(
        queues.is_first(None, 9, false, 0),
        "a statement without a key is always first"
    );
}

#[test]
fn an_execution_that_may_still_run_holds_the_key() {
    let mut queues = queue(&[1, 2]);
    queues.remove(KEY, 1, 1);
    assert!(!queues.is_first(KEY, 2, false, 0));
    queues.resolve(KEY, true, None);
    assert!(queues.is_first(KEY, 2, false, 0));
}

#[test]
fn an_open_transaction_holds_the_key() {
    let mut queues = queue(&[1, 2]);
    queues.hold(KEY);
    queues.remove(KEY, 1, 0);
    assert!(!queues.is_first(KEY, 2, false, 0));
    queues.resolve(KEY, true, None);
    assert!(queues.is_first(KEY, 2, false, 0));
}

#[test]
fn a_paused_key_delays_first_attempts_only() {
    let mut queues = queue(&[1]);
    queues.resolve(KEY, false, Some(100));
    assert_eq!(queues.paused_until(KEY), 100);
    assert!(!queues.is_first(KEY, 1, false, 99));
    assert!(queues.is_first(KEY, 1, true, 99));
    assert!(queues.is_first(KEY, 1, false, 100));
}

#[test]
fn a_key_is_shared_while_it_has_several_unfinished_statements() {
    let mut queues = queue(&[1, 2]);
    assert!(queues.is_shared(KEY));
    queues.remove(KEY, 2, 0);
    assert!(!queues.is_shared(KEY) && !queues.is_shared(None));
}
