//! The time, and how long what is found now may have waited for a front that had no CPU or was stopped.

use std::path::Path;
use std::time::Duration;

use hallmux_dispatcher::Micros;

use crate::machine_clock::MachineClock;
use crate::test_clock::TestClock;

/// Microseconds late that are worth a line in the log.
const MIN_LOGGED_DELAY: Micros = 250_000;
/// Microseconds that a read of the sockets stays good; a fifth of what is allowed.
const MAX_READ_AGE: Micros = 20_000;
/// Microseconds between looks for steps of the wall clock, for the log.
const COMPARISON_INTERVAL: Micros = 100_000;
/// Microseconds late that count as on time; less than an answer's slack.
const LATENESS_TOLERANCE: Micros = 50_000;

/// The time of the current iteration, and how late the iteration is.
#[derive(Default)]
pub struct Clock {
    /// How much more it reads than its source: for tests of clocks that are apart.
    offset: Micros,
    machine: MachineClock,
    /// When it is next compared with the wall clock.
    next_comparison: Micros,
    /// Where the time comes from in place of the machine's clock, in tests.
    test_clock: Option<TestClock>,
    /// The time at the last `refresh`: Unix microseconds that run on evenly from the start, never back.
    pub now: Micros,
    /// All that had come by then has been decided on.
    decided_up_to: Option<Micros>,
    /// When this front went to sleep, and until when it meant to.
    slept_at: Micros,
    sleep_until: Micros,
    /// Since when what is found in this iteration may have waited, once it is known.
    unread_since: Option<Micros>,
    /// When this iteration began, and whether that was late.
    woke_at: Micros,
    is_late: bool,
}

impl Clock {
    /// `test_clock` names the file of a test's clock, in place of the machine's.
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

    /// How many microseconds the wall clock is ahead of `now`, by its steps since the start.
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

    /// An iteration is over and nothing is due until the time given: how long the front may sleep.
    pub fn prepare_sleep(&mut self, until: Micros) -> Duration {
        if self.now >= self.next_comparison {
            self.compare_wall_clock();
        }
        if self.unread_since.is_some() && self.now - self.woke_at > MIN_LOGGED_DELAY {
            log::warn!("a turn took {} ms", (self.now - self.woke_at) / 1000);
        }
        // After a late iteration it reads its sockets again at once: what it finds then had waited as well.
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

    /// All that was found in this iteration is decided on. Guards against a front that is stopped at work: what
    /// came after it had read its sockets is not found yet, and had come by no later time than that.
    pub fn mark_decided(&mut self) {
        self.decided_up_to = Some(if self.is_late {
            self.slept_at
        } else {
            self.woke_at
        });
    }

    /// An iteration begins; the first call in it counts.
    pub fn start_iteration(&mut self) {
        if self.unread_since.is_some() {
            return;
        }
        let decided = self.decided_up_to.unwrap_or(self.now);
        // Guards against answers too late for their client: a front that was stopped, in its sleep or at
        // work, cannot know when the statements came that it finds. Those that came last seem older than
        // they are, and may be shed though they could have been in time.
        self.is_late = self.slept_at - decided > LATENESS_TOLERANCE
            || self.now - self.sleep_until > LATENESS_TOLERANCE;
        self.woke_at = self.now;
        self.unread_since = Some(if self.is_late { decided } else { self.now });
        if self.unread_time() > MIN_LOGGED_DELAY {
            log::warn!("stood still for {} ms", self.unread_time() / 1000);
        }
    }

    /// Whether this iteration's read of the sockets is too old to send anything by.
    pub fn is_stale(&self) -> bool {
        self.is_late || self.now - self.woke_at > MAX_READ_AGE
    }

    /// Microseconds that what is found now may have waited unread.
    pub fn unread_time(&self) -> Micros {
        self.unread_since.map_or(0, |since| self.now - since)
    }
}

#[cfg(test)]
#[path = "clock_tests.rs"]
mod tests;
