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
    fn submit(&mut self, now: Micros, request: LedgerRequest) {
        Peers::submit_ledger_request(self, now, request);
    }

    fn take_answers(&mut self, request_number_base: u64) -> Vec<LedgerAnswer> {
        Peers::take_ledger_answers(self, request_number_base)
    }
}

/// The ledger barrier, and what was logged of it.
pub struct LoggedBarrier {
    driver: ledger_barrier::BarrierDriver,
    last_log_time: Micros,
    logged_rejections: BTreeMap<&'static str, u64>,
}

impl LoggedBarrier {
    /// Where there is a ledger; `now` is the Unix clock, which names this incarnation.
    pub fn new(
        settings: &Settings,
        now: Micros,
        shards: u16,
        dispatcher: &mut Dispatcher,
    ) -> LoggedBarrier {
        let driver = ledger_barrier::BarrierDriver::new(settings, now, shards, dispatcher);
        LoggedBarrier {
            driver,
            last_log_time: 0,
            logged_rejections: BTreeMap::new(),
        }
    }

    /// When something is due though nothing happens.
    pub fn due(&self) -> Micros {
        self.driver.due()
    }

    /// Nothing is asked that has no answer yet.
    pub fn is_idle(&self) -> bool {
        self.driver.is_idle()
    }

    /// An execution is ordered. True if it is held for now.
    pub fn hold(
        &mut self,
        now: Micros,
        dispatcher: &mut Dispatcher,
        command: &SendCommand,
    ) -> bool {
        let SendCommand {
            ticket,
            execution,
            place,
            terms,
            ..
        } = *command;
        self.driver.hold(
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
        self.driver.set_priority(ticket, priority);
    }

    /// Gives an execution up. True if it was held.
    pub fn cancel(&mut self, now: Micros, execution_id: ExecutionId) -> bool {
        self.driver
            .cancel(now, execution_id.ticket, execution_id.number)
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
        let decisions = self.driver.advance(now, dispatcher, peers, id);
        if self.driver.refused() != &self.logged_rejections
            && self.last_log_time + LOG_INTERVAL <= now
        {
            (self.last_log_time, self.logged_rejections) = (now, self.driver.refused().clone());
            log::warn!(
                "statements ended for want of a promise so far: {:?}",
                self.logged_rejections
            );
        }
        decisions
    }
}
