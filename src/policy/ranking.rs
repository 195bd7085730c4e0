//! Ranking of engines: which of those that have capacity gets the statement?
//!
//! Inputs: each engine's capacity in threads, whether bound workloads need it, where this front starts its search.
//! Reason: the engine with the most capacity answers soonest. Where no report tells what others hold, the engine with
//! the most capacity would be the largest for every front alike, so each draws by capacity.
//! Source: the paper, section 4; ours: `docs/design.md`, "Changed, and when each change acts".

use crate::interface::EngineId;
use crate::random::draw_weighted;

/// Threads a core by which an engine that bound workloads need counts as fuller for the others.
const SCARCE_ENGINE_THREADS_PER_CORE: f64 = 1.0;
/// Least weight of an engine in the draw, in threads.
const MIN_DRAW_WEIGHT: f64 = 0.06;

/// How the engine is chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RankingMode {
    /// The one with the most capacity; the first of those alike.
    MostCapacity,
    /// One drawn at random, weighted by capacity.
    DrawByCapacity,
}

/// An engine that may take the statement.
pub struct RankedEngine {
    /// The engine.
    pub engine: EngineId,
    /// Threads that are left there.
    pub capacity: f64,
    /// Its cores.
    pub cores: f64,
    /// A workload that can't go everywhere needs it, and the statement can go elsewhere.
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
    /// No engine is ranked yet.
    pub fn new(mode: RankingMode) -> Self {
        Ranking {
            mode,
            best: None,
            best_capacity: f64::NEG_INFINITY,
            weights: Vec::new(),
        }
    }

    /// Takes an engine into the ranking.
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

    /// The engine chosen; `draw` is a share from 0 up to 1.
    pub fn choose(self, draw: f64) -> Option<EngineId> {
        draw_weighted(draw, &self.weights).or(self.best)
    }
}

#[cfg(test)]
#[path = "ranking_tests.rs"]
mod tests;
