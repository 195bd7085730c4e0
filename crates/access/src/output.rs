//! What the caller has to do for the rules.

use hallmux_ledger::LedgerRequest;

use crate::event::Event;
use crate::hits::FleetHits;

/// What is to be done.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Output {
    /// Requests to the ledger; each is answered through [`crate::Access::on_ledger_answer`] under its number.
    pub ledger_requests: Vec<LedgerRequest>,
    /// Events for the log, in the order in which they happened.
    pub events: Vec<Event>,
    /// Statements whose hits stand.
    pub counted: Vec<u64>,
    /// Statements for which there is no room within a limit: nothing of them has left, and later there may be.
    pub over_limit: Vec<u64>,
    /// Statements that run where the version adopted bars: they are to be ended, where the platform can.
    pub revoked: Vec<u64>,
    /// The fleet's count, as it was asked for.
    pub fleet_hits: Option<FleetHits>,
}
