//! Held statements: in which queue each waits, and when its standing changes.

use std::collections::BTreeSet;

use crate::interface::{Micros, StatementId};
use crate::policy::admission::CustomerShare;
use crate::policy::deadlines::Urgency;
use crate::policy::penalty::Conformance;

/// The statements of one workload and customer, inside or beyond the customer's share.
#[derive(Default)]
pub struct ServiceClass {
    /// Its timely share.
    pub conformance: Conformance,
    /// Held statements that can still be in time.
    pub timely: BTreeSet<StatementId>,
    /// Statements with an attempt in flight.
    pub in_flight: BTreeSet<StatementId>,
}

/// All service classes and queues.
#[derive(Default)]
pub struct StatementQueues {
    customers: usize,
    /// The service classes, by place.
    pub classes: Vec<ServiceClass>,
    /// Held statements past their latest start.
    pub overdue: BTreeSet<StatementId>,
    /// Held statements that must be late.
    pub late: BTreeSet<StatementId>,
    /// When a statement's standing changes by time alone.
    checks: BTreeSet<(Micros, StatementId)>,
}

impl StatementQueues {
    /// Empty queues for so many workloads and customers.
    pub fn new(workloads: usize, customers: usize) -> Self {
        let customers = customers.max(1);
        let classes = workloads * customers * 2;
        StatementQueues {
            customers,
            classes: (0..classes).map(|_| ServiceClass::default()).collect(),
            ..StatementQueues::default()
        }
    }

    /// The place of a statement's class.
    pub fn class_of(&self, workload: usize, customer: usize, share: CustomerShare) -> usize {
        let customer = customer.min(self.customers - 1);
        (workload * self.customers + customer) * 2 + share.index()
    }

    /// The workload of a class.
    pub fn workload_of(&self, class: usize) -> usize {
        class / 2 / self.customers
    }

    /// Whether a class is inside or beyond its customer's share.
    pub fn share_of(&self, class: usize) -> CustomerShare {
        if class % 2 == 1 {
            CustomerShare::Beyond
        } else {
            CustomerShare::Within
        }
    }

    /// Whether any held statement can still be in time.
    pub fn has_timely(&self) -> bool {
        self.classes.iter().any(|class| !class.timely.is_empty())
    }

    /// A statement waits by its standing.
    pub fn enqueue(&mut self, id: StatementId, class: usize, urgency: Urgency) {
        match urgency {
            Urgency::Overdue => self.overdue.insert(id),
            Urgency::Late => self.late.insert(id),
            Urgency::Timely => self.classes[class].timely.insert(id),
        };
    }

    /// A statement waits no more.
    pub fn dequeue(&mut self, id: StatementId, class: Option<usize>) {
        if let Some(class) = class {
            self.classes[class].timely.remove(&id);
        }
        self.late.remove(&id);
        self.overdue.remove(&id);
    }

    /// A statement's standing may change at that time.
    pub fn schedule_check(&mut self, at: Micros, id: StatementId) {
        self.checks.insert((at, id));
    }

    /// The next statement whose standing may have changed by now.
    pub fn next_check(&mut self, now: Micros) -> Option<StatementId> {
        let check = *self.checks.first().filter(|(at, _)| *at <= now)?;
        self.checks.remove(&check);
        Some(check.1)
    }
}
