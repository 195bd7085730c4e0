//! Drives the ledger barrier of a front: passes events, requests and answers between the dispatcher, the
//! barrier and the ledger until none is left.

use std::collections::BTreeMap;

use hallmux_config::Settings;
use hallmux_dispatcher::{Dispatcher, EngineIndex, Micros, Terms, Ticket};
use hallmux_ledger::{LedgerAnswer, LedgerRequest};

use super::{BarrierDecision, LedgerBarrier, PendingExecution, REQUEST_NUMBER_BASE};

/// Microseconds between reports to the dispatcher of the executions that are still held.
const HELD_REPORT_INTERVAL: Micros = 100_000;

/// The front's connection to its ledger.
pub trait LedgerClient {
    /// Submits a request to the ledger at time `now` on the dispatcher's clock.
    fn submit(&mut self, now: Micros, request: LedgerRequest);
    /// Removes and returns the answers to requests whose numbers have the same highest byte as `part`.
    fn take_answers(&mut self, part: u64) -> Vec<LedgerAnswer>;
}

/// An execution as ordered by the dispatcher.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OrderedExecution {
    /// The statement that the execution belongs to.
    pub ticket: Ticket,
    /// The number of the execution among those of its statement.
    pub execution: usize,
    /// The engine that the execution is for.
    pub place: EngineIndex,
    /// The deadline and priority of the execution.
    pub terms: Terms,
}

/// The ledger barrier of one front together with the state for reporting held executions to the dispatcher.
pub struct BarrierDriver {
    barrier: LedgerBarrier,
    last_held_report: Micros,
}

impl BarrierDriver {
    /// Creates the driver for a front that uses a ledger of `shards` shards and starts at `now`, Unix time in
    /// microseconds. Makes the dispatcher record the events that the barrier needs.
    pub fn new(
        settings: &Settings,
        now: Micros,
        shards: u16,
        dispatcher: &mut Dispatcher,
    ) -> BarrierDriver {
        dispatcher.enable_ledger_events();
        BarrierDriver {
            barrier: LedgerBarrier::new(settings, (now / 1000) as u64, shards),
            last_held_report: 0,
        }
    }

    /// When `advance` is next due on the dispatcher's clock if no event or answer arrives earlier.
    pub fn due(&self) -> Micros {
        let next_held_report = if self.barrier.held().next().is_some() {
            self.last_held_report + HELD_REPORT_INTERVAL
        } else {
            Micros::MAX
        };
        self.barrier.due().min(next_held_report)
    }

    /// Whether all ledger requests have been answered.
    pub fn is_idle(&self) -> bool {
        self.barrier.is_idle()
    }

    /// The number of statements rejected or aborted, by reason.
    pub fn refused(&self) -> &BTreeMap<&'static str, u64> {
        &self.barrier.refused
    }

    /// Holds an execution that the dispatcher has ordered, if its statement requires ledger entries. Returns
    /// whether the execution is held.
    pub fn hold(
        &mut self,
        now: Micros,
        dispatcher: &mut Dispatcher,
        ordered: OrderedExecution,
    ) -> bool {
        if !self.barrier.requires_entries(ordered.ticket) {
            return false;
        }
        let pending = PendingExecution {
            ticket: ordered.ticket,
            execution: ordered.execution,
            place: ordered.place,
            terms: ordered.terms,
            site: dispatcher.engine_site(ordered.place),
        };
        dispatcher.execution_held(now, ordered.ticket, ordered.execution);
        self.barrier.hold(now, pending);
        true
    }

    /// Changes the priority of a statement's held execution, if there is one.
    pub fn set_priority(&mut self, ticket: Ticket, priority: u8) {
        self.barrier.set_priority(ticket, priority);
    }

    /// Cancels an execution. Returns true if the execution was held, so it was never sent.
    pub fn cancel(&mut self, now: Micros, ticket: Ticket, execution: usize) -> bool {
        self.barrier.cancel(now, ticket, execution)
    }

    /// Passes the dispatcher's events and the ledger's answers to the barrier, and returns the decisions that
    /// follow. `id` returns the statement id that the client uses on every front where it retries a statement.
    pub fn advance(
        &mut self,
        now: Micros,
        dispatcher: &mut Dispatcher,
        ledger: &mut impl LedgerClient,
        id: impl Fn(Ticket) -> Option<String>,
    ) -> Vec<BarrierDecision> {
        for event in dispatcher.ledger_events() {
            self.barrier.observe(now, event, &id);
        }
        self.barrier.tick(now);
        loop {
            let answers = ledger.take_answers(REQUEST_NUMBER_BASE);
            let asks = self.barrier.take_requests();
            if answers.is_empty() && asks.is_empty() {
                break;
            }
            for answer in answers {
                self.barrier.handle_answer(now, answer);
            }
            for ask in asks {
                ledger.submit(now, ask);
            }
        }
        if self.last_held_report + HELD_REPORT_INTERVAL <= now {
            self.last_held_report = now;
            for held in self.barrier.held() {
                dispatcher.execution_held(now, held.ticket, held.execution);
            }
        }
        self.barrier.take_decisions()
    }
}
