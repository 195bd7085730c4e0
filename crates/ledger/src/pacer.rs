//! Paces long messages by bytes a second.
//!
//! Not gossip's `TokenBucket`, though both count tokens: that one starts full, holds a second's worth and refuses what it
//! can't cover. This one starts empty, holds a tenth of a second's worth, and says when the next packet may leave, so
//! that long messages go out evenly.

use crate::packet_limits::PACKET_BYTES;
use crate::Micros;

const SAVED_SHARE: f64 = 10.0; // what is saved up at most: so many parts of a second's worth

/// An allowance of bytes that grows evenly: up to a tenth of a second's worth, and a packet at least.
#[derive(Debug)]
pub(crate) struct Pacer {
    /// Bytes a second.
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

    /// Adds what has accrued since the last call.
    pub fn refill(&mut self, now: Micros) {
        let gained = (now - self.at).max(0) as f64 / 1e6 * self.rate;
        self.left = (self.left + gained).min((self.rate / SAVED_SHARE).max(PACKET_BYTES as f64));
        self.at = now;
    }

    /// Whether a whole packet may leave now.
    pub fn has_packet(&self) -> bool {
        self.left >= PACKET_BYTES as f64
    }

    /// Takes the bytes of a packet that leaves.
    pub fn spend(&mut self, bytes: usize) {
        self.left -= bytes as f64;
    }

    /// When the next packet may leave.
    pub fn due(&self) -> Micros {
        self.at
            + ((PACKET_BYTES as f64 - self.left).max(0.0) / self.rate.max(1.0) * 1e6) as Micros
            + 1
    }
}
