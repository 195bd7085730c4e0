//! Unit tests of the `connection_pacer` module.

use crate::{ConnectionPacer, Micros};

const SECOND: Micros = 1_000_000;

/// Connections begun in each tenth of a second of fronts that all want to at every moment.
fn dialled(fronts: &mut [ConnectionPacer], from: Micros, tenths: usize) -> Vec<usize> {
    let moment = |n: usize| from + n as Micros * SECOND / 10;
    let each = |n: usize| {
        fronts
            .iter_mut()
            .map(|f| usize::from(f.try_take_slot(moment(n), 0)))
            .sum()
    };
    (0..tenths).map(each).collect()
}

fn fronts(count: u64, rate: f64) -> Vec<ConnectionPacer> {
    let seed = |n: u64| n.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let new = |n| {
        let mut pacer = ConnectionPacer::new(true, 0, seed(n));
        pacer.set_rate(0, rate);
        pacer
    };
    (0..count).map(new).collect()
}

#[test]
fn fronts_that_start_at_once_dial_one_after_the_other() {
    let mut all = fronts(300, 0.1);
    let each = dialled(&mut all, 0, 200);
    // Thirty a second: three in a tenth, give or take.
    assert!(each.iter().all(|n| *n <= 9), "{each:?}");
    assert!(
        (570..=630).contains(&each.iter().sum::<usize>()),
        "{each:?}"
    );
}

#[test]
fn turns_that_were_not_taken_are_lost() {
    let mut all = fronts(300, 0.1);
    // Nobody connects for a minute; then all do, as an engine ended their connections.
    let each = dialled(&mut all, 60 * SECOND, 10);
    assert!(each.iter().sum::<usize>() <= 45, "{each:?}");
}

#[test]
fn a_front_knows_when_its_turn_is_and_a_new_pace_neither_gives_nor_takes_turns() {
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
    for absurd in [f64::NAN, -1.0, f64::INFINITY] {
        pacer.set_rate(next, absurd);
        pacer.next_slot_at(next + 1, 3);
        pacer.try_take_slot(next + 1, 3);
    }
    // Not paced, any time is right.
    let mut free = ConnectionPacer::new(false, 0, 1);
    assert!((0..100).all(|_| free.try_take_slot(0, 0)) && free.next_slot_at(7, 0) == 7);
}
