//! Tests of silent attempts and bad plans.

use crate::policy::outliers::Charge;

use super::{check_silence, is_bad_plan, InFlightAttempt, SilenceOutcome};

const SECOND: i64 = 1_000_000;

fn attempt(progress_interval: Option<i64>) -> InFlightAttempt {
    InFlightAttempt {
        sent_at: 0,
        last_seen: 0,
        engine_last_seen: 0,
        progress_interval,
        expected_run: 500_000.0,
    }
}

#[test]
fn with_progress_reports_an_attempt_is_silent_after_one_and_a_half_intervals() {
    let reporting = attempt(Some(SECOND));
    let silent = SilenceOutcome::Silent(Charge::Unreachable);
    assert_eq!(
        check_silence(&reporting, 0, 1_500_000),
        SilenceOutcome::Active
    );
    assert_eq!(check_silence(&reporting, 0, 1_500_001), silent);
}

#[test]
fn without_progress_reports_an_attempt_is_silent_after_a_second_and_four_expected_runs() {
    let without = attempt(None);
    let silent = SilenceOutcome::Silent(Charge::Unreachable);
    assert_eq!(
        check_silence(&without, 0, 3 * SECOND),
        SilenceOutcome::Active
    );
    assert_eq!(check_silence(&without, 0, 3 * SECOND + 1), silent);
    // Any answer of the engine counts as a sign of life of the attempt.
    let engine_last_seen = SECOND;
    let seen = InFlightAttempt {
        engine_last_seen,
        ..without
    };
    let outcome = check_silence(&seen, 0, 3 * SECOND + 1);
    assert_eq!(outcome, SilenceOutcome::Active);
}

#[test]
fn an_engine_seen_since_is_charged_for_one_failed_attempt_only() {
    let seen = InFlightAttempt {
        engine_last_seen: SECOND,
        ..attempt(Some(SECOND))
    };
    let outcome = check_silence(&seen, 0, 2 * SECOND);
    assert_eq!(outcome, SilenceOutcome::Silent(Charge::Failed));
}

#[test]
fn silence_during_a_stall_of_this_front_does_not_count() {
    let reporting = attempt(Some(SECOND));
    let outcome = check_silence(&reporting, 9 * SECOND, 10 * SECOND);
    assert_eq!(outcome, SilenceOutcome::Active);
}

#[test]
fn an_attempt_projected_beyond_six_expected_runs_has_a_bad_plan() {
    let known = attempt(None);
    assert!(!is_bad_plan(&known, 0.2, 600_000));
    assert!(is_bad_plan(&known, 0.19, 600_000));
    // No plan counts as bad within the expected run time.
    assert!(!is_bad_plan(&known, 0.01, 500_000));
}
