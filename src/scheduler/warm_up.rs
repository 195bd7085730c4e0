//! Inputs of the slow start, and the start of an engine's warm-up.

use crate::interface::{EngineId, Micros};
use crate::policy::slow_start::{EarlierWork, SlowStartOutcome, SlowStartRequest};
use crate::statement::Statement;

use super::Scheduler;

impl Scheduler {
    /// Starts the warm-up of an engine at the time `started`.
    pub(super) fn start_warm_up(&mut self, engine: EngineId, started: Micros) {
        let request = self.slow_start_request(engine, 0.0);
        let earlier_work = if self.clock.just_started() {
            EarlierWork::Unknown
        } else {
            EarlierWork::Known
        };
        self.slow_start
            .start(engine, started, &request, earlier_work);
    }

    /// Whether the slow start allows sending the statement to the engine now.
    pub(super) fn check_slow_start(
        &self,
        engine: EngineId,
        statement: &Statement,
    ) -> SlowStartOutcome {
        let workload = self.workload(statement);
        let work = self.estimates.typical_work(
            statement.arrival.workload,
            workload.threads,
            workload.slo_time as f64,
        );
        self.slow_start
            .check(&self.slow_start_request(engine, work))
    }

    fn slow_start_request(&self, engine: EngineId, work: f64) -> SlowStartRequest {
        SlowStartRequest {
            engine,
            cores: self.engines.size[engine].threads,
            work,
            fronts: self.fleet.known,
            now: self.clock.now,
        }
    }
}
