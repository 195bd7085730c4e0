//! Unit tests of the `runs` module.

use super::*;
use proptest::prelude::*;

#[test]
fn runs_are_merged_over_the_smallest_gaps() {
    let mut builder = RunsBuilder::default();
    [5, 1, 2, 9, 3, 90, 7, i128::MIN, i128::MAX]
        .into_iter()
        .for_each(|v| builder.add_value(v));
    let runs = builder.runs();
    assert_eq!(
        runs[1..7],
        [
            (1, 3),
            (5, 5),
            (7, 7),
            (9, 9),
            (90, 90),
            (i128::MAX, i128::MAX)
        ]
    );
    assert_eq!(merge_closest(runs.clone(), 4)[1..3], [(1, 9), (90, 90)]);
    assert_eq!(EncodedRuns::of(&runs).unwrap().runs().unwrap(), runs);
    assert!(
        overlaps(&runs, 4, 5)
            && overlaps(&runs, 3, 4)
            && !overlaps(&runs, 4, 4)
            && !overlaps(&runs, 10, 89)
    );
}

proptest! {
    #[test]
    fn every_value_lies_in_a_run(
        values in prop::collection::vec(-500i128..500, 1..300),
        max_runs in 1usize..40,
    ) {
        let mut builder = RunsBuilder::default();
        values.iter().for_each(|value| builder.add_value(*value));
        let runs = merge_closest(builder.runs(), max_runs);
        prop_assert!(runs.len() <= max_runs && runs.windows(2).all(|w| w[0].1 < w[1].0));
        prop_assert!(values.iter().all(|value| overlaps(&runs, *value, *value)));
    }

    #[test]
    fn decoded_runs_are_in_order(
        first in any::<i128>(),
        steps in prop::collection::vec(any::<(u128, u128)>(), 0..4),
    ) {
        if let Some(runs) = (EncodedRuns { first, steps }).runs() {
            prop_assert!(runs.windows(2).all(|w| w[0].1 < w[1].0));
            prop_assert!(runs.iter().all(|run| run.0 <= run.1));
        }
    }
}
