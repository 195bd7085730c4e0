//! Limits the rate of long messages in bytes per second.
//!
//! Unlike gossip's `TokenBucket`, which starts full, holds a second's worth and rejects what it
//! can't cover, this one starts empty, holds a tenth of a second's worth, and reports when the next
//! packet may be sent, so that long messages are sent evenly.

use crate::packet_limits::PACKET_BYTES;
use crate::Micros;

/// The burst is a second's worth divided by this.
const BURST_DIVISOR: f64 = 10.0;

/// A token bucket of bytes, which holds up to a tenth of a second's worth, and at least a packet.
#[derive(Debug)]
pub(crate) struct Pacer {
    /// Bytes per second.
    rate: f64,
    available: f64,
    refilled_at: Micros,
}

impl Pacer {
    pub fn new(rate: f64) -> Pacer {
        Pacer {
            rate,
            available: 0.0,
            refilled_at: 0,
        }
    }

    /// Adds the bytes that have accrued since the last call.
    pub fn refill(&mut self, now: Micros) {
        let accrued = (now - self.refilled_at).max(0) as f64 / 1e6 * self.rate;
        self.available =
            (self.available + accrued).min((self.rate / BURST_DIVISOR).max(PACKET_BYTES as f64));
        self.refilled_at = now;
    }

    /// Whether a full packet may be sent now.
    pub fn has_packet(&self) -> bool {
        self.available >= PACKET_BYTES as f64
    }

    /// Deducts the bytes of a packet that is sent.
    pub fn spend(&mut self, bytes: usize) {
        self.available -= bytes as f64;
    }

    /// When the next packet may be sent.
    pub fn due(&self) -> Micros {
        self.refilled_at
            + ((PACKET_BYTES as f64 - self.available).max(0.0) / self.rate.max(1.0) * 1e6) as Micros
            + 1
    }
}
