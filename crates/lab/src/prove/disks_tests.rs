//! Unit tests of the `disks` module.

use super::*;

#[test]
fn each_step_is_played_on_a_front_of_its_own_with_the_repair_between() {
    for seed in 0..200 {
        let (whole, owners) = draw(seed, false);
        let mut steps: Vec<_> = whole.faults.iter().filter_map(|f| f.step).collect();
        steps.sort_unstable();
        assert_eq!(steps, STEPS);
        let fronts: std::collections::BTreeSet<_> = whole.faults.iter().map(|f| f.front).collect();
        assert_eq!((fronts.len(), owners.len()), (4, 2));
        assert!(whole
            .faults
            .windows(2)
            .all(|two| two[1].at_ms - two[0].at_ms >= SLOT_MS - 300));
        assert!(whole.seconds < MOST_SECONDS - 10);
        assert!(owners
            .iter()
            .all(|f| f.at_ms + f.for_ms < whole.seconds * 1000));
    }
}
