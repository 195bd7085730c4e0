//! When engines started, on the front's own clock. Engines and coordinator tell it as Unix time, which this front's
//! wall clock may be away from: by a step while the front runs, or since before its start.

use std::collections::HashMap;

use hallmux_dispatcher::Micros;

/// The clocks at the moment in which a list is read.
#[derive(Clone, Copy)]
pub struct ClockReading {
    /// The front's time.
    pub now: Micros,
    /// How far the wall clock is ahead of it, by steps since the front's start.
    pub wall_lead: Micros,
}

struct KnownStart {
    reported_ms: f64,
    at: Micros,
}

/// The starts that were told.
#[derive(Default)]
pub struct EngineStarts {
    starts: HashMap<String, KnownStart>,
}

impl EngineStarts {
    /// When an engine of a list started; None: not lately. `reported_ms` is in Unix milliseconds, 0 for not lately. A start
    /// keeps its time for as long as its engine is listed with it: another time would be another start.
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

    /// An engine is gone from the list.
    pub fn remove(&mut self, id: &str) {
        self.starts.remove(id);
    }

    /// A whole list has come, and names these engines alone.
    pub fn retain_listed(&mut self, is_listed: impl Fn(&str) -> bool) {
        self.starts.retain(|id, _| is_listed(id));
    }
}

/// The front's time of a start. Guards against a wall clock that was stepped: an engine that passes for older than it is
/// would be taken for warm. The wall clock was right at the front's start or is right now, so of both readings the later
/// counts that is not to come yet.
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
