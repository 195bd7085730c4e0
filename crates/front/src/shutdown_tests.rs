//! Unit tests of the `shutdown` module.

use super::*;

#[test]
fn the_listener_stays_open_while_shards_are_handed_over_but_not_for_ever() {
    let mut shutdown = Shutdown::default();
    shutdown.request(0);
    for (duty, close_after) in [
        (LedgerDependency::None, CLOSE_AFTER),
        (LedgerDependency::OwnsShards, CLOSE_AFTER_HAND_OVER),
        (LedgerDependency::NeededForQuorum, CLOSE_AFTER_QUORUM),
    ] {
        assert!(!shutdown.closes(close_after - 1, duty));
        let mut late = (0..=FINAL_ITERATIONS).map(|_| shutdown.closes(close_after, duty));
        assert!(
            late.by_ref()
                .take(FINAL_ITERATIONS.into())
                .all(|closes| !closes)
                && late.next() == Some(true)
        );
        shutdown.late_iterations = 0;
    }
}
