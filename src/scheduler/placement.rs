//! Placement: selects the engine for a statement by the candidate filter, the concurrency limits
//! and the ranking, in this order.

use crate::interface::{EngineId, StatementId, Workload};
use crate::policy::concurrency_limit::{LimitOutcome, LimitRequest, LimitScope, Pool};
use crate::policy::ranking::{RankedEngine, Ranking, RankingMode};
use crate::statement::Statement;

use super::candidates::Eligibility;
use super::Scheduler;

/// The inputs that are the same for all engines while one statement is placed.
struct PlacementScan {
    /// Whether the suspicions of peer reports reduce the limits of engines.
    apply_suspicion: bool,
    /// Whether engines of evacuated zones are excluded, because the statement may use engines of
    /// other zones.
    avoid_evacuated: bool,
    pool: Pool,
}

impl Scheduler {
    /// The engine to which a statement is sent; `None` if no eligible engine has capacity.
    pub(super) fn choose_engine(&self, id: StatementId) -> Option<EngineId> {
        let statement = &self.statements[&id];
        if !self.may_be_sent(id, statement) {
            return None;
        }
        let scan = self.placement_scan(statement);
        let mut ranking = Ranking::new(self.ranking_mode());
        let count = self.engines.open.len();
        // Fronts with the same knowledge must not all pick the same engine, so each starts its
        // search at a different one.
        let start = self.placement_start * count as f64;
        let first = start as usize;
        for engine in (0..count).map(|i| (i + first) % count) {
            if self.eligibility(statement, engine, scan.avoid_evacuated) != Eligibility::Eligible {
                continue;
            }
            if let LimitOutcome::Capacity { threads } = self.check_limit(statement, engine, &scan) {
                ranking.add(&RankedEngine {
                    engine,
                    capacity: threads,
                    cores: self.engines.size[engine].threads,
                    scarce: self.is_scarce(statement, engine),
                });
            }
        }
        ranking.choose(start.fract())
    }

    fn ranking_mode(&self) -> RankingMode {
        if self.limits.scope() == LimitScope::Pooled && !self.load_reports.reports_load() {
            RankingMode::DrawByCapacity
        } else {
            RankingMode::MostCapacity
        }
    }

    fn placement_scan(&self, statement: &Statement) -> PlacementScan {
        let workload = self.workload(statement);
        let is_allowed = |engine: &EngineId| {
            let entry = self.engines.entry(*engine);
            entry.is_some_and(|entry| statement.allows(workload, entry))
        };
        let allowed = || (0..self.engines.open.len()).filter(is_allowed);
        // If all engines that the statement may use are suspected, suspicion is ignored; likewise
        // evacuation, if all are in evacuated zones.
        PlacementScan {
            apply_suspicion: self.peer_evidence.has_adverse()
                && allowed().any(|engine| self.peer_limit_share(engine) >= 1.0),
            avoid_evacuated: self.peer_evidence.has_evacuated()
                && allowed().any(|engine| !self.is_evacuated(engine)),
            pool: self.limits.pool(self.engines.open_engines()),
        }
    }

    fn check_limit(
        &self,
        statement: &Statement,
        engine: EngineId,
        scan: &PlacementScan,
    ) -> LimitOutcome {
        let credit = self.outliers.limit_share(engine);
        let trust = if scan.apply_suspicion {
            credit * self.peer_limit_share(engine)
        } else {
            credit
        };
        let local_load = self.engines.local_load[engine];
        let mut need = statement.load;
        need.threads = self.workload(statement).threads;
        self.limits.check(&LimitRequest {
            at: self.engines.engine_use(engine),
            idle: self.engines.is_idle(engine),
            peer_load: self
                .load_reports
                .peer_load(engine, local_load, self.agreement.fronts),
            trust,
            capacity_share: self.slow_start.capacity_share(engine, self.clock.now),
            fresh_report: self.load_reports.is_fresh(engine, self.clock.now),
            need,
            pool: &scan.pool,
        })
    }

    /// Whether some workload that is bound to certain locations or kinds may use the engine, while
    /// the statement's workload is not bound.
    fn is_scarce(&self, statement: &Statement, engine: EngineId) -> bool {
        let is_bound =
            |workload: &Workload| workload.kinds.is_some() || workload.locations.is_some();
        let needs = |workload: &Workload| {
            let entry = self.engines.entries[engine].as_ref();
            is_bound(workload) && entry.is_some_and(|entry| workload.allows(entry))
        };
        !is_bound(self.workload(statement)) && self.agreement.workloads.iter().any(needs)
    }
}
