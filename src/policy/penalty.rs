//! The paper's penalty: decides which service class is served first.
//!
//! Inputs: the conformance of each class (its timely share, 0 to 1) and its weight.
//!
//! Conformance is divided into levels. A class about to fall below its level, or about to reach
//! the next one, is served before others.
//!
//! Source: the paper, sections 2 and 2.2. Our extensions: the class's weight and the opportunity
//! cost of the lowest level, see `docs/design.md`, "Changed, and when each change acts".

use crate::interface::{Micros, SECOND};

/// Upper bounds of the conformance levels; the last value is the lower bound of the lowest level.
const CONFORMANCE_LEVELS: [f64; 4] = [1.0, 0.9, 0.8, 0.0];
/// Half-life of the conformance counts.
const CONFORMANCE_HALF_LIFE: Micros = 10 * SECOND;
/// Timely statements added to the counts, so that a class without statements has conformance 1.
pub const PRIOR_TIMELY_STATEMENTS: f64 = 0.05;
/// Minimum mean work of a class in its weight, in microseconds.
const MIN_MEAN_WORK: f64 = 1000.0;

/// Whether a statement was answered within its SLO time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Timeliness {
    /// The statement was answered within its SLO time.
    Timely,
    /// The statement was answered late or not at all.
    NotTimely,
}

/// The decaying counts behind the conformance of a service class.
#[derive(Default)]
pub struct Conformance {
    timely: f64,
    total: f64,
    updated_at: Micros,
}

impl Conformance {
    /// The conformance: the timely share, 0 to 1.
    pub fn share(&self) -> f64 {
        (self.timely + PRIOR_TIMELY_STATEMENTS) / (self.total + PRIOR_TIMELY_STATEMENTS)
    }

    /// Whether the conformance is in the highest level.
    pub fn is_top_level(&self) -> bool {
        self.share() >= CONFORMANCE_LEVELS[1]
    }

    /// Decays the counts by the time since the last call, halving them per half-life.
    pub fn decay(&mut self, now: Micros) {
        let half_lives = (now - self.updated_at) as f64 / CONFORMANCE_HALF_LIFE as f64;
        let remaining = 0.5f64.powf(half_lives);
        self.timely *= remaining;
        self.total *= remaining;
        self.updated_at = now;
    }

    /// Counts a closed statement.
    pub fn count(&mut self, timeliness: Timeliness, now: Micros) {
        self.decay(now);
        self.total += 1.0;
        if timeliness == Timeliness::Timely {
            self.timely += 1.0;
        }
    }
}

/// The penalty at a conformance: the larger of opportunity cost and marginal gain, squared, times
/// the class's weight (the paper's delta).
pub fn penalty(conformance: f64, weight: f64) -> f64 {
    let last = CONFORMANCE_LEVELS.len() - 2;
    let level = (0..last)
        .find(|level| conformance >= CONFORMANCE_LEVELS[level + 1])
        .unwrap_or(last);
    let (high, low) = (CONFORMANCE_LEVELS[level], CONFORMANCE_LEVELS[level + 1]);
    // Unlike in the paper, the lowest level has an opportunity cost too; otherwise a class deep in
    // it would always rank last.
    let opportunity_cost = (high - conformance) / (high - low);
    let marginal_gain = if level > 0 {
        (conformance - low) / (high - low)
    } else {
        0.0
    };
    opportunity_cost.max(marginal_gain).powi(2) * weight
}

/// The weight of a class: its importance times `share_weight`, divided by its mean work in
/// seconds. `mean_work` is in microseconds.
pub fn class_weight(importance: f64, share_weight: f64, mean_work: f64) -> f64 {
    let work = mean_work.max(MIN_MEAN_WORK) / SECOND as f64;
    importance * share_weight / work
}
