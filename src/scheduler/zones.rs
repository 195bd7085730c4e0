//! Peer reports, and zones that are evacuated and reopened.

use crate::interface::{EngineId, PeerReport};
use crate::policy::peer_evidence::{ReportContext, ReportOutcome, ZoneOutcome};

use super::Scheduler;

impl Scheduler {
    /// Handles a peer's report on an engine.
    pub(super) fn on_peer_report(&mut self, report: PeerReport) {
        let context = ReportContext {
            longest_mean_run: self.estimates.longest_mean_run(),
            healthy_since: self.slow_start.started_at(report.engine),
            now: self.clock.now,
        };
        let engines = &self.engines;
        let zone = || engines.zone_members(report.engine).collect();
        let outcome = self.peer_evidence.record(&report, &context, zone);
        if outcome == ReportOutcome::FoundHealthy {
            self.mark_healthy(report.engine);
        }
    }

    /// Whether the zone of an engine is evacuated.
    pub(super) fn is_evacuated(&self, engine: EngineId) -> bool {
        self.peer_evidence.has_evacuated()
            && self
                .peer_evidence
                .is_evacuated(self.engines.zone_members(engine))
    }

    /// The share of an engine's limit that peer reports leave, 0 to 1; 0 in an evacuated zone.
    pub(super) fn peer_limit_share(&self, engine: EngineId) -> f64 {
        if self.is_evacuated(engine) {
            0.0
        } else {
            self.peer_evidence.limit_share(engine, self.clock.now)
        }
    }

    /// Records that an engine is healthy; has no effect unless the engine is a suspect of an
    /// evacuated zone. If this reopens the zone, the engines of the zone warm up.
    pub(super) fn mark_healthy(&mut self, engine: EngineId) {
        if !self.peer_evidence.is_suspect(engine) {
            return;
        }
        let zone: Vec<EngineId> = self.engines.zone_members(engine).collect();
        if self.peer_evidence.mark_healthy(engine, &zone) == ZoneOutcome::Reopened {
            for engine in zone {
                self.outliers.reset(engine);
                self.start_warm_up(engine, self.clock.now);
            }
        }
    }

    /// Picks one of the listed suspects of the evacuated zones by its relative position `share`, in
    /// [0, 1). `None` if there are no such suspects.
    pub(super) fn pick_suspect(&self, share: f64) -> Option<EngineId> {
        let is_listed = |engine: &EngineId| self.engines.is_listed(*engine);
        let suspects: Vec<EngineId> = self.peer_evidence.suspects().filter(is_listed).collect();
        let place = (share * suspects.len() as f64) as usize;
        suspects.get(place).copied()
    }
}
