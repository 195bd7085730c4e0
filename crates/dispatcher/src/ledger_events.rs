//! Statements that need entries in the fleet's ledger. Their arrivals and ends are recorded as
//! events for the component that requests the entries, and a statement that can't get its entry is
//! rejected.

use hallmux::interface::{Effect, Event, Micros, Outcome, Workload};

use crate::request::StatementRequest;
use crate::statements::Statement;
use crate::{Dispatcher, Ending, EngineIndex, Ticket};

/// The fractional part of the golden ratio. The fractions of its consecutive multiples lie far
/// apart, which spreads values derived from consecutive numbers.
const GOLDEN_RATIO: f64 = 0.618_033_988_749_895;

/// An event of a statement that needs a ledger entry. Events are returned in the order in which
/// they happened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LedgerEvent {
    /// A statement that needs a ledger entry was accepted.
    Arrived(StatementArrived),
    /// The transaction of such a statement retains its order key until the key is released.
    KeyRetained(String),
    /// The transaction that retained an order key has ended.
    KeyReleased {
        /// The order key.
        key: String,
        /// Whether the transaction may still run, so that the key pauses.
        may_still_run: bool,
    },
    /// A statement that needs a ledger entry is finished with nothing in flight.
    Finished(StatementFinished),
}

/// The request of an accepted statement that needs a ledger entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StatementArrived {
    /// The statement.
    pub ticket: Ticket,
    /// The name of its workload.
    pub workload: String,
    /// The name of its customer.
    pub customer: String,
    /// Its order key, if any.
    pub key: Option<String>,
    /// The key by which engines recognise its repeats, if any.
    pub dedup_key: Option<String>,
}

/// A statement that needs a ledger entry and is finished with nothing in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StatementFinished {
    /// The statement.
    pub ticket: Ticket,
    /// Whether the statement may have run.
    pub may_have_run: bool,
    /// Whether some execution may still run, so that its order key pauses.
    pub may_still_run: bool,
}

impl StatementFinished {
    pub(crate) fn new(ticket: Ticket, statement: &Statement) -> StatementFinished {
        StatementFinished {
            ticket,
            may_have_run: statement.endings().any(Ending::may_have_run),
            may_still_run: statement.endings().any(may_still_run),
        }
    }
}

fn may_still_run(ending: Ending) -> bool {
    matches!(
        ending.outcome(),
        Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled
    )
}

fn needs_ledger_entry(workload: &Workload, request: &StatementRequest) -> bool {
    let ordered = workload.in_order && request.order_key.is_some();
    ordered || workload.effect != Effect::Idempotent
}

/// The location and cell of an engine, by index in the settings. The indices are the same on every
/// front.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Site {
    /// The index of its location.
    pub location: usize,
    /// The index of its cell, which is a part of the location.
    pub cell: usize,
}

impl Dispatcher {
    /// Starts the recording of events that [`Dispatcher::ledger_events`] returns.
    pub fn enable_ledger_events(&mut self) {
        self.ledger_events_enabled = true;
    }

    /// Removes and returns the events of statements that need ledger entries since the last call;
    /// empty unless [`Dispatcher::enable_ledger_events`] was called.
    pub fn ledger_events(&mut self) -> Vec<LedgerEvent> {
        std::mem::take(&mut self.ledger_events)
    }

    /// Records the arrival of a statement that needs a ledger entry. Returns false if it needs none
    /// or if recording is not enabled.
    pub(crate) fn record_ledger_arrival(
        &mut self,
        ticket: Ticket,
        request: &StatementRequest,
        workload: usize,
    ) -> bool {
        let workload = self.workloads.get(workload);
        let depends = workload.is_some_and(|workload| needs_ledger_entry(workload, request));
        if !self.ledger_events_enabled || !depends {
            return false;
        }
        let arrived = StatementArrived {
            ticket,
            workload: request.workload.to_string(),
            customer: request.customer.to_string(),
            key: request.order_key.map(str::to_string),
            dedup_key: request.dedup_key.map(str::to_string),
        };
        self.ledger_events.push(LedgerEvent::Arrived(arrived));
        true
    }

    /// The location and cell of an engine; the default if there is no such engine.
    pub fn engine_site(&self, engine_index: EngineIndex) -> Site {
        let Some(engine) = self.engines.get(engine_index) else {
            return Site::default();
        };
        Site {
            location: engine.entry.location,
            cell: engine.entry.cell,
        }
    }

    /// Ends a statement that access rules, a ledger entry or a load marker keep from being sent:
    /// all its executions in flight are held in this front. Returns the microseconds after which
    /// its client may try again, or None where the settings allow no such hint. The times are
    /// spread so that clients that were rejected together do not retry together.
    pub fn reject(&mut self, now: Micros, ticket: Ticket) -> Option<Micros> {
        let statement = self.statements.get_mut(&ticket).filter(|s| !s.finished)?;
        statement.finished = true;
        let held: Vec<usize> = statement.in_flight().collect();
        if held.is_empty() {
            self.events.push(Event::StatementWithdrawn(ticket));
            self.remove_if_finished(now, ticket);
        }
        for execution in held {
            self.execution_ended(now, ticket, execution, Ending::Withdrawn, None);
        }
        let max_retry_after = self.max_retry_after?;
        let spread = (f64::from(ticket) * GOLDEN_RATIO).fract();
        Some((max_retry_after as f64 * (0.5 + spread / 2.0)) as Micros)
    }
}

#[cfg(test)]
#[path = "ledger_events_tests.rs"]
mod tests;
