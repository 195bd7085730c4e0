//! Unit tests of the `disks` module.

use super::*;

#[test]
fn each_step_hits_a_different_front_with_time_for_repair_between() {
    for seed in 0..200 {
        let (whole, owner_faults) = draw(seed, false);
        let mut steps: Vec<_> = whole.faults.iter().filter_map(|f| f.step).collect();
        steps.sort_unstable();
        assert_eq!(steps, LOSS_STEPS);
        let fronts: std::collections::BTreeSet<_> = whole.faults.iter().map(|f| f.front).collect();
        assert_eq!((fronts.len(), owner_faults.len()), (4, 2));
        assert!(whole
            .faults
            .windows(2)
            .all(|two| two[1].at_ms - two[0].at_ms >= SLOT_MS - 300));
        assert!(whole.seconds < MAX_SECONDS - 10);
        assert!(owner_faults
            .iter()
            .all(|f| f.at_ms + f.for_ms < whole.seconds * 1000));
    }
}
