//! What the rules ask of a statement's time and of its order key.

use crate::interface::{Micros, StatementId};
use crate::policy::deadlines::{latest_start, slo_time, StatementTiming};
use crate::policy::estimates::estimated_run;
use crate::statement::Statement;

use super::Scheduler;

impl Scheduler {
    /// The time within which an answer is timely.
    pub(super) fn slo_time(&self, statement: &Statement) -> Micros {
        let work = self
            .estimates
            .expected_work(statement.arrival.workload, statement.arrival.work);
        slo_time(self.workload(statement), work)
    }

    /// The run that its estimate gives, in microseconds.
    pub(super) fn estimated_run(&self, statement: &Statement) -> f64 {
        estimated_run(statement.arrival.work, self.workload(statement).threads)
    }

    /// The run to be expected of it, in microseconds.
    pub(super) fn expected_run(&self, statement: &Statement) -> f64 {
        let estimated = self.estimated_run(statement);
        self.estimates
            .expected_run(statement.arrival.workload, estimated)
    }

    /// What decides how urgent it is.
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

    /// The last moment at which it can still be answered before its client gives up.
    pub(super) fn latest_start(&self, statement: &Statement) -> Micros {
        latest_start(statement.deadline, self.expected_run(statement))
    }

    /// Whether it is its turn among the statements of its order key.
    pub(super) fn is_first_in_order(&self, id: StatementId, statement: &Statement) -> bool {
        let attempted = !statement.attempts.is_empty();
        self.order_queues
            .is_first(statement.arrival.order_key, id, attempted, self.clock.now)
    }
}
