//! The graceful shutdown of the process after SIGTERM.
//!
//! 1. At once (`shut_down`): health checks of clients are answered as unhealthy; the ledger shards that this front owns
//!    are handed over and other fronts are notified that it leaves; the sites' summaries are saved. The front still
//!    accepts connections and statements.
//! 2. After the grace period (`crate::shutdown`, longer while the ledger depends on this front),
//!    for a few more iterations of the event loop: connections that wait in the listener's queue
//!    are accepted and read.
//! 3. Then (`close_if_due`), in each iteration: the listeners are closed, new statements are
//!    rejected, and connections without pending answers are closed.
//! 4. Once no client or session is left and no ledger request is pending (`is_done`), the loop and the process end.

use super::EventLoopState;
use crate::fleet::LoggedBarrier;
use crate::postgres::gateway::Gateway;
use crate::shutdown::LedgerDependency;

impl EventLoopState {
    /// Starts the graceful shutdown after SIGTERM. A second SIGTERM does not change its schedule.
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

    /// Closes the listeners and the idle connections once the grace period is over.
    pub(super) fn close_if_due(&mut self) {
        if !self
            .shutdown
            .should_close_listener(self.clock.now, self.ledger_dependency())
        {
            return;
        }
        if let Some(gateway) = &mut self.gateway {
            gateway.refuse_units(self.clock.now);
        }
        // Clients that have connected by now are served, as closing the listener resets the connections in its queue.
        // The event loop may not have reported them yet.
        self.listener.mark_readable();
        self.accept();
        if self.listener.may_have_more() && self.shutdown.may_keep_listening(self.clock.now) {
            return;
        }
        if self.listener.close() {
            log::info!(
                "no more connections are accepted; {} clients are still connected",
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

    /// How the ledger's dependency on this front delays the shutdown of the front;
    /// `LedgerDependency::None` before SIGTERM and on a front without peers.
    fn ledger_dependency(&self) -> LedgerDependency {
        let peers = self.peers.as_ref().filter(|_| self.shutdown.is_requested());
        peers.map_or(LedgerDependency::None, |peers| {
            peers.ledger_dependency(self.clock.now)
        })
    }

    /// Whether the process may end after SIGTERM: the listener is closed, no client or session is
    /// left, and no ledger request is pending.
    pub fn is_done(&self) -> bool {
        !self.listener.is_open()
            && self.clients.len() == 0
            && self.gateway.as_ref().is_none_or(Gateway::is_done)
            // Ledger entries that this front holds are released first.
            && self.guard.as_ref().is_none_or(LoggedBarrier::is_idle)
    }
}
