//! Connects the event loop to `hallmux_fleet`'s ledger barrier, which holds executions back until
//! their ledger entries are replicated, and logs how many statements ended because their entries
//! could not be.

use std::collections::BTreeMap;

use hallmux_config::Settings;
use hallmux_dispatcher::{Dispatcher, Micros, Ticket};
use hallmux_fleet::ledger_barrier::{self, BarrierDecision, LedgerClient, OrderedExecution};
use hallmux_ledger::{LedgerAnswer, LedgerRequest};

use super::peers::Peers;
use super::rules::SendCommand;
use crate::execution::ExecutionId;

/// Microseconds between log lines on statements that the barrier rejected or aborted.
const LOG_INTERVAL: Micros = 10_000_000;

impl LedgerClient for Peers {
    fn submit(&mut self, now: Micros, request: LedgerRequest) {
        Peers::submit_ledger_request(self, now, request);
    }

    fn take_answers(&mut self, request_number_base: u64) -> Vec<LedgerAnswer> {
        Peers::take_ledger_answers(self, request_number_base)
    }
}

/// The driver of the ledger barrier, and the counts of ended statements that were logged last.
pub struct LoggedBarrier {
    driver: ledger_barrier::BarrierDriver,
    last_log_time: Micros,
    logged_rejections: BTreeMap<&'static str, u64>,
}

impl LoggedBarrier {
    /// Creates the barrier of a front that uses a ledger with `shards` shards. `now` is the Unix
    /// time in microseconds, which identifies this incarnation of the front.
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

    /// When `tick` must run even if no event arrives, in Unix microseconds.
    pub fn due(&self) -> Micros {
        self.driver.due()
    }

    /// Whether no request to the ledger is without an answer.
    pub fn is_idle(&self) -> bool {
        self.driver.is_idle()
    }

    /// Holds an execution if its statement requires ledger entries. Returns whether the execution
    /// is held.
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

    /// Changes the priority with which a held execution will be sent.
    pub fn set_priority(&mut self, ticket: Ticket, priority: u8) {
        self.driver.set_priority(ticket, priority);
    }

    /// Cancels an execution. Returns true if the execution was held, so it was never sent.
    pub fn cancel(&mut self, now: Micros, execution_id: ExecutionId) -> bool {
        self.driver
            .cancel(now, execution_id.ticket, execution_id.number)
    }

    /// Passes the dispatcher's events and the ledger's answers to the barrier, and returns its
    /// decisions on held executions. `id` returns the statement id that the client uses on every
    /// front where it retries a statement.
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
                "statements rejected or aborted for lack of a ledger entry so far, by reason: {:?}",
                self.logged_rejections
            );
        }
        decisions
    }
}
