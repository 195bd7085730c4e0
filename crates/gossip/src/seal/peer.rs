//! What was heard from a front itself: whether a datagram of it can be new.

use super::Refused;
use crate::Micros;

const WINDOW: u32 = 256; // numbers of datagrams of a sender that may come out of order
                         // Microseconds a datagram may be under way, over the least seen.
pub(super) const TIME_WINDOW: Micros = 10_000_000;

/// What was heard from a front itself.
pub(super) struct Peer {
    pub(super) started_ms: u64,
    /// The highest number of a datagram of that run, and a bitmap of those before it that were received.
    pub(super) highest: u32,
    pub(super) received: [u64; (WINDOW / 64) as usize],
    pub(super) heard: Micros,
    /// Least differences between our clock and its own, of this window and the last; when this one began.
    pub(super) least: [i64; 2],
    pub(super) since: Micros,
}

impl Peer {
    pub(super) const UNKNOWN: Peer = Peer {
        started_ms: 0,
        highest: 0,
        received: [0; (WINDOW / 64) as usize],
        heard: 0,
        least: [i64::MAX; 2],
        since: 0,
    };

    /// The least that datagrams seem to have been under way: the clocks' difference, and the way itself.
    pub(super) fn least(&self) -> i64 {
        self.least[0].min(self.least[1])
    }

    pub(super) fn check(&self, now: Micros, started_ms: u64, number: u32, delay: i64) -> Result<(), Refused> {
        let forgotten = now - self.heard > TIME_WINDOW;
        if started_ms < self.started_ms && !forgotten {
            return Err(Refused::Replay);
        }
        if started_ms == self.started_ms && self.started_ms > 0 {
            if number <= self.highest {
                let back = self.highest - number;
                if back >= WINDOW || self.received[(back / 64) as usize] & (1 << (back % 64)) != 0 {
                    return Err(Refused::Replay);
                }
            }
            let least = self.least();
            if least != i64::MAX && delay.saturating_sub(least) > TIME_WINDOW / 1000 {
                return Err(Refused::Old);
            }
        }
        // Of a new run, or of a peer never heard, only the two clocks tell; they may differ by as much.
        let known = started_ms == self.started_ms && self.started_ms > 0;
        if !known && delay.saturating_abs() > TIME_WINDOW / 1000 {
            return Err(Refused::Old);
        }
        Ok(())
    }

    pub(super) fn record(&mut self, now: Micros, started_ms: u64, number: u32, delay: i64) {
        if started_ms != self.started_ms {
            (self.started_ms, self.highest, self.received) = (started_ms, number, Default::default());
            self.received[0] = 1;
            (self.least, self.since) = ([i64::MAX; 2], now);
        } else if number > self.highest {
            self.shift(number - self.highest);
            self.highest = number;
            self.received[0] |= 1;
        } else {
            let back = self.highest - number;
            self.received[(back / 64) as usize] |= 1 << (back % 64);
        }
        if now - self.since > TIME_WINDOW {
            (self.least, self.since) = ([i64::MAX, self.least[0]], now);
        }
        self.least[0] = self.least[0].min(delay);
        self.heard = now;
    }

    /// The window moves on by so many numbers.
    fn shift(&mut self, by: u32) {
        let (words, bits) = ((by / 64) as usize, by % 64);
        let before = self.received;
        for n in (0..self.received.len()).rev() {
            let from = |n: usize| before.get(n).copied().unwrap_or(0);
            let low = n.checked_sub(words).map_or(0, from);
            let lower = n.checked_sub(words + 1).map_or(0, from);
            self.received[n] = if bits == 0 { low } else { low << bits | lower >> (64 - bits) };
        }
    }
}
