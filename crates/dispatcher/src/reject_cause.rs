//! Why a statement ended without a result, and which component decided so.

use std::fmt;

use hallmux::interface::RejectReason;

/// Why a statement ended without a result. Its text form is part of a log line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectCause {
    /// The scheduler rejected or aborted it for this reason.
    Scheduler(RejectReason),
    /// The access rules deny it, or something that they depend on is unavailable.
    AccessRules,
    /// A ledger entry that it needs is unavailable, or shows that the statement was started before.
    LedgerEntry,
    /// The load marker for the load that it makes can't be set.
    LoadMark,
}

impl RejectCause {
    /// The causes other than decisions of the scheduler.
    pub const OUTSIDE_SCHEDULER: [RejectCause; 3] = [
        RejectCause::AccessRules,
        RejectCause::LedgerEntry,
        RejectCause::LoadMark,
    ];
}

impl fmt::Display for RejectCause {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            RejectCause::Scheduler(reason) => reason.fmt(f),
            RejectCause::AccessRules => f.write_str("AccessRules"),
            RejectCause::LedgerEntry => f.write_str("LedgerEntry"),
            RejectCause::LoadMark => f.write_str("LoadMark"),
        }
    }
}

#[cfg(test)]
#[path = "reject_cause_tests.rs"]
mod tests;
