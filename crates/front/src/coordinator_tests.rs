//! Unit tests of the `coordinator` module.

use super::*;

#[test]
fn failed_poll_is_retried_at_once_then_at_intervals() {
    let events: calloop::EventLoop<'static, LoopEvents> = calloop::EventLoop::try_new().unwrap();
    let mut coordinator = Coordinator::new(events.handle(), Some(([127, 0, 0, 1], 9).into()), 7);
    let mut due_after = |now| {
        coordinator.handle_failure(now, "connection closed");
        coordinator.due()
    };
    assert_eq!(
        [due_after(1_000), due_after(2_000), due_after(3_000)],
        [1_000, 2_000 + RETRY_INTERVAL, 3_000 + RETRY_INTERVAL]
    );
}
