//! A rate limit that saves up.

use crate::interface::Micros;

/// Tokens that come at a rate, up to one second's worth or one.
#[derive(Default, Clone)]
pub struct TokenBucket {
    tokens: f64,
    refilled_at: Micros,
}

impl TokenBucket {
    /// A bucket with so many tokens.
    pub fn new(tokens: f64) -> Self {
        TokenBucket {
            tokens,
            refilled_at: 0,
        }
    }

    /// Takes a token, where there is one; `rate` is tokens a second.
    pub fn try_take(&mut self, rate: f64, now: Micros) -> bool {
        if self.refilled_at == 0 {
            // One that was not asked before is as full as it was made.
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
