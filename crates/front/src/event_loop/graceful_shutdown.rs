//! What happens at SIGTERM: the graceful shutdown of the process.
//!
//! 1. At once (`shut_down`): health checks of clients are answered as unhealthy; the ledger's shards that this front
//!    owns are handed over and other fronts are told that it leaves; the sites' summaries are saved. It goes on
//!    accepting connections and statements.
//! 2. After the grace period (`crate::shutdown`, longer while the ledger depends on this front), for a few more
//!    iterations: what waits in the listener's queue is accepted and read.
//! 3. Then (`close_if_due`) the listeners are closed, statements that still come are rejected, and connections on which
//!    nothing is owed are closed, in each iteration.
//! 4. Once no client or session is left and nothing is asked of the ledger (`is_done`) the loop ends, and with it the
//!    process.

use super::EventLoopState;
use crate::fleet::LoggedBarrier;
use crate::postgres::gateway::Gateway;
use crate::shutdown::LedgerDuty;

impl EventLoopState {
    /// SIGTERM has come. A second one does not move the end.
    pub fn shut_down(&mut self) {
        self.clock.refresh();
        self.shutdown.request(self.clock.now);
        if let Some(peers) = &mut self.peers {
            peers.leave(self.clock.now);
        }
        if let Some(scatter) = &self.scatter {
            scatter.summaries.save();
        }
    }

    /// Closes the listeners and what is idle, once the grace period is over.
    pub(super) fn close_if_due(&mut self) {
        if !self.shutdown.closes(self.clock.now, self.ledger_duty()) {
            return;
        }
        // Whoever has connected by now is served: closing the listener resets what waits there. The event loop may
        // not have reported it yet.
        self.listener.readable();
        self.accept();
        if self.listener.may_have_more() && self.shutdown.may_wait(self.clock.now) {
            return;
        }
        if self.listener.close() {
            log::info!(
                "no more connections are taken; {} clients are connected",
                self.clients.len()
            );
        }
        self.clients.close_idle(self.clock.now);
        let admission = self.admission_state();
        let sessions_left = self.connections_left();
        if let Some(gateway) = &mut self.gateway {
            gateway.close(
                self.clock.now,
                admission,
                sessions_left,
                &mut self.dispatcher,
            );
        }
    }

    /// What of the ledger delays the end of this front; nothing before SIGTERM.
    fn ledger_duty(&self) -> LedgerDuty {
        let peers = self.peers.as_ref().filter(|_| self.shutdown.is_requested());
        peers.map_or(LedgerDuty::None, |peers| peers.ledger_duty(self.clock.now))
    }

    /// Whether all is answered after SIGTERM: the process may end.
    pub fn is_done(&self) -> bool {
        !self.listener.is_open()
            && self.clients.len() == 0
            && self.gateway.as_ref().is_none_or(Gateway::is_done)
            // What it holds of the ledger is freed first.
            && self.guard.as_ref().is_none_or(LoggedBarrier::is_idle)
    }
}
