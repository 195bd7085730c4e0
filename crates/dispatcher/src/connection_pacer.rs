//! New connections to engines, at the pace that the module hands out: each engine has slots of its own,
//! spread over engines and fronts, and a slot that is not used soon is lost. So fronts that all start at
//! once, or that all lose their connections at once, dial one after the other.

use std::collections::BTreeMap;

use hallmux::interface::Micros;

use crate::Place;

const SLOT_LIFETIME: f64 = 0.25; // seconds for which a slot may still be used: some looks of the module
const SPREAD: f64 = 0.618_033_988_749_895; // of a slot between one engine's and the next one's: the golden ratio
const FAR: f64 = 1e12; // microseconds; further off nothing is due

/// When a front may dial which engine.
#[derive(Clone, Debug)]
pub struct ConnectionPacer {
    /// Slots a second for each engine; None: it connects as it likes.
    rate: Option<f64>,
    /// Slots that have passed, and when.
    slots: f64,
    at: Micros,
    /// Where in a slot this front begins.
    first: f64,
    /// The last slot used of each engine.
    used: BTreeMap<Place, f64>,
}

impl ConnectionPacer {
    /// A pacer that, where `paced`, lets nothing connect until the first [`ConnectionPacer::pace`], and
    /// everything else. The seed is the front's own: it spreads the slots of fronts that start together.
    pub fn new(paced: bool, now: Micros, seed: u64) -> ConnectionPacer {
        let first = seed as f64 / u64::MAX as f64;
        ConnectionPacer {
            rate: paced.then_some(0.0),
            slots: 0.0,
            at: now,
            first,
            used: BTreeMap::new(),
        }
    }

    /// Whether connections are paced at all.
    pub fn is_paced(&self) -> bool {
        self.rate.is_some()
    }

    /// From now on so many connections a second to each engine; none where that is no positive number.
    pub fn pace(&mut self, now: Micros, connections: f64) {
        (self.slots, self.at) = (self.passed(now), now);
        // No number is no pace.
        self.rate = Some(if connections > 0.0 {
            connections.min(FAR)
        } else {
            0.0
        });
    }

    fn passed(&self, now: Micros) -> f64 {
        self.slots + self.rate.unwrap_or(0.0) * (now - self.at).max(0) as f64 / 1e6
    }

    /// The slot that is next for an engine, and how many have passed there.
    fn next_slot(&self, now: Micros, place: Place) -> (f64, f64) {
        let passed = self.passed(now) + (self.first + place as f64 * SPREAD).fract();
        let kept = passed - SLOT_LIFETIME * self.rate.unwrap_or(0.0);
        let used = self.used.get(&place).copied().unwrap_or(0.0);
        (kept.max(used).floor() + 1.0, passed)
    }

    /// The time of the next slot of an engine; `now` where one may be used.
    pub fn next(&self, now: Micros, place: Place) -> Micros {
        let Some(rate) = self.rate else { return now };
        let (slot, passed) = self.next_slot(now, place);
        let wait = (slot - passed).max(0.0) * 1e6 / rate.max(f64::MIN_POSITIVE);
        now.saturating_add(wait.min(FAR).ceil() as Micros)
    }

    /// Whether a connection to an engine may be begun now; if so, its slot is used up.
    pub fn take(&mut self, now: Micros, place: Place) -> bool {
        if self.rate.is_none() {
            return true;
        }
        let (slot, passed) = self.next_slot(now, place);
        if slot <= passed {
            self.used.insert(place, slot);
        }
        slot <= passed
    }
}

#[cfg(test)]
#[path = "connection_pacer_tests.rs"]
mod tests;
