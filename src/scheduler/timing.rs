//! Inputs of the rules on a statement's times and on its order key.

use crate::interface::{Micros, StatementId};
use crate::policy::deadlines::{latest_start, slo_time, StatementTiming};
use crate::policy::estimates::estimated_run;
use crate::statement::Statement;

use super::Scheduler;

impl Scheduler {
    /// The time from its first arrival within which an answer to the statement is timely.
    pub(super) fn slo_time(&self, statement: &Statement) -> Micros {
        let work = self
            .estimates
            .expected_work(statement.arrival.workload, statement.arrival.work);
        slo_time(self.workload(statement), work)
    }

    /// The run time that the statement's estimate gives, in microseconds.
    pub(super) fn estimated_run(&self, statement: &Statement) -> f64 {
        estimated_run(statement.arrival.work, self.workload(statement).threads)
    }

    /// The expected run time of the statement, in microseconds.
    pub(super) fn expected_run(&self, statement: &Statement) -> f64 {
        let estimated = self.estimated_run(statement);
        self.estimates
            .expected_run(statement.arrival.workload, estimated)
    }

    /// The times that determine the statement's urgency.
    pub(super) fn timing(&self, statement: &Statement) -> StatementTiming {
        let open = self.engines.open.iter().filter(|open| **open).count();
        StatementTiming {
            first_arrival: statement.first_arrival,
            deadline: statement.deadline,
            slo: self.slo_time(statement),
            expected_run: self.expected_run(statement),
            few_running: self.queues.classes[statement.class].in_flight.len() < open,
        }
    }

    /// The last time at which the statement can be sent and still be answered before its client
    /// stops waiting.
    pub(super) fn latest_start(&self, statement: &Statement) -> Micros {
        latest_start(statement.deadline, self.expected_run(statement))
    }

    /// Whether the statement is first in the order of its key and the key does not pause.
    pub(super) fn is_first_in_order(&self, id: StatementId, statement: &Statement) -> bool {
        let attempted = !statement.attempts.is_empty();
        self.order_queues
            .is_first(statement.arrival.order_key, id, attempted, self.clock.now)
    }
}
