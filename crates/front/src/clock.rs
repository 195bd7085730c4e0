//! The time, and how long what is found now may have waited for a front that had no CPU or stood still.

use std::path::Path;
use std::time::{Duration, SystemTime};

use hallmux_dispatcher::Micros;

use crate::drill::Drill;

const STILL: Micros = 250_000; // microseconds late that are worth a line in the log
const FRESH: Micros = 20_000; // microseconds that a look at the connections stays good; a fifth of what is allowed
const PROMPT: Micros = 50_000; // microseconds late that are no standing still; less than an answer's slack

#[derive(Default)]
pub struct Clock {
    /// For drills: how much more it reads than the machine's, or where else the time comes from.
    ahead: Micros,
    drill: Option<Drill>,
    /// The system's Unix clock at the last look, but never back.
    pub now: Micros,
    /// All that had come by then has been decided on.
    decided: Option<Micros>,
    /// When this front went to sleep, and until when it meant to.
    sleeps: Micros,
    until: Micros,
    /// Since when what is found in this turn may have waited, once it is known.
    since: Option<Micros>,
    /// When this turn began, and whether that was late.
    woke: Micros,
    late: bool,
}

impl Clock {
    /// `drill` names the file of a drill's clock, in place of the machine's.
    pub fn new(ahead: Micros, drill: Option<&Path>) -> std::io::Result<Clock> {
        let drill = drill.map(Drill::open).transpose()?;
        Ok(Clock { ahead, drill, ..Clock::default() })
    }

    pub fn look(&mut self) {
        if let Some(drill) = &mut self.drill {
            let time = drill.now();
            return self.set(time.saturating_add(self.ahead));
        }
        let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        self.set(since.as_micros() as Micros + self.ahead);
    }

    fn set(&mut self, time: Micros) {
        self.now = self.now.max(time);
    }

    /// Nothing is due until then: how long the front may sleep.
    pub fn sleep(&mut self, until: Micros) -> Duration {
        if self.since.is_some() && self.now - self.woke > STILL {
            log::warn!("a turn took {} ms", (self.now - self.woke) / 1000);
        }
        // After a late turn it looks again at once: what it finds then had waited as well.
        let until = if self.late { self.now } else { until.max(self.now) };
        (self.sleeps, self.until, self.since) = (self.now, until, None);
        match &mut self.drill {
            Some(drill) => drill.sleeps(until.saturating_sub(self.ahead)),
            None => Duration::from_micros((until - self.now) as u64),
        }
    }

    /// All that was found in this turn is decided on. Guards against a front that is stopped at work: what
    /// came after it had looked at its connections is not found yet, and had come by no later time than that.
    pub fn decides(&mut self) {
        self.decided = Some(if self.late { self.sleeps } else { self.woke });
    }

    /// Tells when a turn began; the first call of a turn counts.
    pub fn woke(&mut self) {
        if self.since.is_some() {
            return;
        }
        let decided = self.decided.unwrap_or(self.now);
        // Guards against answers too late for their client: a front that was stopped, in its sleep or at
        // work, cannot know when the statements came that it finds. Those that came last seem older than
        // they are, and may be given up though they could have been in time.
        self.late = self.sleeps - decided > PROMPT || self.now - self.until > PROMPT;
        self.woke = self.now;
        self.since = Some(if self.late { decided } else { self.now });
        if self.waited() > STILL {
            log::warn!("stood still for {} ms", self.waited() / 1000);
        }
    }

    /// Whether this turn's look at the connections is too old to send anything by.
    pub fn is_stale(&self) -> bool {
        self.late || self.now - self.woke > FRESH
    }

    /// How long what is found now may have waited.
    pub fn waited(&self) -> Micros {
        self.since.map_or(0, |since| self.now - since)
    }
}

#[cfg(test)]
#[path = "clock_tests.rs"]
mod tests;
