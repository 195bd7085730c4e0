//! The paper's penalty: which service class is served first?
//!
//! Inputs: the conformance of each class (its timely share, 0 to 1), its weight.
//! Reason: conformance is divided into levels; a class near falling below its level, or near reaching the next, is
//! served before others.
//! Source: the paper, sections 2 and 2.2; ours: the class's weight, and the opportunity cost of the lowest level, see
//! `docs/design.md`, "Changed, and when each change acts".

use crate::interface::{Micros, SECOND};

/// Conformance that opens each level.
const CONFORMANCE_LEVELS: [f64; 4] = [1.0, 0.9, 0.8, 0.0];
/// Time in which a count of conformance halves.
const CONFORMANCE_HALF_LIFE: Micros = 10 * SECOND;
/// Statements counted as timely on top, so that a class not seen before has conformance 1.
pub const PRIOR_TIMELY_STATEMENTS: f64 = 0.05;
/// Least mean work of a class in its weight, in microseconds.
const MIN_MEAN_WORK: f64 = 1000.0;

/// Whether a statement was answered within its SLO time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Timeliness {
    /// It was.
    Timely,
    /// It was answered late, or not at all.
    NotTimely,
}

/// The timely share of a service class.
#[derive(Default)]
pub struct Conformance {
    timely: f64,
    total: f64,
    updated_at: Micros,
}

impl Conformance {
    /// The timely share, 0 to 1.
    pub fn share(&self) -> f64 {
        (self.timely + PRIOR_TIMELY_STATEMENTS) / (self.total + PRIOR_TIMELY_STATEMENTS)
    }

    /// Whether it is in the highest level.
    pub fn is_top_level(&self) -> bool {
        self.share() >= CONFORMANCE_LEVELS[1]
    }

    /// Lets the counts halve with each half-life since the last call.
    pub fn decay(&mut self, now: Micros) {
        let half_lives = (now - self.updated_at) as f64 / CONFORMANCE_HALF_LIFE as f64;
        let remaining = 0.5f64.powf(half_lives);
        self.timely *= remaining;
        self.total *= remaining;
        self.updated_at = now;
    }

    /// Counts a statement that is over.
    pub fn count(&mut self, timeliness: Timeliness, now: Micros) {
        self.decay(now);
        self.total += 1.0;
        if timeliness == Timeliness::Timely {
            self.timely += 1.0;
        }
    }
}

/// The larger of opportunity cost and marginal gain at a conformance, squared, times the class's weight (the paper's
/// delta).
pub fn penalty(conformance: f64, weight: f64) -> f64 {
    let last = CONFORMANCE_LEVELS.len() - 2;
    let level = (0..last)
        .find(|level| conformance >= CONFORMANCE_LEVELS[level + 1])
        .unwrap_or(last);
    let (high, low) = (CONFORMANCE_LEVELS[level], CONFORMANCE_LEVELS[level + 1]);
    // Departure: the lowest level has an opportunity cost too, or a class deep in it would always rank last.
    let opportunity_cost = (high - conformance) / (high - low);
    let marginal_gain = if level > 0 {
        (conformance - low) / (high - low)
    } else {
        0.0
    };
    opportunity_cost.max(marginal_gain).powi(2) * weight
}

/// A class's weight: its importance, times `share_weight`, per second of its mean work in microseconds.
pub fn class_weight(importance: f64, share_weight: f64, mean_work: f64) -> f64 {
    let work = mean_work.max(MIN_MEAN_WORK) / SECOND as f64;
    importance * share_weight / work
}
