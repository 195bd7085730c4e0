//! Unit tests of the `shutdown` module.

use super::*;

#[test]
fn listener_stays_open_during_shard_handover_up_to_a_limit() {
    let mut shutdown = Shutdown::default();
    shutdown.request(0);
    for (dependency, grace_period) in [
        (LedgerDependency::None, GRACE_PERIOD),
        (LedgerDependency::OwnsShards, HAND_OVER_GRACE_PERIOD),
        (LedgerDependency::NeededForQuorum, QUORUM_GRACE_PERIOD),
    ] {
        assert!(!shutdown.should_close_listener(grace_period - 1, dependency));
        let mut late = (0..=FINAL_ITERATIONS)
            .map(|_| shutdown.should_close_listener(grace_period, dependency));
        assert!(
            late.by_ref()
                .take(FINAL_ITERATIONS.into())
                .all(|is_due| !is_due)
                && late.next() == Some(true)
        );
        shutdown.final_iterations = 0;
    }
}
