//! Stuck attempts: has an attempt in flight been silent for too long, or does it run on a bad plan?
//!
//! Inputs: when it was sent and last heard of, its expected run, the share of its work done; times in microseconds.
//! Reason: attempts may be taken and never answered, whatever the cause: a hung engine, answers lost on the way, a
//! statement stuck in a sound engine. It could stop attempts whose progress notes alone are lost.
//! Source: our extension, `docs/design.md`, "Silence" and "Bad plans".

use crate::interface::{Micros, SECOND};
use crate::policy::outliers::Charge;

/// Expected runs, on top of a second, that an attempt may be silent for without progress notes.
pub(super) const MAX_SILENT_RUNS: f64 = 4.0;
/// Gaps between progress notes that an attempt may be silent for.
const MAX_SILENT_PROGRESS_INTERVALS: f64 = 1.5;
/// Times its expected run that an attempt must head for to be cancelled.
const BAD_PLAN_RUN_FACTOR: f64 = 6.0;
/// Least share of the work that is taken as done.
const MIN_SHARE_DONE: f64 = 0.001;

/// What is known of an attempt in flight.
#[derive(Clone, Copy)]
pub struct InFlightAttempt {
    /// When it was sent.
    pub sent_at: Micros,
    /// When it was last heard of.
    pub last_seen: Micros,
    /// When its engine was last heard of.
    pub engine_last_seen: Micros,
    /// The time between its progress notes; None where it sends none.
    pub progress_interval: Option<Micros>,
    /// Its expected run in microseconds.
    pub expected_run: f64,
}

/// Whether an attempt was heard of lately.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SilenceOutcome {
    /// It was.
    Active,
    /// It is silent; what its engine is charged for.
    Silent(Charge),
}

/// Whether an attempt is silent. Silence before `running_since`, while this front itself stood still, doesn't count.
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

/// An engine that has been heard of since the attempt was is charged for that attempt alone.
fn engine_charge(attempt: &InFlightAttempt) -> Charge {
    if attempt.engine_last_seen <= attempt.last_seen {
        Charge::Unreachable
    } else {
        Charge::Failed
    }
}

/// Whether an attempt of which a share is done heads for many times its expected run. A plan is drawn anew at each
/// attempt, so a second one may be sound.
pub fn is_bad_plan(attempt: &InFlightAttempt, share_done: f64, now: Micros) -> bool {
    let run = (now - attempt.sent_at) as f64;
    let expected = attempt.expected_run;
    let projected_run = run / share_done.max(MIN_SHARE_DONE);
    expected > 0.0 && run > expected && projected_run > BAD_PLAN_RUN_FACTOR * expected
}

#[cfg(test)]
#[path = "stuck_attempts_tests.rs"]
mod tests;
