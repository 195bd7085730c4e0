//! The schedule of a graceful shutdown: after SIGTERM a front still accepts and answers statements for a grace period,
//! then closes its listener. The actions of each step are in `event_loop/graceful_shutdown.rs`.

use hallmux_dispatcher::Micros;

/// Microseconds after SIGTERM until no more connections are accepted and new statements are rejected. Clients open new
/// connections for 0.4 s and write on open ones for 0.2 s more. Statements that arrive later than 0.7 s have to be
/// answered before the process may be killed some seconds later, however long their clients would wait.
const GRACE_PERIOD: Micros = 650_000;
/// The grace period while ownership of ledger shards is handed over: the next owner may be slow or about to end itself.
const HAND_OVER_GRACE_PERIOD: Micros = 3_000_000;
/// The grace period while a ledger shard would have no majority without this front: other replicas may be about to return.
const QUORUM_GRACE_PERIOD: Micros = 10_000_000;
/// Microseconds beyond the grace period for which the listener stays open while accepting fails with a system error, as
/// a shortage passes: closing the listener would reset the waiting connections and lose their input. Shorter than any
/// deadline.
const ACCEPT_RETRY_LIMIT: Micros = 1_000_000;
/// Iterations of the event loop after the grace period before the listener is closed: one in which a client is reported,
/// one to accept it, and one to read from it.
const FINAL_ITERATIONS: u8 = 3;
/// Microseconds between checks whether all statements are answered.
const CHECK_INTERVAL: Micros = 10_000;

/// How the ledger depends on this front, which delays its shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LedgerDependency {
    /// The shutdown is not delayed.
    None,
    /// This front owns shards that others could own.
    OwnsShards,
    /// Other replicas are unreachable, and without this front a shard has no majority.
    NeededForQuorum,
}

/// The progress of a graceful shutdown.
#[derive(Default)]
pub struct Shutdown {
    /// When SIGTERM was received; None before.
    requested_at: Option<Micros>,
    /// Iterations since the end of the grace period.
    final_iterations: u8,
    closed: bool,
}

impl Shutdown {
    /// Starts the grace period at SIGTERM; a second SIGTERM changes nothing.
    pub fn request(&mut self, now: Micros) {
        if self.requested_at.is_none() {
            log::info!("SIGTERM received; statements are still accepted for a grace period");
            self.requested_at = Some(now);
        }
    }

    /// Whether SIGTERM was received.
    pub fn is_requested(&self) -> bool {
        self.requested_at.is_some()
    }

    /// Whether the listener is to be closed now. To be called once in each iteration, as it counts the iterations after
    /// the grace period.
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
        // A front that was stalled has yet to accept the clients that connected meanwhile, and to read their input.
        self.final_iterations = self.final_iterations.saturating_add(1);
        self.closed = self.final_iterations > FINAL_ITERATIONS;
        self.closed
    }

    /// Whether the listener may stay open because accepting the waiting connections failed with a system error.
    pub fn may_keep_listening(&self, now: Micros) -> bool {
        self.requested_at
            .is_some_and(|requested_at| now < requested_at + GRACE_PERIOD + ACCEPT_RETRY_LIMIT)
    }

    /// Whether new statements are rejected at once.
    pub fn rejects_statements(&self) -> bool {
        self.closed
    }

    /// When the next check whether all statements are answered is due; `Micros::MAX` before SIGTERM.
    pub fn due(&self, now: Micros) -> Micros {
        self.requested_at.map_or(Micros::MAX, |requested_at| {
            (requested_at + GRACE_PERIOD).max(now + CHECK_INTERVAL)
        })
    }
}

#[cfg(test)]
#[path = "shutdown_tests.rs"]
mod tests;
