//! How long a connection to an engine may have been idle and still be reused.
//!
//! Guards against engines and networks that silently drop idle connections earlier than agreed: a statement that is sent
//! over such a connection is lost, and it is unknown whether it ran.

use hallmux_dispatcher::Micros;

/// Microseconds within which a connection that was already dead fails after its reuse: some round trips.
const LOSS_WINDOW: Micros = 50_000;
/// Microseconds of idle time up to which a connection is always reused.
const MIN_IDLE: Micros = 10_000;
/// Divisor of the trusted idle time that gives its growth per answer, which is slower than its halving.
const GROWTH_DIVISOR: Micros = 256;

/// The idle time, in microseconds, up to which connections are trusted.
pub struct ReusePolicy {
    configured_max_idle: Micros,
    trusted_max_idle: Micros,
}

impl ReusePolicy {
    /// Trusts connections up to `configured_max_idle`, for which engines agree to keep idle connections.
    pub fn new(configured_max_idle: Micros) -> Self {
        ReusePolicy {
            configured_max_idle,
            trusted_max_idle: configured_max_idle,
        }
    }

    /// The longest idle time, in microseconds, after which a connection is reused.
    pub fn max_idle(&self) -> Micros {
        self.trusted_max_idle
    }

    /// Records that a reused connection has answered.
    pub fn record_answer(&mut self) {
        self.trusted_max_idle = (self.trusted_max_idle + self.trusted_max_idle / GROWTH_DIVISOR)
            .min(self.configured_max_idle);
    }

    /// Records that a connection that had been idle for `idle` was lost `after` microseconds from its reuse, without a
    /// reply.
    pub fn record_loss(&mut self, idle: Micros, after: Micros) {
        if after < LOSS_WINDOW && idle > MIN_IDLE {
            self.trusted_max_idle = (idle / 2).max(MIN_IDLE).min(self.trusted_max_idle);
            log::debug!(
                "idle engine connections are reused for up to {} ms from now on",
                self.trusted_max_idle / 1000
            );
        }
    }
}

#[cfg(test)]
#[path = "reuse_tests.rs"]
mod tests;
