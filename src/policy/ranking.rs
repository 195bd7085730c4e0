//! Ranking: selects one of the engines that have capacity for a statement.
//!
//! Inputs: each engine's capacity in threads, whether bound workloads need it, and a random draw.
//!
//! The engine with the most capacity answers soonest. If no report shows the load of peers, every
//! front would select the largest engine, so each draws an engine weighted by capacity instead.
//!
//! Source: the paper, section 4; changes: `docs/design.md`, "Changed, and when each change acts".

use crate::interface::EngineId;
use crate::random::draw_weighted;

/// Threads per core subtracted from the capacity of an engine that bound workloads need, for
/// unbound workloads.
const SCARCE_ENGINE_THREADS_PER_CORE: f64 = 1.0;
/// Minimum weight of an engine in the draw, in threads.
const MIN_DRAW_WEIGHT: f64 = 0.06;

/// The selection rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RankingMode {
    /// The engine with the most capacity; the first of equal ones.
    MostCapacity,
    /// An engine drawn at random, weighted by capacity.
    DrawByCapacity,
}

/// An engine that may get the statement.
pub struct RankedEngine {
    /// The engine.
    pub engine: EngineId,
    /// The capacity left on the engine, in threads.
    pub capacity: f64,
    /// The engine's cores.
    pub cores: f64,
    /// Whether a workload bound to locations or kinds needs the engine, while the statement's
    /// workload is not bound.
    pub scarce: bool,
}

/// The engines ranked so far.
pub struct Ranking {
    mode: RankingMode,
    best: Option<EngineId>,
    best_capacity: f64,
    weights: Vec<(EngineId, f64)>,
}

impl Ranking {
    /// Creates an empty ranking.
    pub fn new(mode: RankingMode) -> Self {
        Ranking {
            mode,
            best: None,
            best_capacity: f64::NEG_INFINITY,
            weights: Vec::new(),
        }
    }

    /// Adds an engine to the ranking.
    pub fn add(&mut self, ranked: &RankedEngine) {
        let capacity = if ranked.scarce {
            ranked.capacity - SCARCE_ENGINE_THREADS_PER_CORE * ranked.cores
        } else {
            ranked.capacity
        };
        match self.mode {
            RankingMode::DrawByCapacity => {
                let weight = capacity.max(MIN_DRAW_WEIGHT);
                self.weights.push((ranked.engine, weight));
            }
            RankingMode::MostCapacity if capacity > self.best_capacity => {
                (self.best, self.best_capacity) = (Some(ranked.engine), capacity);
            }
            RankingMode::MostCapacity => {}
        }
    }

    /// The selected engine; `None` if none was added. `draw` is in [0, 1).
    pub fn choose(self, draw: f64) -> Option<EngineId> {
        draw_weighted(draw, &self.weights).or(self.best)
    }
}

#[cfg(test)]
#[path = "ranking_tests.rs"]
mod tests;
