//! Tests of safe repeats and of answers without a result.

use crate::interface::{Arrival, DedupGroup, Effect, EngineEntry, Mode, Outcome, Workload};
use crate::load::Load;
use crate::policy::test_support::workload as any_workload;
use crate::statement::{Attempt, Statement};

use super::{answer_without_result, has_safe_engine, is_safe_repeat, Answer};

const WINDOW: i64 = 1_000_000;

fn workload(effect: Effect, dedup_group: DedupGroup) -> Workload {
    Workload {
        effect,
        dedup_group,
        dedup_window: WINDOW,
        ..any_workload(1.0)
    }
}

fn engine(engine: usize, location: usize) -> EngineEntry {
    EngineEntry {
        engine,
        location,
        kind: 0,
        cell: 0,
        mode: Mode::Ready,
        started: None,
        protocols: 1,
        sends_progress: true,
    }
}

/// A statement with one attempt, sent to engine 0 at time 0.
fn attempted(outcome: Outcome) -> Statement {
    let arrival = Arrival {
        statement: 0,
        workload: 0,
        customer: 0,
        order_key: None,
        time_left: 1,
        work: 0.0,
        memory_mb: 0.0,
        data_set: None,
        protocols: 1,
        sticky_engine: None,
        allowed_locations: None,
    };
    let mut statement = Statement::new(arrival, 0, 0, 1, Load::default());
    statement.attempts.push(Attempt {
        outcome: Some(outcome),
        ..Attempt::default()
    });
    statement
}

#[test]
fn a_statement_that_never_ran_may_be_sent_to_any_engine() {
    let workload = workload(Effect::NonIdempotent, DedupGroup::All);
    let entries = [Some(engine(0, 0))];
    let safe = |outcome| has_safe_engine(&workload, &attempted(outcome), &entries, 0);
    for outcome in [Outcome::NoCapacity, Outcome::Unreachable, Outcome::NotSent] {
        assert!(safe(outcome), "{outcome:?}");
    }
    for outcome in [
        Outcome::Error,
        Outcome::TimedOut,
        Outcome::Reset,
        Outcome::Cancelled,
    ] {
        assert!(!safe(outcome), "{outcome:?}");
    }
}

#[test]
fn a_deduplicated_statement_is_repeated_only_within_its_group_and_window() {
    let workload = workload(Effect::Deduplicated, DedupGroup::Location);
    let entries = [Some(engine(0, 0)), Some(engine(1, 0)), Some(engine(2, 1))];
    let statement = attempted(Outcome::Reset);
    let safe = |at: usize, now| {
        let at = entries[at].as_ref().unwrap();
        is_safe_repeat(&workload, &statement, &entries, at, now)
    };
    assert!(safe(1, WINDOW - 1));
    assert!(!safe(2, WINDOW - 1), "another deduplication group");
    assert!(!safe(1, WINDOW), "the deduplication window is over");
}

#[test]
fn a_draining_engine_is_not_safe_for_a_repeat() {
    let workload = workload(Effect::Deduplicated, DedupGroup::All);
    let draining = EngineEntry {
        mode: Mode::Draining,
        ..engine(0, 0)
    };
    let entries = [Some(draining)];
    let statement = attempted(Outcome::Reset);
    assert!(!has_safe_engine(&workload, &statement, &entries, 0));
}

#[test]
fn a_statement_is_aborted_if_a_client_retry_could_run_it_twice() {
    let answer = |effect, group, ran| answer_without_result(&workload(effect, group), ran);
    let all = DedupGroup::All;
    assert_eq!(answer(Effect::Idempotent, all, true), Answer::Reject);
    assert_eq!(answer(Effect::NonIdempotent, all, false), Answer::Reject);
    assert_eq!(answer(Effect::NonIdempotent, all, true), Answer::Abort);
    assert_eq!(answer(Effect::Deduplicated, all, true), Answer::Reject);
    let cell = DedupGroup::Cell;
    assert_eq!(answer(Effect::Deduplicated, cell, true), Answer::Abort);
    assert_eq!(answer(Effect::Deduplicated, cell, false), Answer::Reject);
}
