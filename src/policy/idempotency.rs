//! Idempotency and the deduplication window: decides whether a statement may safely run again.
//!
//! Inputs: the workload's effect, deduplication group and window, the attempts that may have run,
//! and the engine list.
//!
//! A non-idempotent statement must never run twice. One with a dedup key may be sent to engines
//! that drop its repeats, within the deduplication window.
//!
//! Source: our extension, `docs/design.md`, "what may be sent where".

use crate::interface::{DedupGroup, Effect, EngineEntry, Micros, Mode, Workload};
use crate::statement::{Attempt, Statement};

/// The answer to a statement that ends without a result.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// Rejection: the client may safely submit the statement again.
    Reject,
    /// Abort: the statement may have run, and it may not be safe to run it again.
    Abort,
}

/// The answer to a statement of the workload that ends without a result.
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

/// Whether a statement may safely be sent to the engine `at`, whatever its earlier attempts have
/// done. `entries` is the engine list by engine id.
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
        let within_window = now - attempt.sent_at < workload.dedup_window;
        same_group && at.mode == Mode::Ready && within_window
    };
    statement
        .may_have_run()
        .all(|attempt| match workload.effect {
            Effect::Idempotent => true,
            Effect::NonIdempotent => false,
            Effect::Deduplicated => is_dropped(attempt),
        })
}

/// Whether any listed engine may safely run a statement. Without such an engine it would wait in
/// vain.
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
