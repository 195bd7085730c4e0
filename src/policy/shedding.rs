//! Shedding: does a held statement end now without a result, and why?
//!
//! Inputs: how it stands against its deadlines, what a late answer is worth, whether an engine may still run it.
//! Reason: running what must be late takes capacity from those in time; holding what nobody may run only spares a retry.
//! Source: the paper, section 2.3; ours: `docs/design.md`, "Changed, and when each change acts".

use crate::interface::{Micros, RejectReason, SECOND};
use crate::policy::deadlines::{rejection_time, StatementTiming};

/// Late share under which a statement that must be late is shed at once.
const MIN_LATE_VALUE_SHARE_TO_RUN: f64 = 0.25;
/// Seconds after which a rejected client may try again, spread by half.
const RETRY_AFTER_SECONDS: f64 = 0.3;

/// A held statement.
pub struct ShedRequest {
    /// Its times.
    pub timing: StatementTiming,
    /// The share of its importance that a late answer is worth, 0 to 1.
    pub late_value_share: f64,
    /// Others of its order key are not over.
    pub shares_order_key: bool,
    /// The engine that holds its transaction takes nothing new.
    pub sticky_engine_closed: bool,
    /// Some engine may run it without harm, whatever its earlier attempts have done.
    pub has_safe_engine: bool,
}

impl ShedRequest {
    /// Why it is shed at once, if it is: no engine may have it, or it must be late, and that is worth little or makes
    /// others of its order key late too.
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

    /// Why it ends now that its standing has changed, if it does. Past its latest start it goes ahead of all, unless
    /// others wait that can still be in time.
    pub fn reason_at_expiry(&self, timely_waiting: bool, now: Micros) -> Option<RejectReason> {
        if now >= rejection_time(self.timing.deadline) {
            return Some(RejectReason::Expiring);
        }
        let overdue = now >= self.timing.latest_start();
        self.reason(now)
            .or((overdue && timely_waiting).then_some(RejectReason::LatestStartPassed))
    }
}

/// The time after which a rejected client may try again; `draw` is from 0 up to 1.
pub fn retry_after(draw: f64, longest: Option<Micros>) -> Option<Micros> {
    let wait = RETRY_AFTER_SECONDS * (0.5 + draw) * SECOND as f64;
    longest.map(|longest| longest.min(wait as Micros))
}

#[cfg(test)]
#[path = "shedding_tests.rs"]
mod tests;
