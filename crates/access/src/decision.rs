//! What a front says of a statement as it arrives.

use crate::index::Verdict;

/// What the rules in force say of a statement as it arrives.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// No rule can be about its customer.
    Unrestricted,
    /// This front cannot know what holds for its customer.
    RulesUnknown,
    /// Decided under this number, until `over`. One that `waits` goes on once its number is `counted`: to its engine,
    /// or, where it is denied, to its final answer.
    Decided {
        /// The statement's number in this front's incarnation.
        statement: u64,
        /// What the rules say of it.
        verdict: Verdict,
        /// Whether it has to wait until its count stands in the ledger.
        awaits_count: bool,
    },
}

impl Decision {
    /// Whether a rule or the default denies the statement.
    pub fn is_denied(&self) -> bool {
        matches!(self, Decision::Decided { verdict, .. } if verdict.denied.is_some())
    }
}
