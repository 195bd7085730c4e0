//! What this front has seen of one engine lately: failures, answers, silence and recovery.

use hallmux::interface::Micros;

use crate::Ending;

/// Microseconds until what was seen of an engine counts half.
const HALF_LIFE: Micros = 2_000_000;
/// Microseconds of silence with something in flight that are reported to other fronts.
pub const MIN_SILENCE: Micros = 1_000_000;
/// Microseconds for which silence that ended with its execution cancelled is reported: else it would be taken
/// back before the report of it reached many fronts.
pub const SILENCE_REPORTED_FOR: Micros = 3_000_000;
/// Microseconds after a fault in which an answer is reported as recovery: zones stay evacuated long.
const FAULT_REMEMBERED_FOR: Micros = 120_000_000;
/// Microseconds for which a recovery is reported: the report reaches a thousand fronts in three seconds.
pub const RECOVERY_REPORTED_FOR: Micros = 4_000_000;

/// Silence that ended with the execution it was noticed by.
#[derive(Clone, Copy)]
pub struct EndedSilence {
    /// When it ended.
    pub at: Micros,
    /// How long it was, in microseconds.
    pub length: Micros,
}

/// What was seen of an engine lately; counts halve with time.
#[derive(Clone, Copy, Default)]
pub struct EngineStats {
    /// Executions that failed or were lost.
    pub failed: f64,
    /// Executions and probes that were answered.
    pub answered: f64,
    /// The time for which the counts stand.
    counted_at: Micros,
    /// When anything last came from it.
    last_activity_at: Micros,
    /// Since when something is in flight there.
    pub busy_since: Micros,
    /// When a fault of it was last seen, here or by other fronts, if it has not answered since.
    pub fault_at: Option<Micros>,
    /// Since when it answers again, while that is reported.
    pub recovered_at: Option<Micros>,
    /// Since when it answers again, until its next fault.
    pub recovered_since: Option<Micros>,
    /// The last silence that ended with its execution cancelled.
    pub ended_silence: Option<EndedSilence>,
}

impl EngineStats {
    /// Brings the counts up to now.
    pub fn decay(&mut self, now: Micros) {
        let remaining_share = 0.5f64.powf((now - self.counted_at) as f64 / HALF_LIFE as f64);
        self.failed *= remaining_share;
        self.answered *= remaining_share;
        self.counted_at = now;
    }

    /// An execution there has ended.
    pub fn record_ending(&mut self, now: Micros, ending: Ending) {
        self.decay(now);
        match ending {
            Ending::Answered => self.record_answer(now),
            Ending::EngineFailed | Ending::ConnectionRefused | Ending::ConnectTimeout => {
                self.failed += 1.0;
            }
            Ending::Reset | Ending::Closed | Ending::Unreadable => self.failed += 1.0,
            Ending::GivenUp | Ending::TimeUp => self.record_silence(now),
            _ => {}
        }
        if matches!(ending, Ending::EngineFailed | Ending::Rejected) {
            self.last_activity_at = now;
        }
    }

    /// An execution was cancelled: the silence before it is remembered if it is long enough to be reported.
    fn record_silence(&mut self, now: Micros) {
        let length = self.silence(now);
        if length >= MIN_SILENCE {
            self.ended_silence = Some(EndedSilence { at: now, length });
        }
    }

    /// Microseconds since anything came from it with something in flight.
    pub fn silence(&self, now: Micros) -> Micros {
        now - self.last_activity_at.max(self.busy_since)
    }

    /// Microseconds of the silence that ended lately; 0 where there was none.
    pub fn recent_silence(&self, now: Micros) -> Micros {
        self.ended_silence
            .filter(|silence| now - silence.at < SILENCE_REPORTED_FOR)
            .map_or(0, |silence| silence.length)
    }

    /// It has answered. Where a fault of it was seen lately, it has recovered.
    pub fn record_answer(&mut self, now: Micros) {
        self.last_activity_at = now;
        self.ended_silence = None;
        self.answered += 1.0;
        let fault_at = self.fault_at.take();
        if fault_at.is_some_and(|at| now - at < FAULT_REMEMBERED_FOR) {
            self.recovered_at = Some(now);
            self.recovered_since.get_or_insert(now);
        }
    }

    /// A fault is seen: what was known of its recovery is over.
    pub fn record_fault(&mut self, now: Micros) {
        self.fault_at = Some(now);
        self.recovered_at = None;
        self.recovered_since = None;
    }

    /// Stops reporting a recovery that was reported for long enough.
    pub fn expire_recovery(&mut self, now: Micros) {
        self.recovered_at = self
            .recovered_at
            .filter(|at| now - at < RECOVERY_REPORTED_FOR);
    }
}
