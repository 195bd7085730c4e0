//! Unit tests of the `offered` module.

use super::*;
use crate::check::{self, Agreement, Outcome};

#[test]
fn a_late_or_lost_answer_is_excused_only_by_faults_and_cpu_waits_of_its_front() {
    let late = |answered: i64, outcome: Outcome, disturbed: &[(i64, i64)], starved: &Starved| {
        let mut own = offered("a", 1, 0);
        (own.asked.answered, own.asked.outcome) = (answered, outcome);
        own.excuse(disturbed, starved);
        let agreed = Agreement {
            slack: 400_000,
            ..Agreement::default()
        };
        check::check(&[own.asked], &[], &[], &agreed).contains_key("answers")
    };
    let done = || Outcome::Completed { rows: 1 };
    let (none, busy) = (
        Starved::default(),
        Starved::of(1, (200_000, 900_000), 300_000),
    );
    assert!(late(1_500_000, done(), &[], &none) && !late(1_300_000, done(), &[], &none));
    assert!(!late(1_500_000, done(), &[], &busy) && late(1_800_000, done(), &[], &busy));
    // Faults of another front, or at another time, excuse nothing.
    assert!(late(
        1_500_000,
        done(),
        &[],
        &Starved::of(0, (200_000, 900_000), 300_000)
    ));
    assert!(late(1_500_000, done(), &[(1_600_000, i64::MAX)], &none));
    assert!(
        late(400_000, Outcome::Lost, &[], &busy)
            && !late(400_000, Outcome::Lost, &[(350_000, i64::MAX)], &none)
    );
}
