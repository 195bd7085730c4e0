//! Retries: whether a statement is attempted again, and the cancellation of attempts for a retry.

use crate::interface::{Action, Effect, Micros, RejectReason, StatementId};
use crate::policy::deadlines::rejection_time;
use crate::policy::idempotency::has_safe_engine;
use crate::policy::retry::{RetryOutcome, RetryRequest};
use crate::statement::Statement;

use super::Scheduler;

impl Scheduler {
    /// The reason why a statement whose attempt ended without a result is not retried; `None` if
    /// it may be.
    pub(super) fn retry_denial_reason(&self, statement: &Statement) -> Option<RejectReason> {
        if !self.has_safe_engine(statement) {
            return Some(RejectReason::NoSafeEngine);
        }
        let expiring = self.clock.now >= rejection_time(statement.deadline);
        self.retry_outcome(statement)
            .reject_reason()
            .or(expiring.then_some(RejectReason::Expiring))
    }

    /// Whether attempt limit, stickiness and budget allow a retry. Safety is checked separately,
    /// see `has_safe_engine`.
    fn retry_outcome(&self, statement: &Statement) -> RetryOutcome {
        let request = RetryRequest {
            attempts: statement.attempts.len(),
            sticky: statement.arrival.sticky_engine.is_some(),
        };
        self.retry_budget.check(request, self.clock.now)
    }

    /// Whether `retry_outcome` allows a retry.
    pub(super) fn is_within_retry_limits(&self, statement: &Statement) -> bool {
        self.retry_outcome(statement) == RetryOutcome::Allowed
    }

    /// Whether any engine may run the statement safely, given what earlier attempts may have done.
    /// Without such an engine it would wait in vain.
    pub(super) fn has_safe_engine(&self, statement: &Statement) -> bool {
        has_safe_engine(
            self.workload(statement),
            statement,
            &self.engines.entries,
            self.clock.now,
        )
    }

    /// Cancels an attempt of an idempotent statement if cancelling is agreed, a retry is allowed
    /// and it can end before the deadline.
    pub(super) fn cancel_to_retry(&mut self, id: StatementId, number: usize) {
        let statement = &self.statements[&id];
        let run = self.estimates.mean_run(statement.arrival.workload) as Micros;
        let in_time = self.clock.now + run < statement.deadline;
        let idempotent = self.workload(statement).effect == Effect::Idempotent;
        if idempotent
            && self.is_within_retry_limits(statement)
            && in_time
            && self.agreement.cancel
            && !statement.closed
        {
            self.actions.push(Action::Cancel {
                statement: id,
                execution: number,
            });
        }
    }
}
