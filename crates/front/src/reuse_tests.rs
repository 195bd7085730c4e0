//! Unit tests of the `reuse` module.

use super::*;

#[test]
fn trusted_idle_time_shrinks_with_losses_and_recovers_with_answers() {
    let mut reuse = ReusePolicy::new(15_000_000);
    reuse.record_loss(3_000_000, LOSS_WINDOW); // worked for a while after its reuse, so it was not dead before
    reuse.record_loss(MIN_IDLE, 0); // was hardly idle
    assert_eq!(reuse.max_idle(), 15_000_000);
    reuse.record_loss(3_000_000, 300);
    assert_eq!(reuse.max_idle(), 1_500_000);
    reuse.record_loss(2_500_000, 300); // reused before the first loss was known
    assert_eq!(reuse.max_idle(), 1_250_000);
    reuse.record_loss(12_000, 300);
    assert_eq!(reuse.max_idle(), MIN_IDLE);
    (0..3000).for_each(|_| reuse.record_answer());
    assert_eq!(reuse.max_idle(), 15_000_000);
}
