//! When engines started, on the front's own clock. Engines and the coordinator report it as Unix time, from which this
//! front's wall clock may differ: because of a step while the front runs, or since before its start.

use std::collections::HashMap;

use hallmux_dispatcher::Micros;

/// The front's clocks at the time when an engine list is read.
#[derive(Clone, Copy)]
pub struct ClockReading {
    /// The front's time.
    pub now: Micros,
    /// Microseconds that the wall clock is ahead of `now`, due to its steps since the front's start.
    pub wall_lead: Micros,
}

/// An engine's start as it was reported, and its time on the front's clock.
struct KnownStart {
    reported_ms: f64,
    at: Micros,
}

/// The reported starts of listed engines, by engine id.
#[derive(Default)]
pub struct EngineStarts {
    starts: HashMap<String, KnownStart>,
}

impl EngineStarts {
    /// When a listed engine started; None if it did not start recently. `reported_ms` is in Unix milliseconds, 0 if the
    /// engine did not start recently. The time of a start does not change while the engine is listed with that start:
    /// another time would mean another start.
    pub fn start_time(
        &mut self,
        id: &str,
        reported_ms: f64,
        clocks: ClockReading,
    ) -> Option<Micros> {
        if reported_ms <= 0.0 {
            self.starts.remove(id);
            return None;
        }
        if let Some(start) = self
            .starts
            .get(id)
            .filter(|start| start.reported_ms == reported_ms)
        {
            return Some(start.at);
        }
        let at = front_time((reported_ms * 1000.0) as Micros, clocks);
        self.starts
            .insert(id.to_string(), KnownStart { reported_ms, at });
        Some(at)
    }

    /// Forgets an engine that was removed from the list.
    pub fn remove(&mut self, id: &str) {
        self.starts.remove(id);
    }

    /// Forgets all engines that a full list does not name.
    pub fn retain_listed(&mut self, is_listed: impl Fn(&str) -> bool) {
        self.starts.retain(|id, _| is_listed(id));
    }
}

/// The time of a start on the front's clock. Guards against a wall clock that was stepped: an engine that seems older
/// than it is would be treated as warm. The wall clock is assumed to have been right at the front's start or to be right
/// now, so the later of both readings that is not in the future is used.
fn front_time(unix_time: Micros, clocks: ClockReading) -> Micros {
    let readings = [unix_time, unix_time - clocks.wall_lead];
    readings
        .into_iter()
        .filter(|at| *at <= clocks.now)
        .max()
        .unwrap_or(clocks.now)
}

#[cfg(test)]
#[path = "engine_starts_tests.rs"]
mod tests;
