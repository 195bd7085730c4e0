//! Unit tests of the `rules` module.

use super::*;

#[test]
fn every_change_bars_a_zone_that_was_allowed_and_faults_fit_into_the_run() {
    for seed in 0..200 {
        let plan = draw(seed, false);
        assert_eq!((plan.changes.len(), plan.scenario.faults.len()), (4, 3));
        let last = plan.scenario.seconds * 1000;
        assert!(plan
            .scenario
            .faults
            .iter()
            .all(|f| f.at_ms + f.for_ms < last));
        let mut before = plan.first.clone();
        for change in &plan.changes {
            for (_, set) in &change.files {
                assert!(set.version == before.version + 1 && set.barred_zones.len() < 3);
                assert!(!set.barred_zones.is_subset(&before.barred_zones), "{seed}");
            }
            before = change.files[0].1.clone();
        }
        assert!(draw(seed, true)
            .changes
            .iter()
            .any(|change| change.kind == "cut"));
    }
}
