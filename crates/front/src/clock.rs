//! The time, and how long what is found now may have waited for a front that had no CPU or stood still.

use std::time::SystemTime;

use hallmux_dispatcher::Micros;

const STILL: Micros = 250_000; // microseconds late that are worth a line in the log
const PROMPT: Micros = 50_000; // microseconds late that are no standing still; less than an answer's slack

#[derive(Default)]
pub struct Clock {
    /// For drills: how much more it reads than the machine's.
    ahead: Micros,
    /// The system's Unix clock at the last look, but never back.
    pub now: Micros,
    /// When it was last decided on all that had come by then.
    decided: Option<Micros>,
    /// When this front went to sleep, and until when it meant to.
    sleeps: Micros,
    until: Micros,
    /// Since when what is found in this turn may have waited, once it is known.
    since: Option<Micros>,
}

impl Clock {
    pub fn ahead(ahead: Micros) -> Clock {
        Clock { ahead, ..Clock::default() }
    }

    pub fn look(&mut self) {
        let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        self.set(since.as_micros() as Micros + self.ahead);
    }

    fn set(&mut self, time: Micros) {
        self.now = self.now.max(time);
    }

    /// Nothing is due until then.
    pub fn sleep(&mut self, until: Micros) {
        (self.sleeps, self.until, self.since) = (self.now, until, None);
    }

    /// All that has come by now is decided on.
    pub fn decides(&mut self) {
        self.decided = Some(self.now);
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
        let late = self.sleeps - decided > PROMPT || self.now - self.until > PROMPT;
        self.since = Some(if late { decided } else { self.now });
        if self.waited() > STILL {
            log::warn!("stood still for {} ms", self.waited() / 1000);
        }
    }

    /// How long what is found now may have waited.
    pub fn waited(&self) -> Micros {
        self.since.map_or(0, |since| self.now - since)
    }
}

#[cfg(test)]
mod tests {
    use super::Clock;

    fn waited(decided: i64, sleeps: i64, until: i64, wakes: i64) -> i64 {
        let mut clock = Clock::default();
        clock.set(decided);
        clock.sleep(decided);
        clock.woke();
        clock.decides();
        clock.set(sleeps);
        clock.sleep(until);
        clock.set(wakes);
        clock.woke();
        clock.waited()
    }

    #[test]
    fn what_is_found_on_time_has_not_waited() {
        assert_eq!(waited(1_000_000, 1_001_000, 1_026_000, 1_010_000), 0);
        assert_eq!(waited(1_000_000, 1_001_000, 1_026_000, 1_060_000), 0);
    }

    #[test]
    fn what_is_found_late_may_have_waited_since_the_last_decision() {
        assert_eq!(waited(1_000_000, 1_001_000, 1_026_000, 4_000_000), 3_000_000);
        assert_eq!(waited(1_000_000, 3_000_000, 3_025_000, 3_000_500), 2_000_500);
    }
}
