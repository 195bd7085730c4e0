//! Statements that depend on promises of the fleet's ledger: their arrivals and ends are events for whoever asks for
//! the promises, and what can't have its promise is rejected.

use hallmux::interface::{Effect, Event, Micros, Outcome, Workload};

use crate::request::StatementRequest;
use crate::statements::Statement;
use crate::{Dispatcher, Ending, Place, Ticket};

/// Neighbouring multiples of the golden ratio's fraction lie far apart: it spreads whatever is numbered in a row.
const GOLDEN_RATIO: f64 = 0.618_033_988_749_895;

/// What happens to statements that depend on promises, in the order in which it happened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PromiseEvent {
    /// Such a statement was taken.
    Arrived(StatementArrived),
    /// The transaction of such a statement keeps its order key, until it is freed.
    KeyKept(String),
    /// The transaction that kept an order key is over.
    KeyFreed {
        /// The order key.
        key: String,
        /// The transaction may still run: the key pauses.
        may_still_run: bool,
    },
    /// Such a statement is over.
    Over(StatementOver),
}

/// A statement that depends on promises, as it was asked for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StatementArrived {
    /// The statement.
    pub ticket: Ticket,
    /// The name of its workload.
    pub workload: String,
    /// The name of its customer.
    pub customer: String,
    /// Its order key.
    pub key: Option<String>,
    /// The key by which engines recognise its repeats.
    pub dedup_key: Option<String>,
}

/// A statement that depends on promises is over with nothing in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StatementOver {
    /// The statement.
    pub ticket: Ticket,
    /// It may have run.
    pub may_have_run: bool,
    /// Some execution of it may still run: its order key pauses.
    pub may_still_run: bool,
}

impl StatementOver {
    pub(crate) fn new(ticket: Ticket, statement: &Statement) -> StatementOver {
        StatementOver {
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

fn depends_on_promises(workload: &Workload, request: &StatementRequest) -> bool {
    let ordered = workload.in_order && request.order_key.is_some();
    ordered || workload.effect != Effect::Idempotent
}

/// Where an engine is, by index in the settings: the same on every front.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Site {
    /// The index of its location.
    pub location: usize,
    /// Its cell, a part of the location.
    pub cell: usize,
}

impl Dispatcher {
    /// From now on [`Dispatcher::promise_events`] returns what happens to statements that depend on promises.
    pub fn watch_promises(&mut self) {
        self.watches_promises = true;
    }

    /// What has happened to statements that depend on promises since the last call.
    pub fn promise_events(&mut self) -> Vec<PromiseEvent> {
        std::mem::take(&mut self.promise_events)
    }

    /// Adds the event of an arrival, if the statement depends on promises. Returns whether it does.
    pub(crate) fn announce_arrival(
        &mut self,
        ticket: Ticket,
        request: &StatementRequest,
        workload: usize,
    ) -> bool {
        let workload = self.workloads.get(workload);
        let depends = workload.is_some_and(|workload| depends_on_promises(workload, request));
        if !self.watches_promises || !depends {
            return false;
        }
        let arrived = StatementArrived {
            ticket,
            workload: request.workload.to_string(),
            customer: request.customer.to_string(),
            key: request.order_key.map(str::to_string),
            dedup_key: request.dedup_key.map(str::to_string),
        };
        self.promise_events.push(PromiseEvent::Arrived(arrived));
        true
    }

    /// Where an engine is; the default where there is no such engine.
    pub fn site(&self, place: Place) -> Site {
        let Some(engine) = self.engines.get(place) else {
            return Site::default();
        };
        Site {
            location: engine.entry.location,
            cell: engine.entry.cell,
        }
    }

    /// Ends a statement that access rules, the ledger or a load's mark keep from leaving: nothing of it is in flight
    /// but what is held here. Returns
    /// the microseconds after which its client may try again, where a time may be named: spread, so that clients
    /// rejected together do not come back together.
    pub fn reject(&mut self, now: Micros, ticket: Ticket) -> Option<Micros> {
        let statement = self.statements.get_mut(&ticket).filter(|s| !s.over)?;
        statement.over = true;
        let held: Vec<usize> = statement.in_flight().collect();
        if held.is_empty() {
            self.events.push(Event::StatementWithdrawn(ticket));
            self.forget(now, ticket);
        }
        for execution in held {
            self.report(now, ticket, execution, Ending::Withdrawn, None);
        }
        let longest = self.max_retry_after?;
        let spread = (f64::from(ticket) * GOLDEN_RATIO).fract();
        Some((longest as f64 * (0.5 + spread / 2.0)) as Micros)
    }
}

#[cfg(test)]
#[path = "promises_tests.rs"]
mod tests;
