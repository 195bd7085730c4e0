//! Reasons for which the scheduler ends a statement without a result.

use std::fmt;

/// The reason for a rejection or an abort. Its [`RejectReason::name`] appears in the log line of
/// level `debug` and in `docs/on-call.md`. It is not sent to the client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectReason {
    /// The fleet admits only a share of the workload's statements, and this one is outside it.
    OverFleetQuota,
    /// The statement can no longer be answered within its SLO time, and a late answer is worth too
    /// little.
    TooLate,
    /// The statement can no longer be answered within its SLO time, and other statements of its
    /// order key are waiting or running.
    OrderKeyBlocked,
    /// The engine of its transaction no longer accepts statements.
    StickyEngineClosed,
    /// The statement belongs to a transaction, and its attempt failed. Such statements are never
    /// retried.
    StickyAttemptFailed,
    /// An earlier attempt may have run, and no engine is known to drop the repeat.
    NoSafeEngine,
    /// The latest start has passed, and other statements wait that can still be timely.
    LatestStartPassed,
    /// The latest start has passed, and no engine has capacity for the statement.
    NoCapacityAtLatestStart,
    /// The statement has used all the attempts that it may have.
    AttemptsExhausted,
    /// The retry budget of this window is spent.
    RetryBudgetSpent,
    /// The client's wait ends within milliseconds.
    Expiring,
}

impl RejectReason {
    /// Every reason, in the order of the table in `docs/on-call.md`.
    pub const ALL: [RejectReason; 11] = [
        RejectReason::OverFleetQuota,
        RejectReason::TooLate,
        RejectReason::OrderKeyBlocked,
        RejectReason::StickyEngineClosed,
        RejectReason::StickyAttemptFailed,
        RejectReason::NoSafeEngine,
        RejectReason::LatestStartPassed,
        RejectReason::NoCapacityAtLatestStart,
        RejectReason::AttemptsExhausted,
        RejectReason::RetryBudgetSpent,
        RejectReason::Expiring,
    ];

    /// The reason's name in the log, equal to the variant's name.
    pub fn name(self) -> &'static str {
        match self {
            RejectReason::OverFleetQuota => "OverFleetQuota",
            RejectReason::TooLate => "TooLate",
            RejectReason::OrderKeyBlocked => "OrderKeyBlocked",
            RejectReason::StickyEngineClosed => "StickyEngineClosed",
            RejectReason::StickyAttemptFailed => "StickyAttemptFailed",
            RejectReason::NoSafeEngine => "NoSafeEngine",
            RejectReason::LatestStartPassed => "LatestStartPassed",
            RejectReason::NoCapacityAtLatestStart => "NoCapacityAtLatestStart",
            RejectReason::AttemptsExhausted => "AttemptsExhausted",
            RejectReason::RetryBudgetSpent => "RetryBudgetSpent",
            RejectReason::Expiring => "Expiring",
        }
    }
}

impl fmt::Display for RejectReason {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(self.name())
    }
}
