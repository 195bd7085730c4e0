//! Paces new connections to engines at the rate that the scheduler sets. Each engine has its own
//! connection slots, spread evenly over engines and fronts, and an unused slot soon expires. Fronts
//! that start together, or that lose their connections together, therefore connect one after the
//! other.

use std::collections::BTreeMap;

use hallmux::interface::Micros;

use crate::EngineIndex;

/// Seconds for which a slot stays usable.
const SLOT_LIFETIME: f64 = 0.25;
/// The offset between the slots of consecutive engines, as a fraction of a slot. The golden ratio
/// spreads them evenly.
const ENGINE_SLOT_OFFSET: f64 = 0.618_033_988_749_895;
/// Upper bound both of the wait for a slot in microseconds and of the rate in connections per
/// second.
const MAX_RATE_OR_WAIT: f64 = 1e12;

/// Decides when this front may open a connection to each engine.
#[derive(Clone, Debug)]
pub struct ConnectionPacer {
    /// Slots per second for each engine; None if connections are not paced.
    rate: Option<f64>,
    /// The number of slots that had passed when the rate was last set.
    slots_at_rate_change: f64,
    /// When the rate was last set.
    rate_set_at: Micros,
    /// The fraction of a slot, 0 to 1, at which this front starts.
    offset: f64,
    /// The number of the last slot used for each engine.
    last_used_slot: BTreeMap<EngineIndex, f64>,
}

impl ConnectionPacer {
    /// Creates a pacer. With `paced`, no connection may be opened until the first
    /// [`ConnectionPacer::set_rate`]; otherwise connections are not limited. The seed differs from
    /// front to front and spreads the slots of fronts that start together.
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

    /// Whether connections are paced.
    pub fn is_paced(&self) -> bool {
        self.rate.is_some()
    }

    /// Sets the connections per second to each engine from now on. A value that is not a positive
    /// number allows none.
    pub fn set_rate(&mut self, now: Micros, connections: f64) {
        self.slots_at_rate_change = self.passed_slots(now);
        self.rate_set_at = now;
        // The comparison also maps NaN to 0.
        self.rate = Some(if connections > 0.0 {
            connections.min(MAX_RATE_OR_WAIT)
        } else {
            0.0
        });
    }

    /// The number of slots that have passed, before the offset of an engine.
    fn passed_slots(&self, now: Micros) -> f64 {
        let elapsed = (now - self.rate_set_at).max(0);
        self.slots_at_rate_change + self.rate.unwrap_or(0.0) * elapsed as f64 / 1e6
    }

    /// The next usable slot of an engine.
    fn next_slot(&self, now: Micros, engine_index: EngineIndex) -> EngineSlots {
        let shift = (self.offset + engine_index as f64 * ENGINE_SLOT_OFFSET).fract();
        let passed = self.passed_slots(now) + shift;
        let expired = passed - SLOT_LIFETIME * self.rate.unwrap_or(0.0);
        let used = self
            .last_used_slot
            .get(&engine_index)
            .copied()
            .unwrap_or(0.0);
        EngineSlots {
            next: expired.max(used).floor() + 1.0,
            passed,
        }
    }

    /// The time of the next slot of an engine; `now` if a slot is available.
    pub fn next_slot_at(&self, now: Micros, engine_index: EngineIndex) -> Micros {
        let Some(rate) = self.rate else { return now };
        let EngineSlots { next, passed } = self.next_slot(now, engine_index);
        let wait = (next - passed).max(0.0) * 1e6 / rate.max(f64::MIN_POSITIVE);
        now.saturating_add(wait.min(MAX_RATE_OR_WAIT).ceil() as Micros)
    }

    /// Uses up a slot of an engine. Returns false if none is available, and a connection must not
    /// be opened now.
    pub fn try_take_slot(&mut self, now: Micros, engine_index: EngineIndex) -> bool {
        if self.rate.is_none() {
            return true;
        }
        let EngineSlots { next, passed } = self.next_slot(now, engine_index);
        if next <= passed {
            self.last_used_slot.insert(engine_index, next);
        }
        next <= passed
    }
}

/// An engine's slots, counted from the creation of the pacer.
struct EngineSlots {
    /// The number of the next usable slot.
    next: f64,
    /// How many slots have passed.
    passed: f64,
}

#[cfg(test)]
#[path = "connection_pacer_tests.rs"]
mod tests;
