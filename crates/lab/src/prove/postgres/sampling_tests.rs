//! Unit tests of the `sampling` module.

use super::*;

#[test]
fn memory_that_grows_after_it_has_settled_is_found() {
    let run = |samples: &[(usize, u64)]| {
        let mut memory = FrontMemory::default();
        samples
            .iter()
            .for_each(|(units, kb)| memory.sample(*units, *kb));
        memory.violation()
    };
    // Growth until then is no fault, and a short run says nothing.
    assert_eq!(
        run(&[(100, 11_000), (SETTLED_UNITS, 17_000), (70_000, 20_000)]),
        None
    );
    assert_eq!(run(&[(100, 11_000), (SETTLED_UNITS - 1, 90_000)]), None);
    assert!(run(&[(SETTLED_UNITS, 17_000), (70_000, 22_500)])
        .is_some_and(|why| why.contains("22500 kB")));
}
