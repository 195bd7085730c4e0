//! Unit tests of the `promises` module.

use super::*;

#[test]
fn a_seed_always_draws_the_same_schedule_and_a_full_run_has_all_kinds_of_faults() {
    let options = RunOptions {
        small: false,
        simulated: false,
        fronts: None,
        copies: 3,
        ..RunOptions::default()
    };
    for seed in 0..200 {
        let whole = draw(seed, options);
        assert_eq!(whole, draw(seed, options));
        let count = |what: FaultKind| whole.faults.iter().filter(|f| f.what == what).count();
        let losses: Vec<_> = whole
            .faults
            .iter()
            .filter(|f| f.what == FaultKind::LoseDisk)
            .collect();
        assert!(losses.len() == 2 && losses[0].front != losses[1].front);
        assert_eq!(
            (
                count(FaultKind::FrontsSplit),
                count(FaultKind::Stall),
                count(FaultKind::PostLossy)
            ),
            (2, 1, 1)
        );
        assert_eq!(count(FaultKind::Term), 1);
        let fits =
            |f: &Fault| f.at_ms + f.for_ms < whole.seconds * 1000 && f.front < whole.fleet.fronts;
        assert!(whole.faults.iter().all(fits), "{seed}: {:?}", whole.faults);
        let small = draw(
            seed,
            RunOptions {
                small: true,
                ..options
            },
        );
        assert!(small.faults.iter().any(|f| f.what == FaultKind::LoseDisk) && small.seconds <= 20);
    }
}
