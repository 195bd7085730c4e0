//! Runs the gate between a front's dispatcher and its ledger: passes events, requests and answers on until
//! nothing is new.

use std::collections::BTreeMap;

use hallmux_config::Settings;
use hallmux_dispatcher::{Dispatcher, EngineIndex, Micros, Terms, Ticket};
use hallmux_ledger::{LedgerAnswer, LedgerRequest};

use super::{Gate, PendingExecution, Ruling, REQUEST_NUMBER_BASE};

/// Microseconds between notes to the dispatcher on executions that are still held.
const NOTE_INTERVAL: Micros = 100_000;

/// The front's connection to its ledger.
pub trait LedgerClient {
    /// Passes a request to the ledger; `now` is the dispatcher's clock.
    fn ask(&mut self, now: Micros, ask: LedgerRequest);
    /// Takes the answers to requests whose numbers have the same highest byte as `part`.
    fn answers(&mut self, part: u64) -> Vec<LedgerAnswer>;
}

/// An execution as the dispatcher has ordered it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OrderedExecution {
    /// Its statement.
    pub ticket: Ticket,
    /// Its number among the statement's executions.
    pub execution: usize,
    /// The engine that it goes to.
    pub place: EngineIndex,
    /// Its deadline and priority.
    pub terms: Terms,
}

/// The gate of one front, with what its dispatcher has to know of it.
pub struct Guard {
    gate: Gate,
    last_note: Micros,
}

impl Guard {
    /// For a front with a ledger, which starts at `now`: Unix time in microseconds.
    pub fn new(
        settings: &Settings,
        now: Micros,
        shards: u16,
        dispatcher: &mut Dispatcher,
    ) -> Guard {
        dispatcher.enable_ledger_events();
        Guard {
            gate: Gate::new(settings, (now / 1000) as u64, shards),
            last_note: 0,
        }
    }

    /// When `advance` is next due, on the dispatcher's clock, if nothing happens before.
    pub fn due(&self) -> Micros {
        let next_note = if self.gate.held().next().is_some() {
            self.last_note + NOTE_INTERVAL
        } else {
            Micros::MAX
        };
        self.gate.due().min(next_note)
    }

    /// Whether every ask was answered.
    pub fn is_idle(&self) -> bool {
        self.gate.is_idle()
    }

    /// Statements that were rejected or aborted, by reason.
    pub fn refused(&self) -> &BTreeMap<&'static str, u64> {
        &self.gate.refused
    }

    /// The dispatcher has ordered an execution. True if it is held for now.
    pub fn hold(
        &mut self,
        now: Micros,
        dispatcher: &mut Dispatcher,
        ordered: OrderedExecution,
    ) -> bool {
        if !self.gate.holds_back(ordered.ticket) {
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
        self.gate.hold(now, pending);
        true
    }

    /// The priority of a statement has changed while an execution of it may be held.
    pub fn set_priority(&mut self, ticket: Ticket, priority: u8) {
        self.gate.set_priority(ticket, priority);
    }

    /// Withdraws an execution. True if it was held: it has never left.
    pub fn cancel(&mut self, now: Micros, ticket: Ticket, execution: usize) -> bool {
        self.gate.cancel(now, ticket, execution)
    }

    /// Passes events of statements and answers of the ledger to the gate, and gives the rulings that follow.
    /// `id` gives the name that a statement has on whichever front it is retried.
    pub fn advance(
        &mut self,
        now: Micros,
        dispatcher: &mut Dispatcher,
        ledger: &mut impl LedgerClient,
        id: impl Fn(Ticket) -> Option<String>,
    ) -> Vec<Ruling> {
        for event in dispatcher.ledger_events() {
            self.gate.observe(now, event, &id);
        }
        self.gate.tick(now);
        loop {
            let answers = ledger.answers(REQUEST_NUMBER_BASE);
            let asks = self.gate.asks();
            if answers.is_empty() && asks.is_empty() {
                break;
            }
            for answer in answers {
                self.gate.answered(now, answer);
            }
            for ask in asks {
                ledger.ask(now, ask);
            }
        }
        if self.last_note + NOTE_INTERVAL <= now {
            self.last_note = now;
            for held in self.gate.held() {
                dispatcher.execution_held(now, held.ticket, held.execution);
            }
        }
        self.gate.rulings()
    }
}
