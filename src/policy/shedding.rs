//! Shedding: decides whether a held statement ends now without a result, and why.
//!
//! Inputs: the statement's times, the value of a late answer, and whether any engine may still run
//! it.
//!
//! Running statements that must be late takes capacity from timely ones. Holding a statement that
//! no engine may run only delays the client's retry.
//!
//! Source: the paper, section 2.3; changes: `docs/design.md`, "Changed, and when each change
//! acts".

use crate::interface::{Micros, RejectReason, SECOND};
use crate::policy::deadlines::{rejection_time, StatementTiming};

/// Value share of a late answer below which a statement that must be late is shed at once.
const MIN_LATE_VALUE_SHARE_TO_RUN: f64 = 0.25;
/// Mean time after which a rejected client may retry, in seconds. The actual time varies uniformly
/// from half to one and a half times the mean.
const RETRY_AFTER_SECONDS: f64 = 0.3;

/// The inputs of the rule for a held statement.
pub struct ShedRequest {
    /// The statement's times.
    pub timing: StatementTiming,
    /// The share of the importance that a late answer is worth, 0 to 1.
    pub late_value_share: f64,
    /// Whether other statements of its order key have no final answer yet.
    pub shares_order_key: bool,
    /// Whether the engine of its transaction no longer accepts statements.
    pub sticky_engine_closed: bool,
    /// Whether some engine may safely run the statement, whatever its earlier attempts have done.
    pub has_safe_engine: bool,
}

impl ShedRequest {
    /// The reason to shed the statement at once, if any: no engine may run it, or it must be late
    /// and a late answer is worth little or delays other statements of its order key.
    pub fn reason(&self, now: Micros) -> Option<RejectReason> {
        let late = now >= self.timing.last_timely_start();
        if late && self.late_value_share < MIN_LATE_VALUE_SHARE_TO_RUN {
            Some(RejectReason::TooLate)
        } else if late && self.shares_order_key {
            Some(RejectReason::OrderKeyBlocked)
        } else if self.sticky_engine_closed {
            Some(RejectReason::StickyEngineClosed)
        } else if !self.has_safe_engine {
            Some(RejectReason::NoSafeEngine)
        } else {
            None
        }
    }

    /// The reason to end the statement when its urgency has changed, if any. Past its latest start
    /// it is kept and sent before all others, unless statements wait that can still be timely
    /// (`timely_waiting`). It always ends at its rejection time, shortly before its deadline.
    pub fn reason_at_expiry(&self, timely_waiting: bool, now: Micros) -> Option<RejectReason> {
        if now >= rejection_time(self.timing.deadline) {
            return Some(RejectReason::Expiring);
        }
        let overdue = now >= self.timing.latest_start();
        self.reason(now)
            .or((overdue && timely_waiting).then_some(RejectReason::LatestStartPassed))
    }
}

/// The time after which a rejected client may retry, limited to `longest`. If `longest` is `None`,
/// rejections name no time and the result is `None`. `draw` is in [0, 1).
pub fn retry_after(draw: f64, longest: Option<Micros>) -> Option<Micros> {
    let wait = RETRY_AFTER_SECONDS * (0.5 + draw) * SECOND as f64;
    longest.map(|longest| longest.min(wait as Micros))
}

#[cfg(test)]
#[path = "shedding_tests.rs"]
mod tests;
