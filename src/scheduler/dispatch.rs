//! Dispatch of held statements: their order, and how one is sent.

use std::cmp::Reverse;
use std::collections::BTreeSet;

use crate::engine_table::AttemptId;
use crate::interface::{Action, EngineId, KeyId, RejectReason, StatementId};
use crate::policy::deadlines::rejection_time;
use crate::policy::estimates::Estimates;
use crate::policy::penalty::penalty;
use crate::statement::{Attempt, Statement};

use super::Scheduler;

/// Statements tried per class, and per queue of overdue and late statements. Those further back
/// mostly need as much capacity.
const MAX_CANDIDATES_PER_CLASS: usize = 8;
/// Priority of a statement past its latest start.
const PRIORITY_OVERDUE: u8 = 3;
/// Priority of a class below the top level.
const PRIORITY_BELOW_TOP: u8 = 2;
/// Priority of a class in the top level.
const PRIORITY_TOP: u8 = 0;

/// A service class and its penalty. The class may have no held statements.
struct WaitingClass {
    penalty: f64,
    class: usize,
}

/// The first held statements of a queue, in the order of arrival.
fn candidates(held: &BTreeSet<StatementId>) -> Vec<StatementId> {
    held.iter()
        .copied()
        .take(MAX_CANDIDATES_PER_CLASS)
        .collect()
}

impl Scheduler {
    /// Sends held statements: first those past their latest start, then timely ones by penalty,
    /// then late ones if no timely one is held.
    pub(super) fn dispatch(&mut self) {
        self.dispatch_overdue();
        self.dispatch_by_penalty();
        if !self.queues.has_timely() {
            for id in candidates(&self.queues.late) {
                self.try_dispatch(id);
            }
        }
    }

    /// Sends or rejects each overdue statement. If sent later, it would be answered after its
    /// client stops waiting.
    fn dispatch_overdue(&mut self) {
        let overdue = candidates(&self.queues.overdue);
        let unplaced: Vec<StatementId> = overdue
            .into_iter()
            .filter(|id| !self.try_dispatch(*id))
            .collect();
        for id in unplaced {
            self.reject(id, RejectReason::NoCapacityAtLatestStart);
        }
    }

    /// Sends timely statements by their class's penalty; ties are resolved by arrival.
    fn dispatch_by_penalty(&mut self) {
        let mut waiting = self.classes_by_penalty();
        while let Some(class) = self.most_urgent(&waiting) {
            let sent = candidates(&self.queues.classes[class].timely)
                .into_iter()
                .any(|id| self.try_dispatch(id));
            if !sent || self.queues.classes[class].timely.is_empty() {
                waiting.retain(|waiting| waiting.class != class);
            }
        }
    }

    fn classes_by_penalty(&mut self) -> Vec<WaitingClass> {
        let mut waiting = Vec::new();
        for class in 0..self.queues.classes.len() {
            let conformance = &mut self.queues.classes[class].conformance;
            conformance.decay(self.clock.now);
            let conformance = conformance.share();
            let workload = self.queues.workload_of(class);
            let weight = self.class_weight(workload, self.queues.share_of(class));
            let penalty = penalty(conformance, weight);
            waiting.push(WaitingClass { penalty, class });
        }
        waiting
    }

    /// The class with the highest penalty; of equal ones the one whose first statement arrived
    /// earliest.
    fn most_urgent(&self, waiting: &[WaitingClass]) -> Option<usize> {
        let oldest = |class: usize| Reverse(self.queues.classes[class].timely.first().copied());
        let by_urgency = |a: &&WaitingClass, b: &&WaitingClass| {
            let by_penalty = a.penalty.total_cmp(&b.penalty);
            by_penalty.then(oldest(a.class).cmp(&oldest(b.class)))
        };
        let first = waiting.iter().max_by(by_urgency);
        first.map(|waiting| waiting.class)
    }

    /// Sends a statement if an eligible engine has capacity. Returns whether it was sent.
    fn try_dispatch(&mut self, id: StatementId) -> bool {
        let Some(engine) = self.choose_engine(id) else {
            return false;
        };
        self.send(id, engine);
        true
    }

    /// Sends a statement to an engine and records the attempt.
    fn send(&mut self, id: StatementId, engine: EngineId) {
        self.dequeue(id);
        self.placement_start = self.random.next();
        let now = self.clock.now;
        let priority = self.priority(id);
        let statement = &self.statements[&id];
        let (class, load) = (statement.class, statement.load);
        let latest_start = self.latest_start(statement);
        let slow_start = self.check_slow_start(engine, statement);
        self.slow_start.record_sent(engine, slow_start, now);
        self.push_execution(id, engine, priority);
        let Some(statement) = self.statements.get_mut(&id) else {
            return;
        };
        let number = statement.attempts.len();
        if number > 0 {
            self.retry_budget.record_retry(now);
        }
        let attempt = AttemptId {
            statement: id,
            number,
        };
        self.engines.add(engine, attempt, load);
        statement.priority = priority;
        statement.attempts.push(Attempt {
            engine,
            sent_at: now,
            last_seen: now,
            ..Attempt::default()
        });
        self.queues.classes[class].in_flight.insert(id);
        self.queues.schedule_check(latest_start.max(now + 1), id);
    }

    /// Adds the actions that send a statement.
    fn push_execution(&mut self, id: StatementId, engine: EngineId, priority: u8) {
        let grant_mb = self.memory_grant(&self.statements[&id], engine);
        if self.agreement.priorities || grant_mb > 0.0 {
            self.actions.push(Action::SetResources {
                statement: id,
                grant_mb,
                priority,
            });
        }
        self.actions.push(Action::Execute {
            statement: id,
            engine,
        });
    }

    /// The memory that an engine should grant, in MB; 0 leaves the amount to the engine.
    fn memory_grant(&self, statement: &Statement, engine: EngineId) -> f64 {
        let max_grant = self.engines.size[engine].memory * self.agreement.max_grant_share;
        if self.agreement.grants && statement.arrival.memory_mb > 0.0 {
            Estimates::memory_grant(statement.load.memory, max_grant)
        } else {
            0.0
        }
    }

    fn priority(&self, id: StatementId) -> u8 {
        let statement = &self.statements[&id];
        if self.clock.now >= self.latest_start(statement) {
            PRIORITY_OVERDUE
        } else if self.queues.classes[statement.class]
            .conformance
            .is_top_level()
        {
            PRIORITY_TOP
        } else {
            PRIORITY_BELOW_TOP
        }
    }

    /// Sends the priority of a statement in flight to its engine if it has changed.
    pub(super) fn update_priority(&mut self, id: StatementId) {
        let priority = self.priority(id);
        let Some(statement) = self
            .statements
            .get_mut(&id)
            .filter(|statement| !statement.closed)
        else {
            return;
        };
        if statement.priority != priority && self.agreement.priorities {
            statement.priority = priority;
            self.actions.push(Action::SetResources {
                statement: id,
                grant_mb: 0.0,
                priority,
            });
        }
    }

    /// Puts a held statement into the queue of its urgency if it is first in the order of its key,
    /// and schedules its next check.
    pub(super) fn enqueue(&mut self, id: StatementId) {
        let is_held = |statement: &&Statement| !statement.closed && !statement.is_in_flight();
        let Some(statement) = self.statements.get(&id).filter(is_held) else {
            return;
        };
        let now = self.clock.now;
        let (class, request) = (statement.class, self.shed_request(statement));
        let timing = request.timing;
        let is_first = self.is_first_in_order(id, statement);
        // A statement to be shed is checked at once, any other when its urgency changes next.
        let rejection = match request.reason(now) {
            Some(_) => now,
            None => rejection_time(statement.deadline),
        };
        let first_sent = statement.attempts.first().map(|attempt| attempt.sent_at);
        let window_end = first_sent.map_or(0, |sent| sent + self.workload(statement).dedup_window);
        let paused_until = self.order_queues.paused_until(statement.arrival.order_key);
        let check_times = [
            timing.last_timely_start(),
            timing.latest_start(),
            paused_until,
            window_end,
        ];
        let next = check_times.into_iter().filter(|at| *at > now).min();
        self.queues
            .schedule_check(next.map_or(rejection, |at| at.min(rejection)), id);
        self.dequeue(id);
        if is_first {
            self.queues.enqueue(id, class, timing.urgency(now));
        }
    }

    /// Removes a statement from its queue.
    pub(super) fn dequeue(&mut self, id: StatementId) {
        let class = self.statements.get(&id).map(|statement| statement.class);
        self.queues.dequeue(id, class);
    }

    /// Puts the first statement of an order key into its queue.
    pub(super) fn enqueue_first_in_order(&mut self, key: Option<KeyId>) {
        if let Some(next) = self.order_queues.first(key, self.clock.now) {
            self.enqueue(next);
        }
    }
}
