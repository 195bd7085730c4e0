//! The policy rules by which a statement is admitted, sent, retried or rejected. Each module holds
//! one rule with its constants and state. No rule reads the state of another;
//! [`Scheduler`](crate::Scheduler) combines them.

pub(crate) mod admission;
pub(crate) mod client_retries;
pub(crate) mod concurrency_limit;
pub(crate) mod deadlines;
pub(crate) mod estimates;
pub(crate) mod fleet_budget;
pub(crate) mod health_checks;
pub(crate) mod idempotency;
pub(crate) mod load_reports;
pub(crate) mod order_key;
pub(crate) mod outliers;
pub(crate) mod peer_evidence;
pub(crate) mod penalty;
pub(crate) mod ranking;
pub(crate) mod retry;
pub(crate) mod shedding;
pub(crate) mod slow_start;
pub(crate) mod stuck_attempts;

#[cfg(test)]
mod test_support;
