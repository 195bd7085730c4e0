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
            let Some(s) = self.statements.get(&id).filter(|s| !s.over) else {
                continue;
            };
            if s.is_in_flight() {
                self.update_priority(id);
            } else if let Some(reason) = self.expiry_reason(s) {
                self.reject(id, reason);
            } else {
                self.enqueue(id);
            }
        }
    }

    /// What decides whether a held statement ends now.
    pub(super) fn shed_request(&self, s: &Statement) -> ShedRequest {
        ShedRequest {
            timing: self.timing(s),
            late_share: self.workload(s).late_share,
            shares_order_key: self.order_queues.is_shared(s.asked.key),
            sticky_engine_closed: self.sticky_engine_closed(s),
            has_safe_engine: self.has_safe_engine(s),
        }
    }

    /// Why a held statement whose standing has changed ends now, if it does.
    fn expiry_reason(&self, s: &Statement) -> Option<RejectReason> {
        let others_wait = self.queues.any_ready();
        self.shed_request(s)
            .reason_at_expiry(others_wait, self.clock.now)
    }

    /// Why a statement whose attempt ended without a result has none again, if it has none.
    pub(super) fn no_retry_reason(&self, s: &Statement) -> Option<RejectReason> {
        if !self.has_safe_engine(s) {
            return Some(RejectReason::NoSafeEngine);
        }
        let expiring = self.clock.now >= rejected_at(s.deadline);
        self.check_retry(s)
            .reject_reason()
            .or(expiring.then_some(RejectReason::Expiring))
    }

    /// Whether a statement may be attempted again.
    fn check_retry(&self, s: &Statement) -> RetryOutcome {
        let request = RetryRequest {
            attempts: s.attempts.len(),
            sticky: s.asked.pinned.is_some(),
        };
        self.retry_budget.check(request, self.clock.now)
    }

    /// Whether a retry of a statement is allowed.
    pub(super) fn may_retry(&self, s: &Statement) -> bool {
        self.check_retry(s) == RetryOutcome::Allowed
    }

    /// Whether the engine that holds its transaction takes nothing new any more.
    pub(super) fn sticky_engine_closed(&self, s: &Statement) -> bool {
        let is_open = |e: EngineId| self.engines.open.get(e).is_some_and(|open| *open);
        s.asked.pinned.is_some_and(|engine| !is_open(engine))
    }

    /// Cancels an attempt, if its statement may be attempted again in time.
    pub(super) fn cancel_to_retry(&mut self, id: StatementId, number: usize) {
        let s = &self.statements[&id];
        let run = self.estimates.usual_run(s.asked.workload) as Micros;
        let in_time = self.clock.now + run < s.deadline;
        let idempotent = self.workload(s).effect == Effect::Idempotent;
        if idempotent && self.may_retry(s) && in_time && self.agreed.cancel && !s.over {
            self.actions.push(Action::Cancel {
                statement: id,
                execution: number,
            });
        }
    }

    /// Ends a statement without a result: a rejection where trying again is harmless, else an abort.
    pub(super) fn reject(&mut self, id: StatementId, reason: RejectReason) {
        let s = &self.statements[&id];
        let may_have_run = s.may_have_run().next().is_some();
        let (workload, first_try) = (s.asked.workload, s.is_first_try());
        let action = match answer_without_result(self.workload(s), may_have_run) {
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
        let Some(s) = self.statements.get_mut(&id).filter(|s| !s.over) else {
            return;
        };
        s.over = true;
        let (class, key) = (s.class, s.asked.key);
        let unresolved = s.in_flight();
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
        let done = |s: &Statement| s.over && !s.is_in_flight();
        if self.statements.get(&id).is_some_and(done) {
            self.statements.remove(&id);
        }
    }
}
