//! What is known of a front from its own datagrams: whether another of them can be new (replay protection).

use super::VerificationError;
use crate::Micros;

/// Numbers by which a sender's datagrams may be out of order.
const SEQUENCE_WINDOW: u32 = 256;
/// Microseconds that a datagram may be under way, beyond the least delay seen.
pub(super) const TIME_WINDOW: Micros = 10_000_000;

/// What is known of a front from its own datagrams.
pub(super) struct Peer {
    /// When its latest run began, in Unix milliseconds on its clock; 0 if it was never heard.
    pub(super) started_ms: u64,
    /// The highest number of a datagram of that run, and a bitmap of those before it that were received.
    pub(super) highest_number: u32,
    pub(super) received_bitmap: [u64; (SEQUENCE_WINDOW / 64) as usize],
    /// When its latest datagram came.
    pub(super) last_received: Micros,
    /// Least difference in milliseconds between our clock and its datagrams', in this time window and the
    /// last.
    pub(super) min_delay_ms: [i64; 2],
    /// When this time window began.
    pub(super) window_started: Micros,
}

impl Peer {
    pub(super) const UNKNOWN: Peer = Peer {
        started_ms: 0,
        highest_number: 0,
        received_bitmap: [0; (SEQUENCE_WINDOW / 64) as usize],
        last_received: 0,
        min_delay_ms: [i64::MAX; 2],
        window_started: 0,
    };

    /// The least apparent delay in milliseconds: the clocks' difference and the network's delay.
    pub(super) fn min_delay_ms(&self) -> i64 {
        self.min_delay_ms[0].min(self.min_delay_ms[1])
    }

    /// Whether a datagram can be new, before its signature is checked; `delay` is its apparent delay in
    /// milliseconds.
    pub(super) fn check(
        &self,
        now: Micros,
        started_ms: u64,
        number: u32,
        delay_ms: i64,
    ) -> Result<(), VerificationError> {
        let is_expired = now - self.last_received > TIME_WINDOW;
        if started_ms < self.started_ms && !is_expired {
            return Err(VerificationError::Replay);
        }
        if started_ms == self.started_ms && self.started_ms > 0 {
            if number <= self.highest_number {
                let distance = self.highest_number - number;
                if distance >= SEQUENCE_WINDOW
                    || self.received_bitmap[(distance / 64) as usize] & (1 << (distance % 64)) != 0
                {
                    return Err(VerificationError::Replay);
                }
            }
            let min_delay_ms = self.min_delay_ms();
            if min_delay_ms != i64::MAX
                && delay_ms.saturating_sub(min_delay_ms) > TIME_WINDOW / 1000
            {
                return Err(VerificationError::Old);
            }
        }
        // Of a new run, or of a peer never heard, only the two clocks tell; they may differ by as much.
        let is_known_run = started_ms == self.started_ms && self.started_ms > 0;
        if !is_known_run && delay_ms.saturating_abs() > TIME_WINDOW / 1000 {
            return Err(VerificationError::Old);
        }
        Ok(())
    }

    /// Takes note of a datagram whose signature holds.
    pub(super) fn record(&mut self, now: Micros, started_ms: u64, number: u32, delay_ms: i64) {
        if started_ms != self.started_ms {
            (self.started_ms, self.highest_number, self.received_bitmap) =
                (started_ms, number, Default::default());
            self.received_bitmap[0] = 1;
            (self.min_delay_ms, self.window_started) = ([i64::MAX; 2], now);
        } else if number > self.highest_number {
            self.shift_window(number - self.highest_number);
            self.highest_number = number;
            self.received_bitmap[0] |= 1;
        } else {
            let distance = self.highest_number - number;
            self.received_bitmap[(distance / 64) as usize] |= 1 << (distance % 64);
        }
        if now - self.window_started > TIME_WINDOW {
            (self.min_delay_ms, self.window_started) = ([i64::MAX, self.min_delay_ms[0]], now);
        }
        self.min_delay_ms[0] = self.min_delay_ms[0].min(delay_ms);
        self.last_received = now;
    }

    /// Moves the bitmap of received numbers on by `by`.
    fn shift_window(&mut self, by: u32) {
        let (word_shift, bit_shift) = ((by / 64) as usize, by % 64);
        let previous = self.received_bitmap;
        for n in (0..self.received_bitmap.len()).rev() {
            let from = |n: usize| previous.get(n).copied().unwrap_or(0);
            let low = n.checked_sub(word_shift).map_or(0, from);
            let carry = n.checked_sub(word_shift + 1).map_or(0, from);
            self.received_bitmap[n] = if bit_shift == 0 {
                low
            } else {
                low << bit_shift | carry >> (64 - bit_shift)
            };
        }
    }
}
