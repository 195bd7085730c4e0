//! Whether a statement is attempted again, and attempts that are cancelled for it.

use crate::interface::{Action, Effect, Micros, RejectReason, StatementId};
use crate::policy::deadlines::rejected_at;
use crate::policy::idempotency::has_safe_engine;
use crate::policy::retry::{RetryOutcome, RetryRequest};
use crate::statement::Statement;

use super::Scheduler;

impl Scheduler {
    /// Why a statement whose attempt ended without a result has none again, if it has none.
    pub(super) fn no_retry_reason(&self, statement: &Statement) -> Option<RejectReason> {
        if !self.has_safe_engine(statement) {
            return Some(RejectReason::NoSafeEngine);
        }
        let expiring = self.clock.now >= rejected_at(statement.deadline);
        self.check_retry(statement)
            .reject_reason()
            .or(expiring.then_some(RejectReason::Expiring))
    }

    /// Whether a statement may be attempted again.
    fn check_retry(&self, statement: &Statement) -> RetryOutcome {
        let request = RetryRequest {
            attempts: statement.attempts.len(),
            sticky: statement.asked.sticky_engine.is_some(),
        };
        self.retry_budget.check(request, self.clock.now)
    }

    /// Whether a retry of a statement is allowed.
    pub(super) fn may_retry(&self, statement: &Statement) -> bool {
        self.check_retry(statement) == RetryOutcome::Allowed
    }

    /// Whether any engine may have it by what earlier attempts may have done: else it waits in vain.
    pub(super) fn has_safe_engine(&self, statement: &Statement) -> bool {
        has_safe_engine(
            self.workload(statement),
            statement,
            &self.engines.listed,
            self.clock.now,
        )
    }

    /// Cancels an attempt, if its statement may be attempted again in time.
    pub(super) fn cancel_to_retry(&mut self, id: StatementId, number: usize) {
        let statement = &self.statements[&id];
        let run = self.estimates.usual_run(statement.asked.workload) as Micros;
        let in_time = self.clock.now + run < statement.deadline;
        let idempotent = self.workload(statement).effect == Effect::Idempotent;
        if idempotent
            && self.may_retry(statement)
            && in_time
            && self.agreed.cancel
            && !statement.over
        {
            self.actions.push(Action::Cancel {
                statement: id,
                execution: number,
            });
        }
    }
}
