//! Who ended a statement without a result, and why.

use std::fmt;

use hallmux::interface::RejectReason;

/// Why a statement ended without a result, in the word of the log line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectCause {
    /// The scheduler decided it, for this reason.
    Scheduler(RejectReason),
    /// The access rules deny it, or what they need can't be had.
    AccessRules,
    /// An entry of the ledger that it needs can't be had, or says that it was begun before.
    LedgerEntry,
    /// The mark on the load that it makes can't be set.
    LoadMark,
}

impl RejectCause {
    /// The causes that are not the scheduler's.
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
