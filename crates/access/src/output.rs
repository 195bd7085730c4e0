//! The work that the access rules hand to their caller.

use hallmux_ledger::LedgerRequest;

use crate::event::Event;
use crate::hits::FleetHits;

/// Ledger requests, log events and statement outcomes since the last call.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Output {
    /// Requests to the ledger; the caller passes each answer to [`crate::Access::on_ledger_answer`]
    /// with the request's number.
    pub ledger_requests: Vec<LedgerRequest>,
    /// Events for the log, in the order in which they happened.
    pub events: Vec<Event>,
    /// Statements whose hits are replicated in the ledger.
    pub counted: Vec<u64>,
    /// Statements rejected because a limit has no capacity left. None of their executions has been
    /// sent, so they may be retried later.
    pub over_limit: Vec<u64>,
    /// Statements running at a location that the newly adopted version bars. The caller ends them
    /// if the platform can.
    pub revoked: Vec<u64>,
    /// The fleet's hit counts, if they were requested and are now complete.
    pub fleet_hits: Option<FleetHits>,
}
