//! Retry: decides whether a statement may be attempted again.
//!
//! Inputs: the statement's attempts, whether it is sticky, and the current time.
//!
//! Attempts beyond the first add load when engines fail. The settings limit them for each
//! statement and, in any window, relative to the statements admitted in it.
//!
//! A retry must also pass these checks elsewhere: a safe engine ([`idempotency`]); more than 40 ms
//! left before the deadline ([`deadlines`]); a trusted engine ([`outliers`]); and, if enabled,
//! access rules and the ledger.
//!
//! Source: the contract's settings (`docs/design.md`, "what may be sent where").
//!
//! [`idempotency`]: super::idempotency
//! [`deadlines`]: super::deadlines
//! [`outliers`]: super::outliers

use std::collections::VecDeque;

use crate::interface::{Agreement, Micros, RejectReason, RetryAllowance};

/// The inputs of the rule for one statement.
#[derive(Clone, Copy)]
pub struct RetryRequest {
    /// The attempts that the statement has had.
    pub attempts: usize,
    /// Whether the statement belongs to an open transaction.
    pub sticky: bool,
}

/// Whether a statement may be attempted again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryOutcome {
    /// The statement may be attempted again.
    Allowed,
    /// The statement belongs to an open transaction and is never attempted twice.
    Sticky,
    /// The statement has used all the attempts that it may have.
    AttemptsExhausted,
    /// The retry budget of this window is spent.
    BudgetSpent,
}

impl RetryOutcome {
    /// The reason against another attempt; `None` if it is allowed.
    pub fn reject_reason(self) -> Option<RejectReason> {
        match self {
            RetryOutcome::Allowed => None,
            RetryOutcome::Sticky => Some(RejectReason::StickyAttemptFailed),
            RetryOutcome::AttemptsExhausted => Some(RejectReason::AttemptsExhausted),
            RetryOutcome::BudgetSpent => Some(RejectReason::RetryBudgetSpent),
        }
    }
}

/// Times of events, oldest first.
#[derive(Default)]
struct Timestamps(VecDeque<Micros>);

impl Timestamps {
    fn count_after(&self, time: Micros) -> f64 {
        (self.0.len() - self.0.partition_point(|t| *t <= time)) as f64
    }

    fn drop_before(&mut self, time: Micros) {
        self.0.drain(..self.0.partition_point(|t| *t < time));
    }
}

/// This front's retry budget.
#[derive(Default)]
pub struct RetryBudget {
    budget: Option<RetryAllowance>,
    /// The maximum number of attempts of a statement, including its first.
    max_attempts: usize,
    /// Times of admissions within the window.
    admissions: Timestamps,
    /// Times of retries within the window.
    retries: Timestamps,
}

impl RetryBudget {
    /// Creates the budget before any admission.
    pub fn new(agreement: &Agreement) -> Self {
        RetryBudget {
            budget: agreement.retry_allowance,
            max_attempts: agreement.max_attempts,
            ..RetryBudget::default()
        }
    }

    /// Records an admission, which adds to the budget, if there is one.
    pub fn record_admission(&mut self, now: Micros) {
        if self.budget.is_some() {
            self.admissions.0.push_back(now);
        }
    }

    /// Records that a retry was sent.
    pub fn record_retry(&mut self, now: Micros) {
        self.retries.0.push_back(now);
    }

    /// Drops admissions and retries outside the window.
    pub fn prune(&mut self, now: Micros) {
        let window = self.budget.map_or(0, |budget| budget.window);
        self.admissions.drop_before(now - window);
        self.retries.drop_before(now - window);
    }

    /// Whether a statement may be attempted again now.
    pub fn check(&self, request: RetryRequest, now: Micros) -> RetryOutcome {
        if request.sticky {
            RetryOutcome::Sticky
        } else if request.attempts >= self.max_attempts {
            RetryOutcome::AttemptsExhausted
        } else if self.has_budget(now) {
            RetryOutcome::Allowed
        } else {
            RetryOutcome::BudgetSpent
        }
    }

    fn has_budget(&self, now: Micros) -> bool {
        self.budget.is_none_or(|budget| {
            let since = now - budget.window;
            let used = self.retries.count_after(since - 1);
            let earned = budget.ratio * self.admissions.count_after(since);
            used + 1.0 <= (budget.spare + earned).floor()
        })
    }
}

#[cfg(test)]
#[path = "retry_tests.rs"]
mod tests;
