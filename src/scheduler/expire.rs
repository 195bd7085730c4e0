//! Statements that end without a result, and attempts that are cancelled.

use crate::interface::{Action, Effect, EngineId, Micros, RejectReason, StatementId};
use crate::policy::deadlines::rejected_at;
use crate::policy::idempotency::{answer_without_result, Answer};
use crate::policy::retry::{RetryOutcome, RetryRequest};
use crate::policy::shedding::{retry_after, ShedRequest};
use crate::statement::Statement;

use super::Scheduler;

impl Scheduler {
    /// Looks at the statements whose standing may have changed by time alone.
    pub(super) fn expire(&mut self) {
        while let Some(id) = self.queues.next_due(self.clock.now) {
            let Some(statement) = self.statements.get(&id).filter(|statement| !statement.over)
            else {
                continue;
            };
            if statement.is_in_flight() {
                self.update_priority(id);
            } else if let Some(reason) = self.expiry_reason(statement) {
                self.reject(id, reason);
            } else {
                self.enqueue(id);
            }
        }
    }

    /// What decides whether a held statement ends now.
    pub(super) fn shed_request(&self, statement: &Statement) -> ShedRequest {
        ShedRequest {
            timing: self.timing(statement),
            late_share: self.workload(statement).late_share,
            shares_order_key: self.order_queues.is_shared(statement.asked.order_key),
            sticky_engine_closed: self.sticky_engine_closed(statement),
            has_safe_engine: self.has_safe_engine(statement),
        }
    }

    /// Why a held statement whose standing has changed ends now, if it does.
    fn expiry_reason(&self, statement: &Statement) -> Option<RejectReason> {
        let others_wait = self.queues.any_ready();
        self.shed_request(statement)
            .reason_at_expiry(others_wait, self.clock.now)
    }

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

    /// Whether the engine that holds its transaction takes nothing new any more.
    pub(super) fn sticky_engine_closed(&self, statement: &Statement) -> bool {
        let is_open = |engine: EngineId| self.engines.open.get(engine).is_some_and(|open| *open);
        statement
            .asked
            .sticky_engine
            .is_some_and(|engine| !is_open(engine))
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

    /// Ends a statement without a result: a rejection where trying again is harmless, else an abort.
    pub(super) fn reject(&mut self, id: StatementId, reason: RejectReason) {
        let statement = &self.statements[&id];
        let may_have_run = statement.may_have_run().next().is_some();
        let (workload, first_try) = (statement.asked.workload, statement.is_first_try());
        let action = match answer_without_result(self.workload(statement), may_have_run) {
            Answer::Reject => Action::Reject {
                statement: id,
                retry_after: retry_after(self.random.next(), self.agreed.longest_retry_after),
                reason,
            },
            Answer::Abort => Action::Abort {
                statement: id,
                reason,
            },
        };
        self.actions.push(action);
        self.client_retries.shed(workload, first_try);
        self.close(id, false);
    }

    /// Counts a statement that is over, and lets go of all it holds but attempts still in flight.
    pub(super) fn close(&mut self, id: StatementId, timely: bool) {
        self.dequeue(id);
        let Some(statement) = self
            .statements
            .get_mut(&id)
            .filter(|statement| !statement.over)
        else {
            return;
        };
        statement.over = true;
        let (class, key) = (statement.class, statement.asked.order_key);
        let unresolved = statement.in_flight();
        if self.agreed.cancel {
            let cancel = |number: &usize| Action::Cancel {
                statement: id,
                execution: *number,
            };
            self.actions.extend(unresolved.iter().map(cancel));
        }
        self.count_closed(id, class, timely);
        self.order_queues.remove(key, id, unresolved.len());
        self.enqueue_first_in_order(key);
        self.forget(id);
    }

    /// Counts a statement that is over in its class; a change of level changes priorities.
    fn count_closed(&mut self, id: StatementId, class: usize, timely: bool) {
        let counts = &mut self.queues.classes[class];
        counts.in_flight.remove(&id);
        let was_top = counts.conformance.is_top_level();
        counts.conformance.count(timely, self.clock.now);
        if counts.conformance.is_top_level() != was_top {
            for other in counts.in_flight.clone() {
                self.update_priority(other);
            }
        }
    }

    /// Lets go of a statement that is over with nothing in flight.
    pub(super) fn forget(&mut self, id: StatementId) {
        let done = |statement: &Statement| statement.over && !statement.is_in_flight();
        if self.statements.get(&id).is_some_and(done) {
            self.statements.remove(&id);
        }
    }
}
