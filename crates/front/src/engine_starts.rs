//! When engines started, on the front's own clock. Engines and coordinator tell it as Unix time, which this front's
//! wall clock may be away from: by a step while the front runs, or since before its start.

use std::collections::HashMap;

use hallmux_dispatcher::Micros;

/// The clocks at the moment in which a list is read.
#[derive(Clone, Copy)]
pub struct ListMoment {
    /// The front's time.
    pub now: Micros,
    /// How far the wall clock is ahead of it, by steps since the front's start.
    pub wall_lead: Micros,
}

struct Start {
    told_ms: f64,
    at: Micros,
}

/// The starts that were told.
#[derive(Default)]
pub struct EngineStarts {
    starts: HashMap<String, Start>,
}

impl EngineStarts {
    /// When an engine of a list started; None: not lately. `told_ms` is in Unix milliseconds, 0 for not lately. A start
    /// keeps its time for as long as its engine is listed with it: another time would be another start.
    pub fn listed(&mut self, id: &str, told_ms: f64, moment: ListMoment) -> Option<Micros> {
        if told_ms <= 0.0 {
            self.starts.remove(id);
            return None;
        }
        if let Some(start) = self.starts.get(id).filter(|start| start.told_ms == told_ms) {
            return Some(start.at);
        }
        let at = front_time((told_ms * 1000.0) as Micros, moment);
        self.starts.insert(id.to_string(), Start { told_ms, at });
        Some(at)
    }

    /// An engine is gone from the list.
    pub fn gone(&mut self, id: &str) {
        self.starts.remove(id);
    }

    /// A whole list has come, and names these engines alone.
    pub fn whole_list(&mut self, named: impl Fn(&str) -> bool) {
        self.starts.retain(|id, _| named(id));
    }
}

/// The front's time of a start. Guards against a wall clock that was stepped: an engine that passes for older than it is
/// would be taken for warm. The wall clock was right at the front's start or is right now, so of both readings the later
/// counts that is not to come yet.
fn front_time(unix: Micros, moment: ListMoment) -> Micros {
    let readings = [unix, unix - moment.wall_lead];
    readings
        .into_iter()
        .filter(|at| *at <= moment.now)
        .max()
        .unwrap_or(moment.now)
}

#[cfg(test)]
#[path = "engine_starts_tests.rs"]
mod tests;
