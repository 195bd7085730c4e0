//! Statements that end without a result, and the cancellation of their attempts.

use crate::interface::{Action, EngineId, RejectReason, StatementId};
use crate::policy::idempotency::{answer_without_result, Answer};
use crate::policy::penalty::Timeliness;
use crate::policy::shedding::{retry_after, ShedRequest};
use crate::statement::Statement;

use super::Scheduler;

impl Scheduler {
    /// Checks the statements whose urgency may have changed by time alone.
    pub(super) fn expire(&mut self) {
        while let Some(id) = self.queues.next_check(self.clock.now) {
            let Some(statement) = self
                .statements
                .get(&id)
                .filter(|statement| !statement.closed)
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

    /// The inputs of the shedding rule for a held statement.
    pub(super) fn shed_request(&self, statement: &Statement) -> ShedRequest {
        ShedRequest {
            timing: self.timing(statement),
            late_value_share: self.workload(statement).late_value_share,
            shares_order_key: self.order_queues.is_shared(statement.arrival.order_key),
            sticky_engine_closed: self.sticky_engine_closed(statement),
            has_safe_engine: self.has_safe_engine(statement),
        }
    }

    /// The reason to end a held statement whose urgency has changed; `None` if it stays.
    fn expiry_reason(&self, statement: &Statement) -> Option<RejectReason> {
        let timely_waiting = self.queues.has_timely();
        self.shed_request(statement)
            .reason_at_expiry(timely_waiting, self.clock.now)
    }

    /// Whether the engine of the statement's transaction no longer accepts statements.
    pub(super) fn sticky_engine_closed(&self, statement: &Statement) -> bool {
        let is_open = |engine: EngineId| self.engines.open.get(engine).is_some_and(|open| *open);
        statement
            .arrival
            .sticky_engine
            .is_some_and(|engine| !is_open(engine))
    }

    /// Ends a statement without a result: with a rejection if the client may safely retry,
    /// otherwise with an abort.
    pub(super) fn reject(&mut self, id: StatementId, reason: RejectReason) {
        let statement = &self.statements[&id];
        let may_have_run = statement.may_have_run().next().is_some();
        let (workload, first_client_attempt) = (
            statement.arrival.workload,
            statement.is_first_client_attempt(),
        );
        let action = match answer_without_result(self.workload(statement), may_have_run) {
            Answer::Reject => Action::Reject {
                statement: id,
                retry_after: retry_after(self.random.next(), self.agreement.max_retry_after),
                reason,
            },
            Answer::Abort => Action::Abort {
                statement: id,
                reason,
            },
        };
        self.actions.push(action);
        if first_client_attempt {
            self.client_retries.record_shed_first_attempt(workload);
        }
        self.close(id, Timeliness::NotTimely);
    }

    /// Closes a statement that has its final answer: records it, cancels its attempts in flight
    /// and frees its place in the order of its key.
    pub(super) fn close(&mut self, id: StatementId, timeliness: Timeliness) {
        self.dequeue(id);
        let Some(statement) = self
            .statements
            .get_mut(&id)
            .filter(|statement| !statement.closed)
        else {
            return;
        };
        statement.closed = true;
        let (class, key) = (statement.class, statement.arrival.order_key);
        let unresolved = statement.in_flight_attempts();
        if self.agreement.cancel {
            let cancel = |number: &usize| Action::Cancel {
                statement: id,
                execution: *number,
            };
            self.actions.extend(unresolved.iter().map(cancel));
        }
        self.record_closed(id, class, timeliness);
        self.order_queues.remove(key, id, unresolved.len());
        self.enqueue_first_in_order(key);
        self.remove_if_finished(id);
    }

    /// Counts a closed statement in its class. If the class enters or leaves the top level, the
    /// priorities of its statements in flight are updated.
    fn record_closed(&mut self, id: StatementId, class: usize, timeliness: Timeliness) {
        let counts = &mut self.queues.classes[class];
        counts.in_flight.remove(&id);
        let was_top = counts.conformance.is_top_level();
        counts.conformance.count(timeliness, self.clock.now);
        if counts.conformance.is_top_level() != was_top {
            for other in counts.in_flight.clone() {
                self.update_priority(other);
            }
        }
    }

    /// Removes a statement that is closed and has no attempt in flight.
    pub(super) fn remove_if_finished(&mut self, id: StatementId) {
        let is_finished = |statement: &Statement| statement.closed && !statement.is_in_flight();
        if self.statements.get(&id).is_some_and(is_finished) {
            self.statements.remove(&id);
        }
    }
}
