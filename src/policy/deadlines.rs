//! Deadlines and latest start: until when is it worth to send a statement?
//!
//! Inputs: when it first arrived, when its client gives up, its expected run; all times are microseconds.
//! Reason: a statement past its latest start can only answer after its client gave up; one past its last timely start
//! is late and worth less. A run is often longer than usual, so a timely start has twice the usual run left.
//! Source: the paper, section 2.3 (latest start); ours: `docs/design.md`, "Changed, and when each change acts".

use crate::interface::{Micros, Workload};

/// Times the expected run that a start still counts as timely for.
const TIMELY_RUN_FACTOR: f64 = 2.0;
/// Time before its client gives up at which a held statement is rejected.
const REJECT_BEFORE_DEADLINE: Micros = 40_000;

/// What decides how urgent a statement is.
#[derive(Clone, Copy)]
pub struct StatementTiming {
    /// When its first attempt arrived at a front.
    pub first_arrival: Micros,
    /// When its client gives up.
    pub deadline: Micros,
    /// The time within which an answer is timely.
    pub slo: Micros,
    /// Its expected run.
    pub expected_run: f64,
    /// Fewer statements of its class run than engines are open: else a jam's run times would shut the class out.
    pub few_running: bool,
}

/// How a held statement stands at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Urgency {
    /// It can still be answered within its SLO time.
    Timely,
    /// It must be late.
    Late,
    /// It is past its latest start.
    Overdue,
}

impl StatementTiming {
    /// The last moment at which a start still counts as timely. While few run half the SLO time may be waited.
    pub fn last_timely_start(&self) -> Micros {
        let run = (self.expected_run * TIMELY_RUN_FACTOR) as Micros;
        let reserved = if self.few_running {
            run.min(self.slo / 2)
        } else {
            run
        };
        self.first_arrival + self.slo - reserved
    }

    /// The last moment at which it can still be answered before its client gives up.
    pub fn latest_start(&self) -> Micros {
        latest_start(self.deadline, self.expected_run)
    }

    /// How it stands at a time.
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

/// The last moment at which a statement with such an expected run can still be answered before its client gives up.
pub fn latest_start(deadline: Micros, expected_run: f64) -> Micros {
    deadline - expected_run as Micros
}

/// When a held statement is rejected whose client gives up at `deadline`.
pub fn rejection_time(deadline: Micros) -> Micros {
    deadline - REJECT_BEFORE_DEADLINE
}

/// The time within which an answer is timely, for a statement of so much work.
pub fn slo_time(workload: &Workload, expected_work: f64) -> Micros {
    workload.slo_time + (workload.slo_stretch * expected_work / workload.threads) as Micros
}
