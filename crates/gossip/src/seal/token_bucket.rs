//! TokenBucket: what may be done in a second.

use crate::Micros;

/// TokenBucket that come at a rate, up to a second's worth.
#[derive(Clone, Copy)]
pub struct TokenBucket {
    left: f64,
    rate: f64,
    at: Micros,
}

impl TokenBucket {
    pub fn new(rate: f64) -> TokenBucket {
        TokenBucket { left: rate, rate, at: 0 }
    }

    pub fn take(&mut self, now: Micros, count: f64) -> bool {
        self.take_leaving(now, count, 0.0)
    }

    /// The same, unless fewer than so many would be left.
    pub fn take_leaving(&mut self, now: Micros, count: f64, rest: f64) -> bool {
        let came = (now - self.at).max(0) as f64 / 1e6 * self.rate;
        (self.left, self.at) = ((self.left + came).min(self.rate), now);
        let has = self.left >= count + rest;
        self.left -= if has { count } else { 0.0 };
        has
    }

    /// What was taken is not counted after all.
    pub fn refund(&mut self, count: f64) {
        self.left = (self.left + count).min(self.rate);
    }
}
