//! Why the gate refuses an execution.

/// Why an execution may not leave. It is counted under its name in the log line `statements ended for want of a
/// promise so far`; the statement's own line says `LedgerEntry` (`docs/on-call.md`).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Refusal {
    /// Its statement was begun before, or engines may have forgotten the first execution of what it repeats: it may
    /// have run, and is aborted.
    MayHaveRun,
    /// Its shard of the ledger is full.
    ShardFull,
    /// Its dedup key belongs to another group of engines.
    OtherGroup,
    /// No majority of its shard has answered.
    Unreachable,
}

impl Refusal {
    /// Its name in the log.
    pub fn name(self) -> &'static str {
        match self {
            Refusal::MayHaveRun => "begun",
            Refusal::ShardFull => "full",
            Refusal::OtherGroup => "group",
            Refusal::Unreachable => "unreachable",
        }
    }
}
