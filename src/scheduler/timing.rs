//! What the rules ask of a statement's time and of its order key.

use crate::interface::{Micros, StatementId};
use crate::policy::deadlines::{latest_start, slo_time, StatementTiming};
use crate::policy::estimates::estimated_run;
use crate::statement::Statement;

use super::Scheduler;

impl Scheduler {
    /// The time within which an answer is timely.
    pub(super) fn slo_time(&self, s: &Statement) -> Micros {
        let work = self.estimates.expected_work(s.asked.workload, s.asked.work);
        slo_time(self.workload(s), work)
    }

    /// The run that its estimate gives, in microseconds.
    pub(super) fn estimated_run(&self, s: &Statement) -> f64 {
        estimated_run(s.asked.work, self.workload(s).threads)
    }

    /// The run to be expected of it, in microseconds.
    pub(super) fn expected_run(&self, s: &Statement) -> f64 {
        let estimated = self.estimated_run(s);
        self.estimates.expected_run(s.asked.workload, estimated)
    }

    /// What decides how urgent it is.
    pub(super) fn timing(&self, s: &Statement) -> StatementTiming {
        let open = self.engines.open.iter().filter(|open| **open).count();
        StatementTiming {
            first_arrival: s.first_arrival,
            deadline: s.deadline,
            slo: self.slo_time(s),
            expected_run: self.expected_run(s),
            few_running: self.queues.classes[s.class].in_flight.len() < open,
        }
    }

    /// The last moment at which it can still be answered before its client gives up.
    pub(super) fn latest_start(&self, s: &Statement) -> Micros {
        latest_start(s.deadline, self.expected_run(s))
    }

    /// Whether it is its turn among the statements of its order key.
    pub(super) fn is_first_in_order(&self, id: StatementId, s: &Statement) -> bool {
        let attempted = !s.attempts.is_empty();
        self.order_queues
            .is_first(s.asked.key, id, attempted, self.clock.now)
    }
}
