//! Outlier detection and ejection: how far is an engine trusted, and does it get anything at all?
//!
//! Inputs: how attempts and health checks ended. Trust is counted as credit, from 0 to 1.
//! Reason: an engine that fails fast would otherwise draw the most statements; one that seems gone is tried about once
//! a second, so that it is found again soon.
//! Source: our extension, `docs/design.md`, "Credit".

use crate::interface::{EngineId, Micros, Outcome, SECOND};

/// Credit for each answer.
const CREDIT_PER_ANSWER: f64 = 0.1;
/// Factor on credit for an attempt that failed.
const CREDIT_FACTOR_FAILED: f64 = 0.8;
/// Factor on credit for an engine that seems gone.
const CREDIT_FACTOR_UNREACHABLE: f64 = 0.2;
/// Credit from which retries go to an engine, and which a new one has.
const TRUSTED_CREDIT: f64 = 0.5;
/// Time for which an engine that seems gone gets nothing.
const EJECTION_TIME: Micros = SECOND;

/// What an engine is charged for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Charge {
    /// An attempt there failed.
    Failed,
    /// The engine seems gone: it is ejected too.
    Unreachable,
}

/// Times in a row that an engine could not be reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnreachableStreak {
    before: usize,
    now: usize,
}

impl UnreachableStreak {
    /// It was gone, or is: once it is back it may have restarted before the engine list says so.
    pub fn may_have_restarted(self) -> bool {
        self.now.max(self.before) > 1
    }

    /// What an attempt that failed is charged as. One connection late to come up tells little of its engine; two
    /// in a row tell that it is gone.
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
    /// 0 to 1.
    credit: f64,
    consecutive_unreachable: usize,
    ejected_until: Micros,
}

const INITIAL_HEALTH: Health = Health {
    credit: TRUSTED_CREDIT,
    consecutive_unreachable: 0,
    ejected_until: 0,
};

/// How far each engine is trusted.
#[derive(Default)]
pub struct Outliers(Vec<Health>);

impl Outliers {
    /// Makes place for so many engines.
    pub fn resize(&mut self, engines: usize) {
        self.0.resize(engines, INITIAL_HEALTH);
    }

    /// Whether it gets nothing at all now.
    pub fn is_ejected(&self, engine: EngineId, now: Micros) -> bool {
        self.0[engine].ejected_until > now
    }

    /// Whether retries may go there.
    pub fn is_trusted(&self, engine: EngineId) -> bool {
        self.0[engine].credit >= TRUSTED_CREDIT
    }

    /// The share of its concurrency limit that its credit leaves, 0 to 1.
    pub fn limit_share(&self, engine: EngineId) -> f64 {
        (self.0[engine].credit / TRUSTED_CREDIT).min(1.0)
    }

    /// It has restarted, or is used again: it is trusted like a new one.
    pub fn reset(&mut self, engine: EngineId) {
        let health = &mut self.0[engine];
        (health.credit, health.ejected_until) =
            (INITIAL_HEALTH.credit, INITIAL_HEALTH.ejected_until);
    }

    /// It answered a statement.
    pub fn record_answer(&mut self, engine: EngineId) {
        let health = &mut self.0[engine];
        health.credit = (health.credit + CREDIT_PER_ANSWER).min(1.0);
    }

    /// A health check there failed.
    pub fn record_failed_health_check(&mut self, engine: EngineId) {
        self.0[engine].credit *= CREDIT_FACTOR_FAILED;
    }

    /// Charges an engine; one that seems gone is ejected.
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

    /// An attempt ended there: whether it could be reached, and how often in a row it could not. One that could
    /// not be reached is ejected.
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
            // Nothing has come from there.
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
