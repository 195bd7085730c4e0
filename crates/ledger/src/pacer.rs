//! Limits the rate of long messages in bytes per second.
//!
//! Unlike gossip's `TokenBucket`, which starts full, holds a second's worth and rejects what it
//! can't cover, this one starts empty, holds a tenth of a second's worth, and tells when the next
//! packet may be sent, so that long messages are sent evenly.

use crate::packet_limits::PACKET_BYTES;
use crate::Micros;

/// The burst is a second's worth divided by this.
const SAVED_SHARE: f64 = 10.0;

/// A token bucket of bytes, which holds up to a tenth of a second's worth, and at least a packet.
#[derive(Debug)]
pub(crate) struct Pacer {
    /// Bytes per second.
    rate: f64,
    left: f64,
    at: Micros,
}

impl Pacer {
    pub fn new(rate: f64) -> Pacer {
        Pacer {
            rate,
            left: 0.0,
            at: 0,
        }
    }

    /// Adds the bytes that have accrued since the last call.
    pub fn refill(&mut self, now: Micros) {
        let gained = (now - self.at).max(0) as f64 / 1e6 * self.rate;
        self.left = (self.left + gained).min((self.rate / SAVED_SHARE).max(PACKET_BYTES as f64));
        self.at = now;
    }

    /// Whether a full packet may be sent now.
    pub fn has_packet(&self) -> bool {
        self.left >= PACKET_BYTES as f64
    }

    /// Deducts the bytes of a packet that is sent.
    pub fn spend(&mut self, bytes: usize) {
        self.left -= bytes as f64;
    }

    /// When the next packet may be sent.
    pub fn due(&self) -> Micros {
        self.at
            + ((PACKET_BYTES as f64 - self.left).max(0.0) / self.rate.max(1.0) * 1e6) as Micros
            + 1
    }
}
