//! Why the decisions ended a statement without a result.

use std::fmt;

/// Why a statement was rejected or aborted. The word that [`RejectReason::name`] gives stands in the log line of
/// level `debug` and in `docs/on-call.md`; nothing of it goes to the client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectReason {
    /// The fleet admits only a share of the workload's statements, and this one is not in it.
    OverFleetQuota,
    /// No answer can come within the SLO time any more, and a late one is worth too little.
    TooLate,
    /// No answer can come within the SLO time any more, and others of its order key are not over.
    OrderKeyBlocked,
    /// The engine that holds its transaction takes nothing new any more.
    StickyEngineClosed,
    /// It belongs to a transaction and failed there: it is never attempted again.
    StickyAttemptFailed,
    /// An earlier attempt may have run, and no engine is known to drop the repeat.
    NoSafeEngine,
    /// Its latest start has passed, and statements wait that can still be in time.
    LatestStartPassed,
    /// Its latest start has passed, and no engine has capacity for it now.
    NoCapacityAtLatestStart,
    /// It has had all the attempts that a statement may have.
    AttemptsExhausted,
    /// The budget of retries in this window is spent.
    RetryBudgetSpent,
    /// Its client stops waiting within moments.
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

    /// Its word in the log, the same as the variant's name.
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
