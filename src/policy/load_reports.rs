//! Load reports: estimates the load of peers on each engine.
//!
//! Inputs: the engines' load reports and this front's load on them, in threads and megabytes.
//!
//! A front sees only its own statements. As a report ages, every peer is assumed to have added as
//! much load as this front has since. Without new reports the estimate decays towards zero or, if
//! limits are pooled, moves towards the typical load.
//!
//! Source: our extension, `docs/design.md`, "Changed, and when each change acts" and "learning".

use crate::interface::{EngineId, LoadReport, Micros, ReportLayout, SECOND};
use crate::load::Load;
use crate::policy::concurrency_limit::LimitScope;
use crate::policy::estimates::MIN_SAMPLE_WEIGHT;
use crate::random::positive_or;

/// Share of the reported load that each engine check removes; half is removed after about 10 s.
const PEER_LOAD_DECAY: f64 = 0.007;
/// Share of the difference between an engine's reported load and the typical one that each engine
/// check removes; half is removed after about 3.5 s.
const PEER_LOAD_DRIFT_TO_TYPICAL: f64 = 0.02;
/// Age up to which a report is fresh; reports arrive about once per second.
const FRESH_REPORT_AGE: Micros = SECOND;
/// Weight of a report against the previous estimate, if limits are kept per engine and reports are
/// frequent.
const REPORT_WEIGHT: f64 = 0.5;

/// An engine at the time of its load report.
pub struct ReportedEngine {
    /// The engine.
    pub engine: EngineId,
    /// The index of the engine's kind; `None` if it was never listed.
    pub kind: Option<usize>,
    /// The engine's cores, and its memory in MB.
    pub size: Load,
    /// This front's load on the engine.
    pub local_load: Load,
    /// This front's attempts in flight on the engine.
    pub in_flight: usize,
}

#[derive(Clone, Copy, Default)]
struct PeerLoad {
    /// The estimated load of peers on the engine.
    load: Load,
    /// This front's load on the engine at the time of the report.
    local_load_at_report: Load,
    reported_at: Micros,
}

/// The estimated load of peers on each engine.
#[derive(Default)]
pub struct LoadReports {
    layout: ReportLayout,
    scope: LimitScope,
    /// The typical load of peers per core, by engine kind.
    typical_peer_load: Vec<Load>,
    engines: Vec<PeerLoad>,
}

impl LoadReports {
    /// Creates the state before any report.
    pub fn new(layout: ReportLayout, scope: LimitScope, kinds: usize) -> Self {
        LoadReports {
            layout,
            scope,
            typical_peer_load: vec![Load::default(); kinds],
            engines: Vec::new(),
        }
    }

    /// Extends the state to the given number of engines.
    pub fn resize(&mut self, engines: usize) {
        self.engines.resize(engines, PeerLoad::default());
    }

    /// Whether reports contain the load of an engine.
    pub fn reports_load(&self) -> bool {
        self.layout.reports_load()
    }

    /// Whether an engine's load is known from a fresh report.
    pub fn is_fresh(&self, engine: EngineId, now: Micros) -> bool {
        self.reports_load() && self.engines[engine].reported_at >= now - FRESH_REPORT_AGE
    }

    /// The estimated current load of peers, assuming that each has added as much as this front
    /// since the report. `fronts` is the number of fronts, including this one. A decrease of this
    /// front's load counts likewise, so the result may be negative.
    pub fn peer_load(&self, engine: EngineId, local_load: Load, fronts: f64) -> Load {
        let known = &self.engines[engine];
        let mut added = local_load;
        added.add(known.local_load_at_report, -1.0);
        let mut peer_load = known.load;
        peer_load.add(added, fronts - 1.0);
        peer_load
    }

    /// Clears the estimated load of peers on an engine that has restarted.
    pub fn reset(&mut self, engine: EngineId) {
        self.engines[engine].load = Load::default();
    }

    /// Makes an engine count as full: sets the threads that peers are estimated to use to
    /// `threads`. Later reports and engine checks change the estimate as usual.
    pub fn assume_full(&mut self, engine: EngineId, threads: f64) {
        self.engines[engine].load.threads = threads;
    }

    /// Records an engine's load report. `typical` is the typical load of a statement.
    pub fn record(&mut self, at: &ReportedEngine, report: &LoadReport, typical: Load, now: Micros) {
        let reported = self.peer_load_from_report(at, report, typical);
        let known = &mut self.engines[at.engine];
        (known.local_load_at_report, known.reported_at) = (at.local_load, now);
        let weight = match self.scope {
            LimitScope::Pooled => 1.0,
            LimitScope::PerEngine => REPORT_WEIGHT,
        };
        known.load.blend(reported, weight);
        if let Some(typical_peer_load) = at
            .kind
            .and_then(|kind| self.typical_peer_load.get_mut(kind))
        {
            typical_peer_load.blend(reported.times(1.0 / at.size.threads), MIN_SAMPLE_WEIGHT);
        }
    }

    /// The load of peers according to a report.
    fn peer_load_from_report(
        &self,
        at: &ReportedEngine,
        report: &LoadReport,
        typical: Load,
    ) -> Load {
        let local_attempts = at.in_flight as f64;
        let (threads_each, memory_each) = match self.scope {
            LimitScope::Pooled => (typical.threads, typical.memory),
            LimitScope::PerEngine => (
                positive_or(at.local_load.threads, 1.0) / local_attempts.max(1.0),
                0.0,
            ),
        };
        let statements_on_all_cores = at.size.threads / threads_each.max(0.01);
        let active = self
            .layout
            .active_statements(report, statements_on_all_cores);
        let peer_statements = active.map_or(0.0, |active| (active - local_attempts).max(0.0));
        let granted = self.layout.granted_memory(report);
        let memory = granted.map(|share| share * at.size.memory - at.local_load.memory);
        // If the report has no statement count, the estimate of the peers' threads stays.
        let threads = if active.is_some() {
            peer_statements * threads_each
        } else {
            self.engines[at.engine].load.threads
        };
        Load {
            threads,
            memory: memory.unwrap_or(peer_statements * memory_each).max(0.0),
        }
    }

    /// Ages the estimates by one engine check: towards zero if limits are kept per engine, towards
    /// the typical load if they are pooled. `shape` returns an engine's kind and cores.
    pub fn decay(&mut self, shape: impl Fn(EngineId) -> (Option<usize>, f64)) {
        for typical_peer_load in &mut self.typical_peer_load {
            typical_peer_load.blend(Load::default(), PEER_LOAD_DECAY);
        }
        for (engine, known) in self.engines.iter_mut().enumerate() {
            match self.scope {
                LimitScope::PerEngine => known.load.blend(Load::default(), PEER_LOAD_DECAY),
                LimitScope::Pooled => {
                    let (kind, cores) = shape(engine);
                    let each = kind
                        .and_then(|kind| self.typical_peer_load.get(kind))
                        .copied();
                    let typical_peer_load = each.unwrap_or_default().times(cores);
                    known
                        .load
                        .blend(typical_peer_load, PEER_LOAD_DRIFT_TO_TYPICAL);
                }
            }
        }
    }
}

#[cfg(test)]
#[path = "load_reports_tests.rs"]
mod tests;
