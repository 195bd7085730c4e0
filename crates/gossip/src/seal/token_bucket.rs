//! Rate limiting by token buckets.

use crate::Micros;

/// A token bucket that holds at most one second's worth of tokens.
#[derive(Clone, Copy)]
pub struct TokenBucket {
    tokens: f64,
    rate: f64,
    updated_at: Micros,
}

impl TokenBucket {
    /// Creates a full bucket that gains `rate` tokens per second.
    pub fn new(rate: f64) -> TokenBucket {
        TokenBucket {
            tokens: rate,
            rate,
            updated_at: 0,
        }
    }

    /// Takes `count` tokens. False, without taking any, if there are fewer.
    pub fn take(&mut self, now: Micros, count: f64) -> bool {
        self.take_with_reserve(now, count, 0.0)
    }

    /// Takes `count` tokens if at least `reserve` tokens are left afterwards. False, without taking
    /// any, if not.
    pub fn take_with_reserve(&mut self, now: Micros, count: f64, reserve: f64) -> bool {
        let gained = (now - self.updated_at).max(0) as f64 / 1e6 * self.rate;
        (self.tokens, self.updated_at) = ((self.tokens + gained).min(self.rate), now);
        let has_enough = self.tokens >= count + reserve;
        self.tokens -= if has_enough { count } else { 0.0 };
        has_enough
    }

    /// Returns tokens that were taken.
    pub fn refund(&mut self, count: f64) {
        self.tokens = (self.tokens + count).min(self.rate);
    }
}
