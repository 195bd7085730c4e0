//! Events of the access rules at one front, for its log.

use crate::error::ChangeError;

/// An event that an operator should know of; the caller logs it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// This front now applies another version.
    Adopted {
        /// The version adopted.
        version: u64,
        /// The number of rules in the version.
        rules: usize,
        /// Whether all fronts already apply the version.
        in_force: bool,
    },
    /// No front applies an earlier version any more.
    InForce {
        /// The version in force.
        version: u64,
    },
    /// The fleet's version is the one in this front's file.
    Accepted {
        /// The version that the file states.
        version: u64,
    },
    /// The change proposed by this front's file was rejected, with the reason.
    ChangeRejected(ChangeError),
    /// This front's lease on the rules has ended: statements of customers with rules are rejected.
    RulesUnknown,
    /// This front holds a lease on the rules again.
    RulesKnown {
        /// The version that this front applies.
        version: u64,
    },
    /// A later incarnation of this front counts hits, so this incarnation no longer does.
    Superseded,
    /// The ledger holds an entry that this build cannot read.
    Unreadable {
        /// The unreadable entry.
        what: &'static str,
    },
    /// The ledger is full and rejected a write.
    LedgerFull {
        /// What could not be stored.
        what: &'static str,
    },
}
