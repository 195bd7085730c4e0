//! Unit tests of the `dials` module.

use super::*;

const SECOND: Micros = 1_000_000;

/// Dials in each tenth of a second of fronts that all want to at every moment.
fn dialled(fronts: &mut [Dials], from: Micros, tenths: usize) -> Vec<usize> {
    let moment = |n: usize| from + n as Micros * SECOND / 10;
    let each = |n: usize| fronts.iter_mut().map(|f| usize::from(f.take(moment(n), 0))).sum();
    (0..tenths).map(each).collect()
}

fn fronts(count: u64, rate: f64) -> Vec<Dials> {
    let seed = |n: u64| n.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let new = |n| {
        let mut dials = Dials::new(true, 0, seed(n));
        dials.pace(0, rate);
        dials
    };
    (0..count).map(new).collect()
}

#[test]
fn fronts_that_start_at_once_dial_one_after_the_other() {
    let mut all = fronts(300, 0.1);
    let each = dialled(&mut all, 0, 200);
    // Thirty a second: three in a tenth, give or take.
    assert!(each.iter().all(|n| *n <= 9), "{each:?}");
    assert!((570..=630).contains(&each.iter().sum::<usize>()), "{each:?}");
}

#[test]
fn turns_that_were_not_taken_are_lost() {
    let mut all = fronts(300, 0.1);
    // Nobody dials for a minute; then all do, as an engine ended their connections.
    let each = dialled(&mut all, 60 * SECOND, 10);
    assert!(each.iter().sum::<usize>() <= 45, "{each:?}");
}

#[test]
fn a_front_knows_when_its_turn_is_and_a_new_pace_neither_gives_nor_takes_turns() {
    let mut dials = Dials::new(true, 5 * SECOND, 0);
    assert!(!dials.take(100 * SECOND, 0) && dials.next(100 * SECOND, 0) > 1_000 * SECOND);
    dials.pace(100 * SECOND, 0.5);
    assert_eq!(dials.next(100 * SECOND, 0), 102 * SECOND);
    dials.pace(101 * SECOND, 1.0);
    let next = dials.next(101 * SECOND, 0);
    assert_eq!(next, 101 * SECOND + SECOND / 2);
    assert!(!dials.take(next - 1, 0) && dials.take(next, 0) && !dials.take(next, 0));
    for absurd in [f64::NAN, -1.0, f64::INFINITY] {
        dials.pace(next, absurd);
        dials.next(next + 1, 3);
        dials.take(next + 1, 3);
    }
    // Not paced, any time is right.
    let mut free = Dials::new(false, 0, 1);
    assert!((0..100).all(|_| free.take(0, 0)) && free.next(7, 0) == 7);
}
