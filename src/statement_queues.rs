//! Queues of held statements, and the times at which their urgency may change.

use std::collections::BTreeSet;

use crate::interface::{Micros, StatementId};
use crate::policy::admission::CustomerShare;
use crate::policy::deadlines::Urgency;
use crate::policy::penalty::Conformance;

/// The statements of one workload and customer, within or beyond the customer's share.
#[derive(Default)]
pub struct ServiceClass {
    /// The share of timely answers.
    pub conformance: Conformance,
    /// Held statements that can still be timely.
    pub timely: BTreeSet<StatementId>,
    /// Statements with an attempt in flight.
    pub in_flight: BTreeSet<StatementId>,
}

/// The service classes and the queues of held statements.
#[derive(Default)]
pub struct StatementQueues {
    customers: usize,
    /// The service classes, by index.
    pub classes: Vec<ServiceClass>,
    /// Held statements past their latest start.
    pub overdue: BTreeSet<StatementId>,
    /// Held statements that can no longer be timely.
    pub late: BTreeSet<StatementId>,
    /// Times at which a statement must be checked, as its urgency may change by time alone.
    checks: BTreeSet<(Micros, StatementId)>,
}

impl StatementQueues {
    /// Creates empty queues for the given numbers of workloads and customers.
    pub fn new(workloads: usize, customers: usize) -> Self {
        let customers = customers.max(1);
        let classes = workloads * customers * 2;
        StatementQueues {
            customers,
            classes: (0..classes).map(|_| ServiceClass::default()).collect(),
            ..StatementQueues::default()
        }
    }

    /// The index of a statement's class.
    pub fn class_of(&self, workload: usize, customer: usize, share: CustomerShare) -> usize {
        let customer = customer.min(self.customers - 1);
        (workload * self.customers + customer) * 2 + share.index()
    }

    /// The workload of a class.
    pub fn workload_of(&self, class: usize) -> usize {
        class / 2 / self.customers
    }

    /// Whether the statements of a class are within or beyond their customer's share.
    pub fn share_of(&self, class: usize) -> CustomerShare {
        if class % 2 == 1 {
            CustomerShare::Beyond
        } else {
            CustomerShare::Within
        }
    }

    /// Whether any held statement can still be timely.
    pub fn has_timely(&self) -> bool {
        self.classes.iter().any(|class| !class.timely.is_empty())
    }

    /// Adds a statement to the queue of its urgency.
    pub fn enqueue(&mut self, id: StatementId, class: usize, urgency: Urgency) {
        match urgency {
            Urgency::Overdue => self.overdue.insert(id),
            Urgency::Late => self.late.insert(id),
            Urgency::Timely => self.classes[class].timely.insert(id),
        };
    }

    /// Removes a statement from its queue, if it is in one.
    pub fn dequeue(&mut self, id: StatementId, class: Option<usize>) {
        if let Some(class) = class {
            self.classes[class].timely.remove(&id);
        }
        self.late.remove(&id);
        self.overdue.remove(&id);
    }

    /// Schedules a check of a statement whose urgency may change at `at`.
    pub fn schedule_check(&mut self, at: Micros, id: StatementId) {
        self.checks.insert((at, id));
    }

    /// Removes and returns the next statement whose check is due; `None` if no check is due.
    pub fn next_check(&mut self, now: Micros) -> Option<StatementId> {
        let check = *self.checks.first().filter(|(at, _)| *at <= now)?;
        self.checks.remove(&check);
        Some(check.1)
    }
}
