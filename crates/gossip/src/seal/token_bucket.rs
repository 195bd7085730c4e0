//! Rate limiting by token buckets.

use crate::Micros;

/// A token bucket that holds a second's worth at the most.
#[derive(Clone, Copy)]
pub struct TokenBucket {
    left: f64,
    rate: f64,
    at: Micros,
}

impl TokenBucket {
    /// A full bucket that gains `rate` tokens a second.
    pub fn new(rate: f64) -> TokenBucket {
        TokenBucket {
            left: rate,
            rate,
            at: 0,
        }
    }

    /// Takes `count` tokens. False, and nothing taken, if there are fewer.
    pub fn take(&mut self, now: Micros, count: f64) -> bool {
        self.take_leaving(now, count, 0.0)
    }

    /// The same, unless fewer than `reserve` tokens would be left.
    pub fn take_leaving(&mut self, now: Micros, count: f64, reserve: f64) -> bool {
        let gained = (now - self.at).max(0) as f64 / 1e6 * self.rate;
        (self.left, self.at) = ((self.left + gained).min(self.rate), now);
        let has = self.left >= count + reserve;
        self.left -= if has { count } else { 0.0 };
        has
    }

    /// Puts tokens back that were taken.
    pub fn refund(&mut self, count: f64) {
        self.left = (self.left + count).min(self.rate);
    }
}
