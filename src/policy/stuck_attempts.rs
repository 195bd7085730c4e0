//! Stuck attempts: detects attempts in flight that are silent for too long or run on a bad plan.
//!
//! Inputs: when an attempt was sent and last seen, its expected run time, and the share of its
//! work done. Times are in microseconds.
//!
//! Attempts may be accepted and never answered: the engine hangs, answers are lost, or a statement
//! is stuck on a healthy engine. The rule may also stop an attempt of which only the progress
//! reports are lost.
//!
//! Source: our extension, `docs/design.md`, "Silence" and "Bad plans".

use crate::interface::{Micros, SECOND};
use crate::policy::outliers::Charge;

/// Multiple of the expected run time, in addition to a second, for which an attempt without
/// progress reports may be silent.
pub(super) const MAX_SILENT_RUNS: f64 = 4.0;
/// Progress report intervals for which an attempt may be silent.
const MAX_SILENT_PROGRESS_INTERVALS: f64 = 1.5;
/// Multiple of the expected run time above which a projected run time indicates a bad plan.
const BAD_PLAN_RUN_FACTOR: f64 = 6.0;
/// Minimum share of the work assumed to be done.
const MIN_SHARE_DONE: f64 = 0.001;

/// The inputs of the rules for an attempt in flight.
#[derive(Clone, Copy)]
pub struct InFlightAttempt {
    /// When the attempt was sent.
    pub sent_at: Micros,
    /// When the last progress report on the attempt arrived, or else when it was sent.
    pub last_seen: Micros,
    /// When the engine last gave a sign of life.
    pub engine_last_seen: Micros,
    /// The time between its progress reports; `None` if the engine sends none.
    pub progress_interval: Option<Micros>,
    /// The expected run time, in microseconds.
    pub expected_run: f64,
}

/// Whether an attempt is silent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SilenceOutcome {
    /// The attempt or its engine gave a sign of life recently.
    Active,
    /// The attempt is silent; the value is the charge against its engine.
    Silent(Charge),
}

/// Whether an attempt is silent. Silence before `running_since`, the end of this front's last
/// stall, does not count.
pub fn check_silence(
    attempt: &InFlightAttempt,
    running_since: Micros,
    now: Micros,
) -> SilenceOutcome {
    let (last_seen, timeout) = match attempt.progress_interval {
        None => (
            attempt.sent_at.max(attempt.engine_last_seen),
            SECOND as f64 + MAX_SILENT_RUNS * attempt.expected_run,
        ),
        Some(interval) => (
            attempt.last_seen,
            MAX_SILENT_PROGRESS_INTERVALS * interval as f64,
        ),
    };
    if (now - last_seen.max(running_since)) as f64 > timeout {
        SilenceOutcome::Silent(engine_charge(attempt))
    } else {
        SilenceOutcome::Active
    }
}

/// The charge for a silent attempt. An engine that gave a sign of life after the attempt did is
/// charged for one failed attempt only.
fn engine_charge(attempt: &InFlightAttempt) -> Charge {
    if attempt.engine_last_seen <= attempt.last_seen {
        Charge::Unreachable
    } else {
        Charge::Failed
    }
}

/// Whether the projected run time of an attempt is many times its expected one. Engines plan each
/// attempt anew, so a retry may get a better plan.
pub fn is_bad_plan(attempt: &InFlightAttempt, share_done: f64, now: Micros) -> bool {
    let run = (now - attempt.sent_at) as f64;
    let expected = attempt.expected_run;
    let projected_run = run / share_done.max(MIN_SHARE_DONE);
    expected > 0.0 && run > expected && projected_run > BAD_PLAN_RUN_FACTOR * expected
}

#[cfg(test)]
#[path = "stuck_attempts_tests.rs"]
mod tests;
