//! New connections to engines, at the rate that the module hands out: each engine has slots of its own, spread over
//! engines and fronts, and a slot that is not used soon is lost. So fronts that all start at once, or that all lose
//! their connections at once, connect one after the other.

use std::collections::BTreeMap;

use hallmux::interface::Micros;

use crate::EngineIndex;

/// Seconds for which a slot may still be used.
const SLOT_LIFETIME: f64 = 0.25;
/// The part of a slot between one engine's and the next one's: the golden ratio spreads them evenly.
const ENGINE_SLOT_OFFSET: f64 = 0.618_033_988_749_895;
/// Microseconds to the next slot at most, and connections a second at most.
const MAX_RATE_OR_WAIT: f64 = 1e12;

/// When a front may dial which engine.
#[derive(Clone, Debug)]
pub struct ConnectionPacer {
    /// Slots a second for each engine; None: it connects as it likes.
    rate: Option<f64>,
    /// Slots that had passed when the rate was set.
    slots_at_rate_change: f64,
    /// When the rate was set.
    rate_set_at: Micros,
    /// Where in a slot this front begins, 0 to 1.
    offset: f64,
    /// The last slot used of each engine.
    last_used_slot: BTreeMap<EngineIndex, f64>,
}

impl ConnectionPacer {
    /// A pacer. Where `paced`, no connection may be made until the first [`ConnectionPacer::set_rate`]; otherwise there
    /// is no bound. The seed is the front's own: it spreads the slots of fronts that start together.
    pub fn new(paced: bool, now: Micros, seed: u64) -> ConnectionPacer {
        let offset = seed as f64 / u64::MAX as f64;
        ConnectionPacer {
            rate: paced.then_some(0.0),
            slots_at_rate_change: 0.0,
            rate_set_at: now,
            offset,
            last_used_slot: BTreeMap::new(),
        }
    }

    /// Whether connections are paced at all.
    pub fn is_paced(&self) -> bool {
        self.rate.is_some()
    }

    /// From now on so many connections a second to each engine; none where that is no positive number.
    pub fn set_rate(&mut self, now: Micros, connections: f64) {
        self.slots_at_rate_change = self.passed_slots(now);
        self.rate_set_at = now;
        // Guards against a rate that is no number.
        self.rate = Some(if connections > 0.0 {
            connections.min(MAX_RATE_OR_WAIT)
        } else {
            0.0
        });
    }

    /// The slots of any engine that have passed.
    fn passed_slots(&self, now: Micros) -> f64 {
        let elapsed = (now - self.rate_set_at).max(0);
        self.slots_at_rate_change + self.rate.unwrap_or(0.0) * elapsed as f64 / 1e6
    }

    /// The next slot of an engine.
    fn next_slot(&self, now: Micros, engine_index: EngineIndex) -> NextSlot {
        let shift = (self.offset + engine_index as f64 * ENGINE_SLOT_OFFSET).fract();
        let passed = self.passed_slots(now) + shift;
        let expired = passed - SLOT_LIFETIME * self.rate.unwrap_or(0.0);
        let used = self
            .last_used_slot
            .get(&engine_index)
            .copied()
            .unwrap_or(0.0);
        NextSlot {
            slot: expired.max(used).floor() + 1.0,
            passed,
        }
    }

    /// The time of the next slot of an engine; `now` where one may be used.
    pub fn next_slot_at(&self, now: Micros, engine_index: EngineIndex) -> Micros {
        let Some(rate) = self.rate else { return now };
        let NextSlot { slot, passed } = self.next_slot(now, engine_index);
        let wait = (slot - passed).max(0.0) * 1e6 / rate.max(f64::MIN_POSITIVE);
        now.saturating_add(wait.min(MAX_RATE_OR_WAIT).ceil() as Micros)
    }

    /// Whether a connection to an engine may be begun now; if so, its slot is used up.
    pub fn try_take_slot(&mut self, now: Micros, engine_index: EngineIndex) -> bool {
        if self.rate.is_none() {
            return true;
        }
        let NextSlot { slot, passed } = self.next_slot(now, engine_index);
        if slot <= passed {
            self.last_used_slot.insert(engine_index, slot);
        }
        slot <= passed
    }
}

/// An engine's slots, counted from the start of the front.
struct NextSlot {
    /// The number of the next one that may be used.
    slot: f64,
    /// How many have passed.
    passed: f64,
}

#[cfg(test)]
#[path = "connection_pacer_tests.rs"]
mod tests;
