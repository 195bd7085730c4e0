//! Unit tests of the `soak` module.

use super::*;

#[test]
fn faults_of_a_front_never_overlap_and_all_end_within_the_load() {
    for seed in 0..200 {
        let scenario = draw(seed);
        let mut free = 0;
        let mut ends = vec![0; scenario.fleet.fronts];
        for fault in scenario.faults.iter().filter(|fault| fault.for_ms > 0) {
            assert!(fault.at_ms >= free && fault.front < scenario.fleet.fronts);
            free = fault.at_ms + fault.for_ms;
            assert!(
                fault.at_ms >= ends[fault.front],
                "{seed}: front {} is still ending",
                fault.front
            );
            if fault.what == FaultKind::Term {
                ends[fault.front] = free + MAX_SHUTDOWN_MS;
            }
        }
        assert!(
            scenario.faults.len() > 3 && free <= LOAD_SECONDS * 1000,
            "{seed}"
        );
    }
}
