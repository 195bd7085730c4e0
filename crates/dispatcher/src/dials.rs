//! New connections to engines, at the pace that the module hands out: each engine has turns of its own, spread over
//! engines and fronts, and a turn that is not taken soon is lost. So fronts that all start at once, or that all lose
//! their connections at once, dial one after the other.

use std::collections::BTreeMap;

use hallmux::interface::Micros;

use crate::Place;

const KEPT: f64 = 0.25; // seconds for which a turn may still be taken: some looks of the module
const SPREAD: f64 = 0.618_033_988_749_895; // of a turn between one engine's and the next one's: the golden ratio
const FAR: f64 = 1e12; // microseconds; further off nothing is due

/// When a front may dial which engine.
#[derive(Clone, Debug)]
pub struct Dials {
    /// Turns a second for each engine; None: it dials as it likes.
    rate: Option<f64>,
    /// Turns that have passed, and when.
    turns: f64,
    at: Micros,
    /// Where in a turn this front begins.
    first: f64,
    /// The last turn taken of each engine.
    taken: BTreeMap<Place, f64>,
}

impl Dials {
    /// Paced, it waits to be told at which pace; `seed` is the front's own.
    pub fn new(paced: bool, now: Micros, seed: u64) -> Dials {
        let first = seed as f64 / u64::MAX as f64;
        Dials { rate: paced.then_some(0.0), turns: 0.0, at: now, first, taken: BTreeMap::new() }
    }

    pub fn is_paced(&self) -> bool {
        self.rate.is_some()
    }

    /// From now on so many a second to each engine.
    pub fn pace(&mut self, now: Micros, connections: f64) {
        (self.turns, self.at) = (self.passed(now), now);
        // No number is no pace.
        self.rate = Some(if connections > 0.0 { connections.min(FAR) } else { 0.0 });
    }

    fn passed(&self, now: Micros) -> f64 {
        self.turns + self.rate.unwrap_or(0.0) * (now - self.at).max(0) as f64 / 1e6
    }

    /// The turn that is next for an engine, and how many have passed there.
    fn next_turn(&self, now: Micros, place: Place) -> (f64, f64) {
        let passed = self.passed(now) + (self.first + place as f64 * SPREAD).fract();
        let kept = passed - KEPT * self.rate.unwrap_or(0.0);
        let taken = self.taken.get(&place).copied().unwrap_or(0.0);
        (kept.max(taken).floor() + 1.0, passed)
    }

    /// When an engine may be dialled next; now, where that is over.
    pub fn next(&self, now: Micros, place: Place) -> Micros {
        let Some(rate) = self.rate else { return now };
        let (turn, passed) = self.next_turn(now, place);
        let wait = (turn - passed).max(0.0) * 1e6 / rate.max(f64::MIN_POSITIVE);
        now.saturating_add(wait.min(FAR).ceil() as Micros)
    }

    /// Whether an engine may be dialled now; if so, this is it.
    pub fn take(&mut self, now: Micros, place: Place) -> bool {
        if self.rate.is_none() {
            return true;
        }
        let (turn, passed) = self.next_turn(now, place);
        if turn <= passed {
            self.taken.insert(place, turn);
        }
        turn <= passed
    }
}

#[cfg(test)]
mod tests {
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
}
