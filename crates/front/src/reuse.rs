//! How long a connection to an engine may have rested and still be used again.
//!
//! Guards against peers and networks that forget resting connections sooner than agreed and do not say so:
//! what is sent over such a one is lost, and may have run or not.

use hallmux_dispatcher::Micros;

const AT_ONCE: Micros = 50_000; // microseconds within which one that was dead already is lost: some round trips
const LEAST: Micros = 10_000; // microseconds of rest after which a connection is always used again
const GROWS: Micros = 256; // part by which the rest that is trusted grows with each answer: slower than it halves

pub struct Reuse {
    agreed: Micros,
    trusted: Micros,
}

impl Reuse {
    /// Engines have agreed to keep resting connections for so long.
    pub fn new(agreed: Micros) -> Self {
        Reuse { agreed, trusted: agreed }
    }

    /// The longest rest after which a connection is used again.
    pub fn most(&self) -> Micros {
        self.trusted
    }

    pub fn answered(&mut self) {
        self.trusted = (self.trusted + self.trusted / GROWS).min(self.agreed);
    }

    /// A connection that had rested was lost so long after it was taken up again, with not a word before.
    pub fn lost(&mut self, rested: Micros, after: Micros) {
        if after < AT_ONCE && rested > LEAST {
            self.trusted = (rested / 2).max(LEAST).min(self.trusted);
            log::debug!("resting connections are used again within {} ms", self.trusted / 1000);
        }
    }
}

#[cfg(test)]
#[path = "reuse_tests.rs"]
mod tests;
