//! The schedule of a graceful shutdown: after SIGTERM a front goes on accepting and answering for a grace period, then
//! closes its listener. What is done at each step is in `event_loop/graceful_shutdown.rs`.

use hallmux_dispatcher::Micros;

/// Microseconds after SIGTERM until no more connections are accepted and statements that still come are rejected.
/// Clients open new connections for 0.4 s and write on open ones for 0.2 s more; what comes later than 0.7 s has to
/// be answered before the process may be killed, some seconds on, however long its client would wait.
const GRACE_PERIOD: Micros = 650_000;
/// The same while ownership of ledger shards is handed over: the next owner may be slow or itself about to end.
const HAND_OVER_GRACE_PERIOD: Micros = 3_000_000;
/// The same while a ledger shard would have no majority without this front: other replicas may be about to come back.
const QUORUM_GRACE_PERIOD: Micros = 10_000_000;
/// Microseconds more for which the listener stays open where the system gives no connections when it is asked for them,
/// as a shortage passes: closing it would reset those that wait, with what they have sent. Shorter than any deadline.
const ACCEPT_RETRY_LIMIT: Micros = 1_000_000;
/// Iterations of the event loop that begin after that time before the listener is closed: one to be told of a
/// client, one to accept it, one to read from it.
const FINAL_ITERATIONS: u8 = 3;
/// Microseconds between checks whether all is answered.
const CHECK_INTERVAL: Micros = 10_000;

/// What of the ledger depends on this front, and so delays its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LedgerDependency {
    None,
    /// It owns shards that others could own.
    OwnsShards,
    /// Other replicas are away, and without it a shard has no majority.
    NeededForQuorum,
}

/// How far a graceful shutdown has come.
#[derive(Default)]
pub struct Shutdown {
    /// When SIGTERM came.
    requested_at: Option<Micros>,
    /// Iterations that began after the listener was to be closed.
    final_iterations: u8,
    closed: bool,
}

impl Shutdown {
    /// SIGTERM has come; a second one changes nothing.
    pub fn request(&mut self, now: Micros) {
        if self.requested_at.is_none() {
            log::info!("the end was asked for; what comes in for now is still taken");
            self.requested_at = Some(now);
        }
    }

    /// SIGTERM has come.
    pub fn is_requested(&self) -> bool {
        self.requested_at.is_some()
    }

    /// Whether the listener is to be closed by now. To be called once in each iteration.
    pub fn should_close_listener(&mut self, now: Micros, dependency: LedgerDependency) -> bool {
        let grace_period = match dependency {
            LedgerDependency::None => GRACE_PERIOD,
            LedgerDependency::OwnsShards => HAND_OVER_GRACE_PERIOD,
            LedgerDependency::NeededForQuorum => QUORUM_GRACE_PERIOD,
        };
        if self
            .requested_at
            .is_none_or(|requested_at| now < requested_at + grace_period)
        {
            return false;
        }
        // A front that stood still has yet to accept who came meanwhile, and to read what they wrote.
        self.final_iterations = self.final_iterations.saturating_add(1);
        self.closed = self.final_iterations > FINAL_ITERATIONS;
        self.closed
    }

    /// Whether the listener may stay open for connections that the system has not given yet.
    pub fn may_keep_listening(&self, now: Micros) -> bool {
        self.requested_at
            .is_some_and(|requested_at| now < requested_at + GRACE_PERIOD + ACCEPT_RETRY_LIMIT)
    }

    /// Whether statements that come by now are rejected at once.
    pub fn rejects_statements(&self) -> bool {
        self.closed
    }

    /// When the next check whether all is answered is due.
    pub fn due(&self, now: Micros) -> Micros {
        self.requested_at.map_or(Micros::MAX, |requested_at| {
            (requested_at + GRACE_PERIOD).max(now + CHECK_INTERVAL)
        })
    }
}

#[cfg(test)]
#[path = "shutdown_tests.rs"]
mod tests;
