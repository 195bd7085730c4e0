//! The machine's wall clock, and by how much it is stepped while the front runs.

use std::time::{Instant, SystemTime};

use hallmux_dispatcher::Micros;

const LEAST_STEP: Micros = 100_000; // microseconds; a clock that is slewed drifts by less between two readings

/// The Unix time of the machine's wall clock, in microseconds.
pub fn unix_now() -> Micros {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    since.as_micros() as Micros
}

/// Finds steps of the wall clock by comparing it with the monotonic clock, which nobody can set.
pub struct StepDetector {
    started: Instant,
    /// How much further the wall clock was than the monotonic one when it was last read.
    lead: Micros,
}

impl StepDetector {
    /// Steps count from now on.
    pub fn new() -> StepDetector {
        StepDetector { started: Instant::now(), lead: unix_now() }
    }

    /// Reads both clocks: by how many microseconds the wall clock was stepped since the last call, if it was.
    pub fn step(&mut self) -> Option<Micros> {
        let elapsed = self.started.elapsed().as_micros() as Micros;
        let unix = unix_now();
        // Guards against a front that is stopped between the two readings: the next call compares.
        let after = self.started.elapsed().as_micros() as Micros;
        (after - elapsed < LEAST_STEP).then(|| self.step_between(elapsed, unix)).flatten()
    }

    fn step_between(&mut self, elapsed: Micros, unix: Micros) -> Option<Micros> {
        let lead = unix - elapsed;
        let step = lead - std::mem::replace(&mut self.lead, lead);
        (step.abs() >= LEAST_STEP).then_some(step)
    }
}

#[cfg(test)]
#[path = "wall_clock_tests.rs"]
mod tests;
