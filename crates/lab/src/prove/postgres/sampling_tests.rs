//! Unit tests of the `sampling` module.

use super::*;

#[test]
fn memory_growth_after_the_settling_point_is_a_violation() {
    let run = |samples: &[(usize, u64)]| {
        let mut memory = FrontMemory::default();
        samples
            .iter()
            .for_each(|(units, kb)| memory.sample(*units, *kb));
        memory.violation()
    };
    // Growth before the settling point is allowed, and a short run has no violation.
    assert_eq!(
        run(&[(100, 11_000), (SETTLED_UNITS, 17_000), (70_000, 20_000)]),
        None
    );
    assert_eq!(run(&[(100, 11_000), (SETTLED_UNITS - 1, 90_000)]), None);
    assert!(run(&[(SETTLED_UNITS, 17_000), (70_000, 22_500)])
        .is_some_and(|why| why.contains("22500 kB")));
}
