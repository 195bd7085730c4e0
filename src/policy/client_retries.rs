//! Client retries: estimates how long a statement has already waited when it arrives.
//!
//! Inputs: the remaining wait time of its client, in microseconds, and the number of shed first
//! attempts of its workload.
//!
//! A client's retry has less time left than a first attempt, and its SLO time runs from the first
//! attempt. A statement counts as a retry only if a first attempt was shed for it to follow.
//!
//! Source: our extension, `docs/design.md`, "learning".

use crate::interface::Micros;

/// Factor per arrival on the number of shed statements whose clients may still retry.
const SHED_RETRY_DECAY_PER_ARRIVAL: f64 = 0.99;
/// Missing wait time above which an arrival may be a client's retry, in microseconds.
const FIRST_TRY_TOLERANCE: Micros = 20_000;

/// The times of a statement on arrival.
pub struct ArrivalTime {
    /// The remaining time that its client waits.
    pub time_left: Micros,
    /// The time that clients of its workload wait for their first attempt.
    pub statement_timeout: Micros,
    /// The length of this front's stall that has just ended, if any.
    pub stall_duration: Option<Micros>,
}

#[derive(Clone, Default)]
struct WorkloadRetries {
    /// Shed first attempts whose clients may retry.
    shed: f64,
    /// The longest wait time seen on arrival, taken as that of a first attempt.
    max_time_left: Micros,
}

/// The state of client retries, by workload.
#[derive(Default)]
pub struct ClientRetries(Vec<WorkloadRetries>);

impl ClientRetries {
    /// Creates the state before any arrival.
    pub fn new(workloads: usize) -> Self {
        ClientRetries(vec![WorkloadRetries::default(); workloads])
    }

    /// The time for which an arriving statement has already waited.
    pub fn time_waited(&mut self, workload: usize, arrival: &ArrivalTime) -> Micros {
        let known = &mut self.0[workload];
        known.max_time_left = known.max_time_left.max(arrival.time_left);
        let missing_time = known.max_time_left - arrival.time_left;
        let is_retry = missing_time > FIRST_TRY_TOLERANCE && known.shed >= 1.0;
        known.shed = known.shed * SHED_RETRY_DECAY_PER_ARRIVAL - f64::from(u8::from(is_retry));
        // Statements that arrived during a stall have waited in its input; the missing wait time
        // tells how long.
        if arrival
            .stall_duration
            .is_some_and(|stall| missing_time <= stall)
        {
            missing_time
        } else if is_retry {
            (arrival.statement_timeout - arrival.time_left).max(0)
        } else {
            0
        }
    }

    /// Records that a client's first attempt was shed, so that the client may retry.
    pub fn record_shed_first_attempt(&mut self, workload: usize) {
        self.0[workload].shed += 1.0;
    }
}

#[cfg(test)]
#[path = "client_retries_tests.rs"]
mod tests;
