//! A token bucket rate limiter.

use crate::interface::Micros;

/// A token bucket. Its capacity is the number of tokens added in one second, but at least one.
#[derive(Default, Clone)]
pub struct TokenBucket {
    tokens: f64,
    refilled_at: Micros,
}

impl TokenBucket {
    /// Creates a bucket with the given number of tokens.
    pub fn new(tokens: f64) -> Self {
        TokenBucket {
            tokens,
            refilled_at: 0,
        }
    }

    /// Takes a token if one is available. `rate` is in tokens per second.
    pub fn try_take(&mut self, rate: f64, now: Micros) -> bool {
        if self.refilled_at == 0 {
            // The bucket keeps its initial tokens until the first call.
            self.refilled_at = now;
        }
        let refilled = self.tokens + rate * (now - self.refilled_at) as f64 / 1e6;
        self.tokens = refilled.min(rate.max(1.0));
        self.refilled_at = now;
        let taken = self.tokens >= 1.0;
        if taken {
            self.tokens -= 1.0;
        }
        taken
    }
}
