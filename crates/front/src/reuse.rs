//! How long a connection to an engine may have been idle and still be used again.
//!
//! Guards against peers and networks that forget idle connections sooner than agreed and do not say so:
//! what is sent over such a one is lost, and may have run or not.

use hallmux_dispatcher::Micros;

/// Microseconds within which one that was dead already is lost: some round trips.
const LOSS_WINDOW: Micros = 50_000;
/// Microseconds of idle time after which a connection is always used again.
const MIN_IDLE: Micros = 10_000;
/// Part by which the trusted idle time grows with each answer: slower than it halves.
const GROWTH_DIVISOR: Micros = 256;

/// The idle time, in microseconds, up to which connections are trusted.
pub struct ReusePolicy {
    configured_max_idle: Micros,
    trusted_max_idle: Micros,
}

impl ReusePolicy {
    /// Engines have agreed to keep idle connections for so long.
    pub fn new(configured_max_idle: Micros) -> Self {
        ReusePolicy {
            configured_max_idle,
            trusted_max_idle: configured_max_idle,
        }
    }

    /// The longest idle time after which a connection is used again.
    pub fn max_idle(&self) -> Micros {
        self.trusted_max_idle
    }

    /// A connection that was used again has answered.
    pub fn record_answer(&mut self) {
        self.trusted_max_idle = (self.trusted_max_idle + self.trusted_max_idle / GROWTH_DIVISOR)
            .min(self.configured_max_idle);
    }

    /// A connection that had been idle was lost so long after it was used again, with no reply before.
    pub fn record_loss(&mut self, idle: Micros, after: Micros) {
        if after < LOSS_WINDOW && idle > MIN_IDLE {
            self.trusted_max_idle = (idle / 2).max(MIN_IDLE).min(self.trusted_max_idle);
            log::debug!(
                "resting connections are used again within {} ms",
                self.trusted_max_idle / 1000
            );
        }
    }
}

#[cfg(test)]
#[path = "reuse_tests.rs"]
mod tests;
