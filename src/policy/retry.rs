//! Retry: may this statement be attempted again?
//!
//! Inputs: the attempts that it has had, whether it is sticky, the time now.
//! Reason: attempts beyond the first add load where engines fail; the settings bound them for each statement and, in
//! any window, against the statements admitted in it.
//! The whole rule for a retry: this one; a safe engine ([`idempotency`]); more than 40 ms left before the deadline
//! ([`deadlines`]); an engine that is trusted ([`outliers`]); and, where they are on, access rules and ledger.
//! Source: the contract's settings (`docs/design.md`, "what may be sent where").
//!
//! [`idempotency`]: super::idempotency
//! [`deadlines`]: super::deadlines
//! [`outliers`]: super::outliers

use std::collections::VecDeque;

use crate::interface::{Agreement, Micros, RejectReason, RetryAllowance};

/// What the rule asks of a statement.
#[derive(Clone, Copy)]
pub struct RetryRequest {
    /// Attempts that it has had.
    pub attempts: usize,
    /// It belongs to an open transaction.
    pub sticky: bool,
}

/// Whether a statement may be attempted again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryOutcome {
    /// It may.
    Allowed,
    /// It belongs to an open transaction and is never attempted twice.
    Sticky,
    /// It has had all attempts that a statement may have.
    AttemptsExhausted,
    /// All retries of this window are used up.
    BudgetSpent,
}

impl RetryOutcome {
    /// Why it may not be attempted again; None where it may.
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

/// The retries of this front within the budget's window.
#[derive(Default)]
pub struct RetryBudget {
    budget: Option<RetryAllowance>,
    /// Attempts that a statement may have, its first included.
    max_attempts: usize,
    /// When statements were admitted, within the window.
    admissions: Timestamps,
    /// When statements were sent again, within the window.
    retries: Timestamps,
}

impl RetryBudget {
    /// Nothing has been admitted yet.
    pub fn new(agreement: &Agreement) -> Self {
        RetryBudget {
            budget: agreement.retry_allowance,
            max_attempts: agreement.max_attempts,
            ..RetryBudget::default()
        }
    }

    /// A statement is admitted: the budget grows where there is one.
    pub fn record_admission(&mut self, now: Micros) {
        if self.budget.is_some() {
            self.admissions.0.push_back(now);
        }
    }

    /// A statement is sent again.
    pub fn record_retry(&mut self, now: Micros) {
        self.retries.0.push_back(now);
    }

    /// Lets go of what is outside the window.
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
