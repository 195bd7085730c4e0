//! Client retries: for how long has a statement been waiting when it arrives?
//!
//! Inputs: the time that its client still waits, in microseconds, how many of its workload were shed before.
//! Reason: a client's later attempt has less time left than a first one, and its SLO time runs from the first. It counts
//! as a later one only where as many first ones were shed.
//! Source: our extension, `docs/design.md`, "learning".

use crate::interface::Micros;

/// Share of those shed that may still come back, at each arrival.
const SHED_RETRY_DECAY_PER_ARRIVAL: f64 = 0.99;
/// Microseconds less time than a first attempt has that mark a later one.
const FIRST_TRY_TOLERANCE: Micros = 20_000;

/// A statement as it arrives.
pub struct ArrivalTime {
    /// The time that its client still waits.
    pub time_left: Micros,
    /// The time that clients of its workload wait for a first attempt.
    pub statement_timeout: Micros,
    /// The time for which this front stood still just now, if it did.
    pub stall_duration: Option<Micros>,
}

#[derive(Clone, Default)]
struct WorkloadRetries {
    /// First attempts shed whose clients may come back.
    shed: f64,
    /// The most time that a statement had left on arrival: what a first attempt gets.
    max_time_left: Micros,
}

/// What is known of clients that come back, by workload.
#[derive(Default)]
pub struct ClientRetries(Vec<WorkloadRetries>);

impl ClientRetries {
    /// Nothing has arrived yet.
    pub fn new(workloads: usize) -> Self {
        ClientRetries(vec![WorkloadRetries::default(); workloads])
    }

    /// The time for which a statement has been waiting when it arrives.
    pub fn time_waited(&mut self, workload: usize, arrival: &ArrivalTime) -> Micros {
        let known = &mut self.0[workload];
        known.max_time_left = known.max_time_left.max(arrival.time_left);
        let missing_time = known.max_time_left - arrival.time_left;
        let is_retry = missing_time > FIRST_TRY_TOLERANCE && known.shed >= 1.0;
        known.shed = known.shed * SHED_RETRY_DECAY_PER_ARRIVAL - f64::from(u8::from(is_retry));
        // What a front that stood still finds has waited; what first attempts have left tells how long.
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

    /// A client's first attempt was shed; the client may come back.
    pub fn record_shed_first_attempt(&mut self, workload: usize) {
        self.0[workload].shed += 1.0;
    }
}

#[cfg(test)]
#[path = "client_retries_tests.rs"]
mod tests;
