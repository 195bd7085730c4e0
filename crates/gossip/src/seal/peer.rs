//! Replay protection: whether a front's datagram can be new, given its earlier datagrams.

use super::VerificationError;
use crate::Micros;

/// Maximum distance, in datagram numbers, by which a sender's datagrams may arrive out of order.
const SEQUENCE_WINDOW: u32 = 256;
/// Microseconds that a datagram may be in transit beyond the minimum delay seen. Also the length of
/// the time windows of that minimum, and the silence after which an earlier incarnation of the
/// sender is accepted.
pub(super) const TIME_WINDOW: Micros = 10_000_000;

/// The replay protection state of a front, derived from its datagrams.
pub(super) struct Peer {
    /// When the front's latest incarnation started, in Unix milliseconds on its clock; 0 if no
    /// datagram of the front was received.
    pub(super) started_ms: u64,
    /// The highest number of a datagram of that incarnation.
    pub(super) highest_number: u32,
    /// A bitmap of the received numbers up to the highest one; bit 0 is the highest.
    pub(super) received_bitmap: [u64; (SEQUENCE_WINDOW / 64) as usize],
    /// When the front's latest datagram was received.
    pub(super) last_received: Micros,
    /// The minimum difference in milliseconds between the local clock and the datagrams'
    /// timestamps, in the current time window and in the previous one.
    pub(super) min_delay_ms: [i64; 2],
    /// When the current time window started.
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

    /// The minimum apparent delay in milliseconds: the clock offset plus the network delay;
    /// `i64::MAX` if no datagram was recorded in the time windows.
    pub(super) fn min_delay_ms(&self) -> i64 {
        self.min_delay_ms[0].min(self.min_delay_ms[1])
    }

    /// Checks, before the signature is verified, whether a datagram can be new. `delay_ms` is its
    /// apparent delay.
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
        // For a new incarnation or an unknown peer only the clocks can be compared, so their offset
        // counts too.
        let is_known_run = started_ms == self.started_ms && self.started_ms > 0;
        if !is_known_run && delay_ms.saturating_abs() > TIME_WINDOW / 1000 {
            return Err(VerificationError::Old);
        }
        Ok(())
    }

    /// Records a datagram with a valid signature.
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

    /// Shifts the bitmap of received numbers by `by` numbers.
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
