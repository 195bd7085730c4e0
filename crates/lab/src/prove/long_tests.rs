//! Unit tests of the `long` module.

use super::*;

#[test]
fn a_long_run_has_every_kind_of_fault_with_overlaps_and_time_for_repair() {
    let options = RunOptions {
        copies: 3,
        fronts: Some(6),
        ..RunOptions::default()
    };
    for seed in 0..20 {
        let day = draw(seed, 60, options);
        assert_eq!(day, draw(seed, 60, options));
        assert!(FAULT_KINDS
            .iter()
            .all(|what| day.faults.iter().any(|f| f.what == *what)));
        let at_once = |f: &Fault| {
            day.faults
                .iter()
                .filter(|o| o.at_ms <= f.at_ms && f.at_ms < o.at_ms + o.for_ms)
                .count()
        };
        assert!(day.faults.iter().map(at_once).max() > Some(3));
        let losses: Vec<&Fault> = day
            .faults
            .iter()
            .filter(|f| f.what == FaultKind::LoseDisk)
            .collect();
        assert_eq!(losses.len(), 90);
        assert!(losses
            .windows(2)
            .all(|two| two[1].at_ms - two[0].at_ms > SLOT_MS - 5_000));
        assert!(day
            .faults
            .iter()
            .all(|f| f.at_ms + f.for_ms < day.seconds * 1000));
    }
}
