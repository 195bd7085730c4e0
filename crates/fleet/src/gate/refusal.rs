//! Why the gate refuses an execution.

/// Why an execution may not leave. Its name is the one in the log and in `docs/on-call.md`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Refusal {
    /// Its statement was begun before, or engines may have forgotten what it repeats: it is aborted.
    Begun,
    /// Its shard of the ledger is full.
    Full,
    /// Its dedup key belongs to another group of engines.
    Group,
    /// No majority of its shard has answered.
    Unreachable,
}

impl Refusal {
    /// Its name in the log.
    pub fn name(self) -> &'static str {
        match self {
            Refusal::Begun => "begun",
            Refusal::Full => "full",
            Refusal::Group => "group",
            Refusal::Unreachable => "unreachable",
        }
    }
}
