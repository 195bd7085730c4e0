//! The reasons why the barrier refuses an execution.

/// Why an execution must not be sent. Refusals are counted by [`Refusal::name`] in the log line `statements ended
/// for want of a promise so far`; the log line of the statement itself names `LedgerEntry` (`docs/on-call.md`).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Refusal {
    /// The statement was started before, or engines may no longer deduplicate it against the execution that it
    /// repeats. The statement may have run, so it is aborted.
    MayHaveRun,
    /// The ledger shard of a required key is full.
    ShardFull,
    /// The dedup key is held for another group of engines.
    OtherGroup,
    /// No majority of the ledger shard has answered.
    Unreachable,
}

impl Refusal {
    /// Returns the name under which the log counts this reason.
    pub fn name(self) -> &'static str {
        match self {
            Refusal::MayHaveRun => "begun",
            Refusal::ShardFull => "full",
            Refusal::OtherGroup => "group",
            Refusal::Unreachable => "unreachable",
        }
    }
}
