//! New connections to engines, at the pace that the module hands out: each engine has turns of its own,
//! spread over engines and fronts, and a turn that is not taken soon is lost. So fronts that all start at
//! once, or that all lose their connections at once, dial one after the other.

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
#[path = "dials_tests.rs"]
mod tests;
