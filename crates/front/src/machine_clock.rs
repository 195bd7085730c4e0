//! The front's time on a real machine: Unix time that steps of the wall clock do not change.

use std::time::{Instant, SystemTime};

use hallmux_dispatcher::Micros;

/// Microseconds from which on a deviation counts as a step; a clock that is slewed drifts by less between two readings.
const MIN_STEP: Micros = 100_000;

/// The wall clock's time at the start, advanced by the monotonic clock. Guards against a wall clock that is set while the
/// front runs: deadlines, windows, budgets and waits are spans of real time.
pub struct MachineClock {
    started: Instant,
    unix_at_start: Micros,
    /// Microseconds that the wall clock was ahead of `now` when the two were last compared.
    wall_lead: Micros,
}

impl Default for MachineClock {
    fn default() -> MachineClock {
        MachineClock {
            started: Instant::now(),
            unix_at_start: wall_clock(),
            wall_lead: 0,
        }
    }
}

/// The Unix time of the machine's wall clock, in microseconds.
fn wall_clock() -> Micros {
    let since = SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or_default();
    since.as_micros() as Micros
}

impl MachineClock {
    /// The Unix time in microseconds, by the wall clock as it was at the start.
    pub fn now(&self) -> Micros {
        self.unix_at_start + self.started.elapsed().as_micros() as Micros
    }

    /// Microseconds that the wall clock is ahead of `now`, due to its steps since the start.
    pub fn wall_lead(&self) -> Micros {
        self.wall_lead
    }

    /// Compares the two clocks. Returns the microseconds by which the wall clock was stepped since the last call; None if
    /// it was not.
    pub fn detect_step(&mut self) -> Option<Micros> {
        let now = self.now();
        let wall = wall_clock();
        // Guards against a front that is stopped between the two readings: the comparison is left to the next call.
        (self.now() - now < MIN_STEP)
            .then(|| self.update_wall_lead(wall - now))
            .flatten()
    }

    fn update_wall_lead(&mut self, wall_lead: Micros) -> Option<Micros> {
        let step = wall_lead - self.wall_lead;
        if step.abs() < MIN_STEP {
            return None;
        }
        self.wall_lead = wall_lead;
        Some(step)
    }
}

#[cfg(test)]
#[path = "machine_clock_tests.rs"]
mod tests;
