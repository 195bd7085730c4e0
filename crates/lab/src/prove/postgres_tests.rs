//! Unit tests of the `prove::postgres` module.

use super::*;

#[test]
fn sessions_violate_no_rule_under_faults() {
    for seed in [1, 2] {
        let (passed, tallies) = run(RunSize {
            seed,
            units: 3_000,
            rounds: 1,
        })
        .unwrap();
        assert!(passed, "seed {seed}: {tallies}");
    }
}
