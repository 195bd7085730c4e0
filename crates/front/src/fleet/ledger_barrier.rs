//! Executions that depend on ledger entries wait in `hallmux_fleet`'s ledger barrier until the ledger has answered; the log says
//! what was turned away.

use std::collections::BTreeMap;

use hallmux_config::Settings;
use hallmux_dispatcher::{Dispatcher, Micros, Ticket};
use hallmux_fleet::ledger_barrier::{self, BarrierDecision, LedgerClient, OrderedExecution};
use hallmux_ledger::{LedgerAnswer, LedgerRequest};

use super::peers::Peers;
use super::rules::SendCommand;
use crate::execution::ExecutionId;

/// Microseconds between lines of the log on what was rejected.
const LOG_INTERVAL: Micros = 10_000_000;

impl LedgerClient for Peers {
    fn submit(&mut self, now: Micros, ask: LedgerRequest) {
        Peers::submit_ledger_request(self, now, ask);
    }

    fn take_answers(&mut self, part: u64) -> Vec<LedgerAnswer> {
        Peers::take_ledger_answers(self, part)
    }
}

/// The ledger barrier, and what was logged of it.
pub struct LoggedBarrier {
    guard: ledger_barrier::BarrierDriver,
    last_log: Micros,
    refused: BTreeMap<&'static str, u64>,
}

impl LoggedBarrier {
    /// Where there is a ledger; `now` is the Unix clock, which names this incarnation.
    pub fn new(
        settings: &Settings,
        now: Micros,
        shards: u16,
        dispatcher: &mut Dispatcher,
    ) -> LoggedBarrier {
        let guard = ledger_barrier::BarrierDriver::new(settings, now, shards, dispatcher);
        LoggedBarrier {
            guard,
            last_log: 0,
            refused: BTreeMap::new(),
        }
    }

    /// When something is due though nothing happens.
    pub fn due(&self) -> Micros {
        self.guard.due()
    }

    /// Nothing is asked that has no answer yet.
    pub fn is_idle(&self) -> bool {
        self.guard.is_idle()
    }

    /// An execution is ordered. True if it is held for now.
    pub fn hold(
        &mut self,
        now: Micros,
        dispatcher: &mut Dispatcher,
        ordered: &SendCommand,
    ) -> bool {
        let SendCommand {
            ticket,
            execution,
            place,
            terms,
            ..
        } = *ordered;
        self.guard.hold(
            now,
            dispatcher,
            OrderedExecution {
                ticket,
                execution,
                place,
                terms,
            },
        )
    }

    /// Changes the priority that a held execution leaves with.
    pub fn set_priority(&mut self, ticket: Ticket, priority: u8) {
        self.guard.set_priority(ticket, priority);
    }

    /// Gives an execution up. True if it was held.
    pub fn cancel(&mut self, now: Micros, sent: ExecutionId) -> bool {
        self.guard.cancel(now, sent.ticket, sent.number)
    }

    /// Passes on what statements have come to and what the ledger says; what becomes of what was held. `id` names a
    /// statement wherever it is tried.
    pub fn tick(
        &mut self,
        now: Micros,
        dispatcher: &mut Dispatcher,
        peers: &mut Peers,
        id: impl Fn(Ticket) -> Option<String>,
    ) -> Vec<BarrierDecision> {
        let rulings = self.guard.advance(now, dispatcher, peers, id);
        if self.guard.refused() != &self.refused && self.last_log + LOG_INTERVAL <= now {
            (self.last_log, self.refused) = (now, self.guard.refused().clone());
            log::warn!(
                "statements ended for want of a promise so far: {:?}",
                self.refused
            );
        }
        rulings
    }
}
