//! What is known of a front from its own datagrams: whether another of them can be new (replay protection).

use super::VerificationError;
use crate::Micros;

/// Numbers by which a sender's datagrams may be out of order.
const WINDOW: u32 = 256;
/// Microseconds that a datagram may be under way, beyond the least delay seen.
pub(super) const TIME_WINDOW: Micros = 10_000_000;

/// What is known of a front from its own datagrams.
pub(super) struct Peer {
    /// When its latest run began, in Unix milliseconds on its clock; 0 if it was never heard.
    pub(super) started_ms: u64,
    /// The highest number of a datagram of that run, and a bitmap of those before it that were received.
    pub(super) highest: u32,
    pub(super) received: [u64; (WINDOW / 64) as usize],
    /// When its latest datagram came.
    pub(super) heard: Micros,
    /// Least difference in milliseconds between our clock and its datagrams', in this time window and the
    /// last.
    pub(super) least: [i64; 2],
    /// When this time window began.
    pub(super) window_began: Micros,
}

impl Peer {
    pub(super) const UNKNOWN: Peer = Peer {
        started_ms: 0,
        highest: 0,
        received: [0; (WINDOW / 64) as usize],
        heard: 0,
        least: [i64::MAX; 2],
        window_began: 0,
    };

    /// The least apparent delay in milliseconds: the clocks' difference and the network's delay.
    pub(super) fn least(&self) -> i64 {
        self.least[0].min(self.least[1])
    }

    /// Whether a datagram can be new, before its signature is checked; `delay` is its apparent delay in
    /// milliseconds.
    pub(super) fn check(
        &self,
        now: Micros,
        started_ms: u64,
        number: u32,
        delay: i64,
    ) -> Result<(), VerificationError> {
        let forgotten = now - self.heard > TIME_WINDOW;
        if started_ms < self.started_ms && !forgotten {
            return Err(VerificationError::Replay);
        }
        if started_ms == self.started_ms && self.started_ms > 0 {
            if number <= self.highest {
                let back = self.highest - number;
                if back >= WINDOW || self.received[(back / 64) as usize] & (1 << (back % 64)) != 0 {
                    return Err(VerificationError::Replay);
                }
            }
            let least = self.least();
            if least != i64::MAX && delay.saturating_sub(least) > TIME_WINDOW / 1000 {
                return Err(VerificationError::Old);
            }
        }
        // Of a new run, or of a peer never heard, only the two clocks tell; they may differ by as much.
        let known = started_ms == self.started_ms && self.started_ms > 0;
        if !known && delay.saturating_abs() > TIME_WINDOW / 1000 {
            return Err(VerificationError::Old);
        }
        Ok(())
    }

    /// Takes note of a datagram whose signature holds.
    pub(super) fn record(&mut self, now: Micros, started_ms: u64, number: u32, delay: i64) {
        if started_ms != self.started_ms {
            (self.started_ms, self.highest, self.received) =
                (started_ms, number, Default::default());
            self.received[0] = 1;
            (self.least, self.window_began) = ([i64::MAX; 2], now);
        } else if number > self.highest {
            self.shift(number - self.highest);
            self.highest = number;
            self.received[0] |= 1;
        } else {
            let back = self.highest - number;
            self.received[(back / 64) as usize] |= 1 << (back % 64);
        }
        if now - self.window_began > TIME_WINDOW {
            (self.least, self.window_began) = ([i64::MAX, self.least[0]], now);
        }
        self.least[0] = self.least[0].min(delay);
        self.heard = now;
    }

    /// Moves the bitmap of received numbers on by `by`.
    fn shift(&mut self, by: u32) {
        let (words, bits) = ((by / 64) as usize, by % 64);
        let before = self.received;
        for n in (0..self.received.len()).rev() {
            let from = |n: usize| before.get(n).copied().unwrap_or(0);
            let low = n.checked_sub(words).map_or(0, from);
            let lower = n.checked_sub(words + 1).map_or(0, from);
            self.received[n] = if bits == 0 {
                low
            } else {
                low << bits | lower >> (64 - bits)
            };
        }
    }
}
