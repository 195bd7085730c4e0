//! Unit tests of the `deaths` module.

use super::*;

#[test]
fn each_run_has_both_rounds_and_another_front_is_dead_when_a_lost_disk_returns() {
    let options = RunOptions {
        simulated: true,
        copies: 3,
        ..RunOptions::default()
    };
    for seed in 0..100 {
        let whole = draw(seed, options);
        assert_eq!(whole, draw(seed, options));
        let count = |what: FaultKind| whole.faults.iter().filter(|f| f.what == what).count();
        // Two rounds of each kind: all disks slow and three of four fronts killed; one disk emptied
        // between two fronts that are killed.
        assert_eq!(
            (
                count(FaultKind::DiskSlow),
                count(FaultKind::Kill),
                count(FaultKind::LoseDisk)
            ),
            (8, 10, 2)
        );
        let fits =
            |f: &Fault| f.at_ms + f.for_ms < whole.seconds * 1000 && f.front < whole.fleet.fronts;
        assert!(whole.faults.iter().all(fits), "{seed}: {:?}", whole.faults);
        for lost in whole
            .faults
            .iter()
            .filter(|f| f.what == FaultKind::LoseDisk)
        {
            let returns = lost.at_ms + lost.for_ms;
            let away = |f: &&Fault| {
                f.what == FaultKind::Kill && f.at_ms <= returns && returns < f.at_ms + f.for_ms
            };
            assert!(
                whole
                    .faults
                    .iter()
                    .filter(away)
                    .any(|f| f.front != lost.front),
                "{seed}"
            );
        }
    }
}
