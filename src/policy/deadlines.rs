//! Deadlines and latest start: until when it is useful to send a statement.
//!
//! Inputs: the first arrival, the deadline and the expected run time, in microseconds.
//!
//! A statement sent after its latest start is answered only after its client stopped waiting. One
//! sent after its last timely start is late and worth less. As runs often exceed the expected
//! time, a timely start leaves twice the expected run time.
//!
//! Source: the paper, section 2.3 (latest start); changes: `docs/design.md`, "Changed, and when
//! each change acts".

use crate::interface::{Micros, Workload};

/// Multiple of the expected run time that must remain within the SLO time for a timely start.
const TIMELY_RUN_FACTOR: f64 = 2.0;
/// Time before its deadline at which a held statement is rejected.
const REJECT_BEFORE_DEADLINE: Micros = 40_000;

/// The times that determine a statement's urgency.
#[derive(Clone, Copy)]
pub struct StatementTiming {
    /// When the client's first attempt arrived at a front.
    pub first_arrival: Micros,
    /// When the client stops waiting.
    pub deadline: Micros,
    /// The time from the first arrival within which an answer is timely.
    pub slo: Micros,
    /// The expected run time, in microseconds.
    pub expected_run: f64,
    /// Whether fewer statements of its class run than engines are open. This case prevents run
    /// times learned in an overload from shutting the class out.
    pub few_running: bool,
}

/// The urgency of a held statement at a point in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Urgency {
    /// The statement can still be answered within its SLO time.
    Timely,
    /// The statement can no longer be answered within its SLO time.
    Late,
    /// The statement is past its latest start.
    Overdue,
}

impl StatementTiming {
    /// The last time at which a start counts as timely. While few statements of the class run, at
    /// least half of the SLO time may be spent waiting.
    pub fn last_timely_start(&self) -> Micros {
        let run = (self.expected_run * TIMELY_RUN_FACTOR) as Micros;
        let reserved = if self.few_running {
            run.min(self.slo / 2)
        } else {
            run
        };
        self.first_arrival + self.slo - reserved
    }

    /// The last time at which the statement can be sent and still be answered before its deadline.
    pub fn latest_start(&self) -> Micros {
        latest_start(self.deadline, self.expected_run)
    }

    /// The urgency at the time `now`.
    pub fn urgency(&self, now: Micros) -> Urgency {
        if now >= self.latest_start() {
            Urgency::Overdue
        } else if now >= self.last_timely_start() {
            Urgency::Late
        } else {
            Urgency::Timely
        }
    }
}

/// The last time at which a statement with the given expected run time can be sent and still be
/// answered before its deadline.
pub fn latest_start(deadline: Micros, expected_run: f64) -> Micros {
    deadline - expected_run as Micros
}

/// When a held statement with the given deadline is rejected.
pub fn rejection_time(deadline: Micros) -> Micros {
    deadline - REJECT_BEFORE_DEADLINE
}

/// The SLO time of a statement with the given expected work.
pub fn slo_time(workload: &Workload, expected_work: f64) -> Micros {
    workload.slo_time + (workload.slo_stretch * expected_work / workload.threads) as Micros
}
