//! The front's time, and how long input may have been unread while the front was stopped or had no CPU.

use std::path::Path;
use std::time::Duration;

use hallmux_dispatcher::Micros;

use crate::machine_clock::MachineClock;
use crate::test_clock::TestClock;

/// Microseconds of delay from which on a delay is logged.
const MIN_LOGGED_DELAY: Micros = 250_000;
/// Microseconds after which a read of the sockets is stale; a fifth of the time that the requirements allow.
const MAX_READ_AGE: Micros = 20_000;
/// Microseconds between comparisons with the wall clock, whose steps are logged.
const COMPARISON_INTERVAL: Micros = 100_000;
/// Microseconds of delay up to which an iteration counts as on time; less than the answer slack.
const LATENESS_TOLERANCE: Micros = 50_000;

/// The time of the current iteration, and how late the iteration is.
#[derive(Default)]
pub struct Clock {
    /// Microseconds added to the time of the source, for tests with clocks that differ.
    offset: Micros,
    machine: MachineClock,
    /// When the time is next compared with the wall clock.
    next_comparison: Micros,
    /// The source of the time in tests, in place of the machine's clock.
    test_clock: Option<TestClock>,
    /// The time at the last `refresh`, in Unix microseconds. It advances steadily from the start and never runs
    /// backwards.
    pub now: Micros,
    /// All input that had arrived by this time has been decided on.
    decided_up_to: Option<Micros>,
    /// When the front last went to sleep, and until when it intended to sleep.
    slept_at: Micros,
    sleep_until: Micros,
    /// Since when the input of this iteration may have been unread; None between iterations.
    unread_since: Option<Micros>,
    /// When this iteration started, and whether it started late.
    woke_at: Micros,
    is_late: bool,
}

impl Clock {
    /// Creates a clock that reads the file `test_clock` if there is one, and the machine's clock otherwise. An error says
    /// that the file can't be used.
    pub fn new(offset: Micros, test_clock: Option<&Path>) -> std::io::Result<Clock> {
        let test_clock = test_clock.map(TestClock::open).transpose()?;
        Ok(Clock {
            offset,
            test_clock,
            ..Clock::default()
        })
    }

    /// Reads the time.
    pub fn refresh(&mut self) {
        let time = match &mut self.test_clock {
            Some(test_clock) => test_clock.now(),
            None => self.machine.now(),
        };
        self.set(time.saturating_add(self.offset));
    }

    fn set(&mut self, time: Micros) {
        self.now = self.now.max(time);
    }

    /// Microseconds that the wall clock is ahead of `now`, due to its steps since the start.
    pub fn wall_lead(&mut self) -> Micros {
        self.compare_wall_clock();
        self.machine.wall_lead()
    }

    fn compare_wall_clock(&mut self) {
        self.next_comparison = self.now + COMPARISON_INTERVAL;
        if self.test_clock.is_some() {
            return;
        }
        if let Some(step) = self.machine.detect_step() {
            log::warn!("the wall clock was stepped by {:+} ms", step / 1000);
        }
    }

    /// Ends an iteration after which nothing is due before `until`. Returns how long the front may sleep.
    pub fn prepare_sleep(&mut self, until: Micros) -> Duration {
        if self.now >= self.next_comparison {
            self.compare_wall_clock();
        }
        if self.unread_since.is_some() && self.now - self.woke_at > MIN_LOGGED_DELAY {
            log::warn!(
                "event loop iteration took {} ms",
                (self.now - self.woke_at) / 1000
            );
        }
        // After a late iteration the sockets are read again at once, as further input may have waited as well.
        let until = if self.is_late {
            self.now
        } else {
            until.max(self.now)
        };
        self.slept_at = self.now;
        self.sleep_until = until;
        self.unread_since = None;
        match &mut self.test_clock {
            Some(test_clock) => test_clock.prepare_sleep(until.saturating_sub(self.offset)),
            None => Duration::from_micros((until - self.now) as u64),
        }
    }

    /// Records that all input of this iteration is decided on. Guards against a front that is stopped during an
    /// iteration: input that arrived after it had read its sockets is not read yet, and counts as unread since then.
    pub fn mark_decided(&mut self) {
        self.decided_up_to = Some(if self.is_late {
            self.slept_at
        } else {
            self.woke_at
        });
    }

    /// Starts an iteration. Further calls in the same iteration do nothing.
    pub fn start_iteration(&mut self) {
        if self.unread_since.is_some() {
            return;
        }
        let decided = self.decided_up_to.unwrap_or(self.now);
        // Guards against answers too late for their client: a front that was stopped, asleep or during an iteration,
        // cannot know when the statements that it reads arrived. The latest ones seem older than they are, and may be
        // shed although they could have been answered in time.
        self.is_late = self.slept_at - decided > LATENESS_TOLERANCE
            || self.now - self.sleep_until > LATENESS_TOLERANCE;
        self.woke_at = self.now;
        self.unread_since = Some(if self.is_late { decided } else { self.now });
        if self.unread_time() > MIN_LOGGED_DELAY {
            log::warn!(
                "event loop stalled for {} ms; input counts as unread for that long",
                self.unread_time() / 1000
            );
        }
    }

    /// Whether this iteration's read of the sockets is too old to send commands that were decided by it.
    pub fn is_stale(&self) -> bool {
        self.is_late || self.now - self.woke_at > MAX_READ_AGE
    }

    /// Microseconds for which input that is read now may have been unread; 0 if the iteration is on time.
    pub fn unread_time(&self) -> Micros {
        self.unread_since.map_or(0, |since| self.now - since)
    }
}

#[cfg(test)]
#[path = "clock_tests.rs"]
mod tests;
