//! Tests of attempt limits and the retry budget.

use crate::interface::{Agreement, RejectReason, RetryAllowance};

use super::{RetryBudget, RetryOutcome, RetryRequest};

const WINDOW: i64 = 10_000_000;

fn budget(spare: f64, ratio: f64) -> RetryBudget {
    RetryBudget::new(&Agreement {
        max_attempts: 3,
        retry_allowance: Some(RetryAllowance {
            spare,
            ratio,
            window: WINDOW,
        }),
        ..Agreement::default()
    })
}

fn after(attempts: usize) -> RetryRequest {
    RetryRequest {
        attempts,
        sticky: false,
    }
}

#[test]
fn a_spent_retry_is_available_again_after_the_window() {
    let mut budget = budget(1.0, 0.0);
    assert_eq!(budget.check(after(1), 0), RetryOutcome::Allowed);
    budget.record_retry(0);
    assert_eq!(budget.check(after(1), 0), RetryOutcome::BudgetSpent);
    assert_eq!(budget.check(after(1), WINDOW), RetryOutcome::BudgetSpent);
    assert_eq!(budget.check(after(1), WINDOW + 1), RetryOutcome::Allowed);
}

#[test]
fn the_budget_grows_with_the_statements_admitted() {
    let mut budget = budget(0.0, 0.1);
    for _ in 0..9 {
        budget.record_admission(1);
    }
    assert_eq!(budget.check(after(1), 1), RetryOutcome::BudgetSpent);
    budget.record_admission(1);
    assert_eq!(budget.check(after(1), 1), RetryOutcome::Allowed);
}

#[test]
fn attempts_are_limited_and_a_sticky_statement_is_never_retried() {
    let budget = budget(9.0, 0.0);
    assert_eq!(budget.check(after(2), 0), RetryOutcome::Allowed);
    assert_eq!(budget.check(after(3), 0), RetryOutcome::AttemptsExhausted);
    let sticky = RetryRequest {
        attempts: 1,
        sticky: true,
    };
    assert_eq!(budget.check(sticky, 0), RetryOutcome::Sticky);
}

#[test]
fn without_a_budget_only_the_attempt_limit_applies() {
    let mut budget = RetryBudget::new(&Agreement {
        max_attempts: 3,
        ..Agreement::default()
    });
    for _ in 0..100 {
        budget.record_retry(0);
    }
    assert_eq!(budget.check(after(2), 0), RetryOutcome::Allowed);
}

#[test]
fn each_denial_has_its_reason() {
    let reasons = [
        (RetryOutcome::Allowed, None),
        (
            RetryOutcome::Sticky,
            Some(RejectReason::StickyAttemptFailed),
        ),
        (
            RetryOutcome::AttemptsExhausted,
            Some(RejectReason::AttemptsExhausted),
        ),
        (
            RetryOutcome::BudgetSpent,
            Some(RejectReason::RetryBudgetSpent),
        ),
    ];
    for (outcome, reason) in reasons {
        assert_eq!(outcome.reject_reason(), reason);
    }
}
