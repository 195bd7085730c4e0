//! The decision of a front on an arriving statement.

use crate::index::Verdict;

/// What the rules in force decide about an arriving statement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// No rule can apply to the statement's customer.
    Unrestricted,
    /// This front holds no valid lease on the rules, so it cannot know which rules apply to the
    /// statement's customer.
    RulesUnknown,
    /// Decided under a statement number, which is valid until [`crate::Access::statement_ended`]. A
    /// statement that `awaits_count` proceeds once its number is in [`crate::Output::counted`]: to
    /// its engine or, if it is denied, to its final answer.
    Decided {
        /// The statement's number within this front's incarnation.
        statement: u64,
        /// The verdict of the rules.
        verdict: Verdict,
        /// Whether the statement has to wait until its hits are replicated in the ledger.
        awaits_count: bool,
    },
}

impl Decision {
    /// Returns whether a rule or the default denies the statement.
    pub fn is_denied(&self) -> bool {
        matches!(self, Decision::Decided { verdict, .. } if verdict.denied.is_some())
    }
}
