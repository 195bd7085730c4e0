//! What happens to the rules at one front, for its log.

use crate::error::ChangeError;

/// What an operator should know of; the caller logs it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// This front judges by another version.
    Adopted {
        /// The version adopted.
        version: u64,
        /// The number of rules in it.
        rules: usize,
        /// Whether all fronts judge by it already.
        in_force: bool,
    },
    /// No front judges by an earlier version any more.
    InForce {
        /// The version in force.
        version: u64,
    },
    /// This front's file is the fleet's.
    Accepted {
        /// The version that the file states.
        version: u64,
    },
    /// This front's file was not accepted, and why.
    ChangeRejected(ChangeError),
    /// This front cannot know what holds: statements of customers with rules are rejected.
    RulesUnknown,
    /// This front can judge by the rules again.
    RulesKnown {
        /// The version that it judges by.
        version: u64,
    },
    /// A later incarnation of this front counts hits: this one does not any more.
    Superseded,
    /// The ledger holds what this build cannot read.
    Unreadable {
        /// Which entry of the ledger it is.
        what: &'static str,
    },
    /// The ledger is full: what is named could not be stored.
    LedgerFull {
        /// What could not be kept.
        what: &'static str,
    },
}
