//! Unit tests of the `read_queue` module.

use super::*;
use crate::events::SocketKind;

/// Guards against iterations that grow without end: a client that sends without pause was queued once more with each
/// event.
#[test]
fn socket_is_queued_once() {
    let mut queue = ReadQueue::default();
    let (first, second) = (SocketKind::Client.id(1), SocketKind::Session.id(1));
    for _ in 0..3 {
        queue.push(first);
        queue.push(second);
    }
    assert!(queue.contains(first) && queue.len() == 2);
    assert_eq!(queue.take(), [first, second]);
    assert!(queue.is_empty() && !queue.contains(first));
    queue.push(first);
    assert_eq!(queue.take(), [first]);
}

#[test]
fn share_of_an_iteration_shrinks_with_the_clients_and_lets_each_go_on() {
    assert_eq!(read_share(0), MAX_SHARE_BYTES);
    assert_eq!(read_share(1), MAX_SHARE_BYTES);
    assert_eq!(read_share(64), READ_BUDGET_BYTES / 64);
    assert_eq!(read_share(10_000), MIN_SHARE_BYTES);
}
