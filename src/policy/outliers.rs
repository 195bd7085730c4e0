//! Outlier detection and ejection: decides how far an engine is trusted and whether it is ejected.
//!
//! Inputs: the results of attempts and health checks. Trust is kept as credit, from 0 to 1.
//!
//! An engine that fails fast would otherwise attract the most statements. An ejected engine is
//! tried again about once per second, so that its recovery is noticed soon.
//!
//! Source: our extension, `docs/design.md`, "Credit".

use crate::interface::{EngineId, Micros, Outcome, SECOND};

/// Credit gained per answer.
const CREDIT_PER_ANSWER: f64 = 0.1;
/// Factor on credit per failed attempt.
const CREDIT_FACTOR_FAILED: f64 = 0.8;
/// Factor on credit for an engine that seems unreachable.
const CREDIT_FACTOR_UNREACHABLE: f64 = 0.2;
/// Minimum credit for an engine to get retries, and the initial credit.
const TRUSTED_CREDIT: f64 = 0.5;
/// Time for which an unreachable engine is ejected.
const EJECTION_TIME: Micros = SECOND;

/// The kind of failure that an engine is charged for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Charge {
    /// An attempt on the engine failed.
    Failed,
    /// The engine seems unreachable. It is also ejected.
    Unreachable,
}

/// Counts of consecutive failures to reach an engine, before and after an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnreachableStreak {
    before: usize,
    now: usize,
}

impl UnreachableStreak {
    /// Whether the engine was or is unreachable, so that it may have restarted before the engine
    /// list shows it.
    pub fn may_have_restarted(self) -> bool {
        self.now.max(self.before) > 1
    }

    /// The charge for a failed attempt. One connection that is not made in time is weak evidence;
    /// two in a row mean that the engine is unreachable.
    pub fn charge(self, outcome: Outcome) -> Charge {
        if outcome == Outcome::Unreachable && self.now > 1 {
            Charge::Unreachable
        } else {
            Charge::Failed
        }
    }
}

#[derive(Clone, Copy)]
struct Health {
    /// Trust in the engine, 0 to 1.
    credit: f64,
    consecutive_unreachable: usize,
    ejected_until: Micros,
}

const INITIAL_HEALTH: Health = Health {
    credit: TRUSTED_CREDIT,
    consecutive_unreachable: 0,
    ejected_until: 0,
};

/// The trust in each engine.
#[derive(Default)]
pub struct Outliers(Vec<Health>);

impl Outliers {
    /// Extends the state to the given number of engines.
    pub fn resize(&mut self, engines: usize) {
        self.0.resize(engines, INITIAL_HEALTH);
    }

    /// Whether an engine is ejected, so that it gets no statements.
    pub fn is_ejected(&self, engine: EngineId, now: Micros) -> bool {
        self.0[engine].ejected_until > now
    }

    /// Whether an engine may get retries.
    pub fn is_trusted(&self, engine: EngineId) -> bool {
        self.0[engine].credit >= TRUSTED_CREDIT
    }

    /// The share of an engine's concurrency limit that its credit leaves, 0 to 1.
    pub fn limit_share(&self, engine: EngineId) -> f64 {
        (self.0[engine].credit / TRUSTED_CREDIT).min(1.0)
    }

    /// Resets an engine that has restarted or is used again to the trust of a new one.
    pub fn reset(&mut self, engine: EngineId) {
        let health = &mut self.0[engine];
        (health.credit, health.ejected_until) =
            (INITIAL_HEALTH.credit, INITIAL_HEALTH.ejected_until);
    }

    /// Adds credit for an answered statement.
    pub fn record_answer(&mut self, engine: EngineId) {
        let health = &mut self.0[engine];
        health.credit = (health.credit + CREDIT_PER_ANSWER).min(1.0);
    }

    /// Reduces credit for a failed health check.
    pub fn record_failed_health_check(&mut self, engine: EngineId) {
        self.0[engine].credit *= CREDIT_FACTOR_FAILED;
    }

    /// Reduces an engine's credit for a failure; an unreachable engine is also ejected.
    pub fn charge(&mut self, engine: EngineId, charge: Charge, now: Micros) {
        let health = &mut self.0[engine];
        match charge {
            Charge::Failed => health.credit *= CREDIT_FACTOR_FAILED,
            Charge::Unreachable => {
                health.credit *= CREDIT_FACTOR_UNREACHABLE;
                health.ejected_until = now + EJECTION_TIME;
            }
        }
    }

    /// Records the end of an attempt and returns the counts of consecutive failures to reach the
    /// engine. An engine that could not be reached is ejected.
    pub fn record_attempt_end(
        &mut self,
        engine: EngineId,
        outcome: Outcome,
        now: Micros,
    ) -> UnreachableStreak {
        let health = &mut self.0[engine];
        let before = health.consecutive_unreachable;
        match outcome {
            Outcome::Unreachable => {
                health.consecutive_unreachable += 1;
                health.ejected_until = now + EJECTION_TIME;
            }
            Outcome::Completed | Outcome::NoCapacity | Outcome::Error => {
                health.consecutive_unreachable = 0;
            }
            // The engine has sent nothing.
            Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled | Outcome::NotSent => {}
        }
        UnreachableStreak {
            before,
            now: health.consecutive_unreachable,
        }
    }
}

#[cfg(test)]
#[path = "outliers_tests.rs"]
mod tests;
