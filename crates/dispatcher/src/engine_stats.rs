//! Recent observations of one engine: failures, answers, silence and recovery.

use hallmux::interface::Micros;

use crate::Ending;

/// Microseconds in which a count decays to half.
const HALF_LIFE: Micros = 2_000_000;
/// The shortest silence with an execution in flight, in microseconds, that is reported to peers.
pub const MIN_SILENCE: Micros = 1_000_000;
/// Microseconds for which silence is still reported after its execution was cancelled. Otherwise it
/// would be retracted before the report had reached many fronts.
pub const SILENCE_REPORTED_FOR: Micros = 3_000_000;
/// Microseconds after a fault in which an answer is reported as a recovery. The time is long
/// because zones stay evacuated for long.
const FAULT_REMEMBERED_FOR: Micros = 120_000_000;
/// Microseconds for which a recovery is reported. A report needs three seconds to reach a thousand
/// fronts.
pub const RECOVERY_REPORTED_FOR: Micros = 4_000_000;

/// A silence that ended because the execution that revealed it was cancelled.
#[derive(Clone, Copy)]
pub struct EndedSilence {
    /// When the silence ended.
    pub at: Micros,
    /// The length of the silence, in microseconds.
    pub length: Micros,
}

/// Recent observations of an engine. The counts decay exponentially.
#[derive(Clone, Copy, Default)]
pub struct EngineStats {
    /// Executions that failed or were lost.
    pub failed: f64,
    /// Executions and probes that were answered.
    pub answered: f64,
    /// The time to which the counts have been decayed.
    counted_at: Micros,
    /// When the engine last sent anything.
    last_activity_at: Micros,
    /// Since when the engine has had an execution in flight.
    pub busy_since: Micros,
    /// When this front or a peer last saw a fault of the engine; None once the engine has answered
    /// since.
    pub fault_at: Option<Micros>,
    /// When the engine recovered, as long as the recovery is reported.
    pub recovered_at: Option<Micros>,
    /// When the engine recovered, until its next fault.
    pub recovered_since: Option<Micros>,
    /// The last silence that ended because its execution was cancelled.
    pub ended_silence: Option<EndedSilence>,
}

impl EngineStats {
    /// Decays the counts to `now`.
    pub fn decay(&mut self, now: Micros) {
        let remaining_share = 0.5f64.powf((now - self.counted_at) as f64 / HALF_LIFE as f64);
        self.failed *= remaining_share;
        self.answered *= remaining_share;
        self.counted_at = now;
    }

    /// Records how an execution at the engine ended.
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

    /// Retains the silence before a cancellation if it is long enough to be reported.
    fn record_silence(&mut self, now: Micros) {
        let length = self.silence(now);
        if length >= MIN_SILENCE {
            self.ended_silence = Some(EndedSilence { at: now, length });
        }
    }

    /// Microseconds since the engine last sent anything, counted only while an execution is in
    /// flight.
    pub fn silence(&self, now: Micros) -> Micros {
        now - self.last_activity_at.max(self.busy_since)
    }

    /// The length in microseconds of a silence that ended recently; 0 if there was none.
    pub fn recent_silence(&self, now: Micros) -> Micros {
        self.ended_silence
            .filter(|silence| now - silence.at < SILENCE_REPORTED_FOR)
            .map_or(0, |silence| silence.length)
    }

    /// Records an answer of the engine. If a fault was seen recently, the engine has recovered.
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

    /// Records a fault, which ends any earlier recovery.
    pub fn record_fault(&mut self, now: Micros) {
        self.fault_at = Some(now);
        self.recovered_at = None;
        self.recovered_since = None;
    }

    /// Stops reporting a recovery after [`RECOVERY_REPORTED_FOR`].
    pub fn expire_recovery(&mut self, now: Micros) {
        self.recovered_at = self
            .recovered_at
            .filter(|at| now - at < RECOVERY_REPORTED_FOR);
    }
}
