//! Unit tests of the `connection_pacer` module.

use crate::{ConnectionPacer, Micros};

const SECOND: Micros = 1_000_000;

/// The number of connections opened in each tenth of a second by fronts that always want another.
fn connections_per_tenth(
    fronts: &mut [ConnectionPacer],
    from: Micros,
    tenths: usize,
) -> Vec<usize> {
    let time = |n: usize| from + n as Micros * SECOND / 10;
    let count_at = |n: usize| {
        fronts
            .iter_mut()
            .map(|front| usize::from(front.try_take_slot(time(n), 0)))
            .sum()
    };
    (0..tenths).map(count_at).collect()
}

fn fronts(count: u64, rate: f64) -> Vec<ConnectionPacer> {
    let seed = |n: u64| n.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let paced_front = |n| {
        let mut pacer = ConnectionPacer::new(true, 0, seed(n));
        pacer.set_rate(0, rate);
        pacer
    };
    (0..count).map(paced_front).collect()
}

#[test]
fn fronts_that_start_together_connect_one_after_the_other() {
    let mut fronts = fronts(300, 0.1);
    let counts = connections_per_tenth(&mut fronts, 0, 200);
    // Thirty per second, so about three in a tenth.
    assert!(counts.iter().all(|n| *n <= 9), "{counts:?}");
    assert!(
        (570..=630).contains(&counts.iter().sum::<usize>()),
        "{counts:?}"
    );
}

#[test]
fn unused_connection_slots_expire() {
    let mut fronts = fronts(300, 0.1);
    // No front connects for a minute; then all do, because an engine closed their connections.
    let counts = connections_per_tenth(&mut fronts, 60 * SECOND, 10);
    assert!(counts.iter().sum::<usize>() <= 45, "{counts:?}");
}

#[test]
fn next_slot_time_is_exact_and_a_rate_change_neither_adds_nor_removes_slots() {
    let mut pacer = ConnectionPacer::new(true, 5 * SECOND, 0);
    assert!(
        !pacer.try_take_slot(100 * SECOND, 0)
            && pacer.next_slot_at(100 * SECOND, 0) > 1_000 * SECOND
    );
    pacer.set_rate(100 * SECOND, 0.5);
    assert_eq!(pacer.next_slot_at(100 * SECOND, 0), 102 * SECOND);
    pacer.set_rate(101 * SECOND, 1.0);
    let next = pacer.next_slot_at(101 * SECOND, 0);
    assert_eq!(next, 101 * SECOND + SECOND / 2);
    assert!(
        !pacer.try_take_slot(next - 1, 0)
            && pacer.try_take_slot(next, 0)
            && !pacer.try_take_slot(next, 0)
    );
    for invalid_rate in [f64::NAN, -1.0, f64::INFINITY] {
        pacer.set_rate(next, invalid_rate);
        pacer.next_slot_at(next + 1, 3);
        pacer.try_take_slot(next + 1, 3);
    }
    // An unpaced pacer allows a connection at any time.
    let mut unpaced = ConnectionPacer::new(false, 0, 1);
    assert!((0..100).all(|_| unpaced.try_take_slot(0, 0)) && unpaced.next_slot_at(7, 0) == 7);
}
