//! Idempotency and the deduplication window: does it do harm to run a statement again?
//!
//! Inputs: the workload's effect, group and window, the attempts that may have run, the engine list.
//! Reason: a statement that isn't idempotent must never run twice; one with a dedup key may go where its repeats are
//! dropped, for as long as they are.
//! Source: our extension, `docs/design.md`, "what may be sent where".

use crate::interface::{DedupGroup, Effect, EngineEntry, Micros, Mode, Workload};
use crate::statement::{Attempt, Statement};

/// What a statement that ends without a result is answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// Rejected: its client may try again without harm.
    Reject,
    /// Aborted: it may have run, and running it again might do harm.
    Abort,
}

/// What a statement of this workload is answered when it ends without a result.
pub fn answer_without_result(workload: &Workload, may_have_run: bool) -> Answer {
    let harmless = match workload.effect {
        Effect::Idempotent => true,
        Effect::Deduplicated => !may_have_run || workload.dedup_group == DedupGroup::All,
        Effect::NonIdempotent => !may_have_run,
    };
    if harmless {
        Answer::Reject
    } else {
        Answer::Abort
    }
}

/// Whether no harm comes of sending a statement to the engine `at`, whatever its earlier attempts have done.
/// `entries` is the engine list by engine id.
pub fn is_safe_repeat(
    workload: &Workload,
    statement: &Statement,
    entries: &[Option<EngineEntry>],
    at: &EngineEntry,
    now: Micros,
) -> bool {
    let is_dropped = |attempt: &Attempt| {
        let earlier = entries[attempt.engine].as_ref();
        let same_group = earlier.is_some_and(|e| at.deduplicates_with(e, workload.dedup_group));
        let remembered = now - attempt.sent_at < workload.dedup_window;
        same_group && at.mode == Mode::Ready && remembered
    };
    statement
        .may_have_run()
        .all(|attempt| match workload.effect {
            Effect::Idempotent => true,
            Effect::NonIdempotent => false,
            Effect::Deduplicated => is_dropped(attempt),
        })
}

/// Whether a statement may be sent to any engine of the list without harm: else it would wait in vain.
pub fn has_safe_engine(
    workload: &Workload,
    statement: &Statement,
    entries: &[Option<EngineEntry>],
    now: Micros,
) -> bool {
    let safe = |at: &EngineEntry| is_safe_repeat(workload, statement, entries, at, now);
    statement.attempts.is_empty() || entries.iter().flatten().any(safe)
}

#[cfg(test)]
#[path = "idempotency_tests.rs"]
mod tests;
