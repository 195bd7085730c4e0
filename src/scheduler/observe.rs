//! Event handlers: each event is passed to the rules that learn from it.

use crate::engine_table::{engine_size, AttemptId};
use crate::interface::{
    EngineEntry, EngineId, Event, ExecutionEnded, KeyId, LoadReport, Micros, Mode, Outcome,
    ProgressReport, StatementId,
};
use crate::load::Load;
use crate::policy::concurrency_limit::{AnsweredAttempt, ConcurrencyLimits, LimitScope};
use crate::policy::estimates::AnsweredRun;
use crate::policy::load_reports::ReportedEngine;
use crate::policy::outliers::UnreachableStreak;
use crate::policy::penalty::Timeliness;
use crate::policy::stuck_attempts::is_bad_plan;

use super::Scheduler;

impl Scheduler {
    /// Handles one event.
    pub(super) fn observe(&mut self, event: Event) {
        match event {
            Event::EngineList { complete, entries } => self.on_engine_list(complete, entries),
            Event::EngineListFailed => self.subscribe(),
            Event::Woken => {}
            Event::Arrived(arrival) => self.on_arrival(arrival),
            Event::ExecutionEnded(ended) => self.on_execution_ended(ended),
            Event::Progress {
                statement,
                execution: number,
                engine,
                progress,
            } => self.on_progress(AttemptId { statement, number }, engine, progress),
            Event::StatementWithdrawn(id) => self.close(id, Timeliness::NotTimely),
            Event::OrderKeyReleased { key, pauses } => self.on_order_key_released(key, pauses),
            Event::PeerReport(report) => self.on_peer_report(report),
            Event::FleetDemand(demand) => self.on_fleet_demand(&demand),
            Event::SendCapacity { engine, executions } => {
                self.engines.set_send_capacity(engine, executions);
            }
            Event::Fleet { known, up } => {
                self.fleet.known = known.max(self.agreement.fronts);
                self.fleet.probers = up;
            }
            Event::Probed {
                engine,
                alive,
                report,
            } => self.on_probe_ended(engine, alive, report.as_ref()),
        }
    }

    fn on_probe_ended(&mut self, engine: EngineId, alive: bool, report: Option<&LoadReport>) {
        self.ensure_engine(engine);
        if alive {
            self.mark_healthy(engine);
        } else {
            self.outliers.record_failed_health_check(engine);
        }
        if let Some(report) = report {
            self.on_load_report(engine, report);
        }
    }

    fn on_engine_list(&mut self, complete: bool, entries: Vec<EngineEntry>) {
        if complete {
            self.engines.open.fill(false);
        }
        for entry in entries {
            self.update_engine(entry);
        }
        // Statements that are sticky to an engine that no longer accepts statements end now.
        let statements = self.statements.iter();
        let closed = statements.filter(|(_, statement)| self.sticky_engine_closed(statement));
        let closed: Vec<StatementId> = closed.map(|(id, _)| *id).collect();
        for id in closed {
            self.queues.schedule_check(self.clock.now, id);
        }
    }

    fn update_engine(&mut self, entry: EngineEntry) {
        let engine = entry.engine;
        self.ensure_engine(engine);
        let known = self.engines.entries[engine].as_ref();
        let restarted = known.is_none_or(|known| known.started != entry.started);
        if known.is_none() {
            self.engines.size[engine] = engine_size(&self.agreement, entry.kind);
            self.limits
                .init_engine(engine, self.engines.size[engine].threads);
        }
        if let Some(started) = entry.started.filter(|_| restarted) {
            self.outliers.reset(engine);
            self.load_reports.reset(engine);
            self.peer_evidence.clear_reports(engine); // they date from an earlier start
            self.mark_healthy(engine);
            self.start_warm_up(engine, started);
        }
        self.engines.open[engine] = entry.mode == Mode::Ready;
        self.engines.entries[engine] = Some(entry);
    }

    fn on_order_key_released(&mut self, key: KeyId, pauses: bool) {
        let paused_until = pauses.then_some(self.clock.now + self.agreement.order_gap);
        self.order_queues.resolve(Some(key), true, paused_until);
        self.enqueue_first_in_order(Some(key));
    }

    fn on_load_report(&mut self, engine: EngineId, report: &LoadReport) {
        let at = ReportedEngine {
            engine,
            kind: self.engines.kind(engine),
            size: self.engines.size[engine],
            local_load: self.engines.local_load[engine],
            in_flight: self.engines.in_flight[engine].len(),
        };
        let typical = self.estimates.typical_load();
        self.load_reports
            .record(&at, report, typical, self.clock.now);
    }

    fn on_progress(&mut self, attempt: AttemptId, engine: EngineId, progress: ProgressReport) {
        let AttemptId { statement, number } = attempt;
        let Some(statement) = self.statements.get_mut(&statement) else {
            return;
        };
        let Some(known) = statement.attempt_at(number, engine) else {
            return;
        };
        if known.record_progress(self.clock.now, progress) {
            self.engines.last_seen[engine] = self.clock.now;
        }
        match (progress, statement.arrival.data_set) {
            (ProgressReport::SpillsMb(lacking_mb), _) => self.on_spill(attempt, lacking_mb),
            (ProgressReport::WaitsForData, Some(data_set)) => {
                self.on_data_set_locked(attempt, engine, data_set)
            }
            (ProgressReport::ShareDone(done), _) => self.on_share_done(attempt, engine, done),
            _ => {}
        }
    }

    fn on_spill(&mut self, attempt: AttemptId, lacking_mb: f64) {
        let Some(statement) = self.statements.get_mut(&attempt.statement) else {
            return;
        };
        statement.attempts[attempt.number].spilled = true;
        self.estimates.record_spill(
            statement.arrival.workload,
            statement.load.memory,
            lacking_mb,
            statement.arrival.memory_mb,
        );
    }

    /// A peer's load statement locks the data set. The attempt is cancelled for a retry elsewhere,
    /// so that it does not wait for the load.
    fn on_data_set_locked(&mut self, attempt: AttemptId, engine: EngineId, data_set: u32) {
        let now = self.clock.now;
        let until = now + self.estimates.longest_mean_run() as Micros;
        self.engines.lock_data_set(engine, data_set, now, until);
        self.cancel_to_retry(attempt.statement, attempt.number);
    }

    /// Cancels a first attempt that runs on a bad plan. The engine plans each attempt anew, so a
    /// retry helps; it would not help a statement that is long under any plan.
    fn on_share_done(&mut self, attempt: AttemptId, engine: EngineId, share_done: f64) {
        let known = self.in_flight_attempt(attempt, engine);
        let first = self.statements[&attempt.statement].attempts.len() == 1;
        if first && is_bad_plan(&known, share_done, self.clock.now) {
            self.cancel_to_retry(attempt.statement, attempt.number);
        }
    }

    fn on_execution_ended(&mut self, ended: ExecutionEnded) {
        let (now, engine) = (self.clock.now, ended.engine);
        self.ensure_engine(engine);
        let Some(statement) = self.statements.get_mut(&ended.statement) else {
            return;
        };
        let (key, was_closed, load) = (
            statement.arrival.order_key,
            statement.closed,
            statement.load,
        );
        let Some(attempt) = statement.attempt_at(ended.execution, engine) else {
            return;
        };
        attempt.outcome = Some(ended.outcome);
        let was_silent = attempt.silent;
        let id = AttemptId {
            statement: ended.statement,
            number: ended.execution,
        };
        self.engines.remove(engine, id, load);
        self.resolve_order_key(key, was_closed, &ended);
        let unreachable = self.outliers.record_attempt_end(engine, ended.outcome, now);
        if unreachable.may_have_restarted() {
            self.start_warm_up(engine, now);
        }
        if let Some(report) = &ended.report {
            self.on_load_report(engine, report);
        }
        self.update_engine_evidence(&ended, load, was_silent, unreachable);
        if was_closed {
            self.remove_if_finished(ended.statement);
            self.enqueue_first_in_order(key);
        } else {
            self.settle_or_retry(&ended);
        }
    }

    /// An execution that may still be running holds its order key for the `order_gap`, and an open
    /// transaction holds it until the key is released.
    fn resolve_order_key(&mut self, key: Option<KeyId>, was_closed: bool, ended: &ExecutionEnded) {
        let may_run_on = matches!(
            ended.outcome,
            Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled
        );
        let paused_until = may_run_on.then_some(self.clock.now + self.agreement.order_gap);
        self.order_queues.resolve(key, was_closed, paused_until);
        if ended.keeps_order_key && ended.settled && !was_closed {
            self.order_queues.hold(key);
        }
    }

    /// Updates what is known of an engine from the outcome of an attempt.
    fn update_engine_evidence(
        &mut self,
        ended: &ExecutionEnded,
        load: Load,
        was_silent: bool,
        unreachable: UnreachableStreak,
    ) {
        let engine = ended.engine;
        match ended.outcome {
            Outcome::Completed => {
                if ended.took <= self.slo_time(&self.statements[&ended.statement]) {
                    self.peer_evidence.refute_reports(engine);
                }
                self.mark_healthy(engine);
                self.on_answer(ended, load);
            }
            // The engine has already been charged for its silence.
            Outcome::TimedOut if was_silent => {}
            Outcome::NoCapacity | Outcome::TimedOut => self.on_overload(ended, load),
            // A crash resets all connections of an engine at once; single resets are faults of the
            // network.
            Outcome::Error | Outcome::Reset | Outcome::Unreachable => {
                self.peer_evidence.confirm_reports(engine);
                let charge = unreachable.charge(ended.outcome);
                self.outliers.charge(engine, charge, self.clock.now);
            }
            Outcome::Cancelled | Outcome::NotSent => {}
        }
    }

    /// Handles an overload that load reports may not show. An engine that rejects work counts as
    /// full until its next report. If limits are pooled, so does one that does not answer before
    /// the client's deadline.
    fn on_overload(&mut self, ended: &ExecutionEnded, load: Load) {
        let engine = ended.engine;
        let pooled = self.limits.scope() == LimitScope::Pooled;
        if pooled || ended.outcome == Outcome::NoCapacity {
            let full = ConcurrencyLimits::max_engine_threads(self.engines.size[engine].threads);
            self.load_reports.assume_full(engine, full);
        }
        let engines = &self.engines;
        self.limits
            .shrink(engine, load.threads, |engine| engines.size[engine].threads);
    }

    fn settle_or_retry(&mut self, ended: &ExecutionEnded) {
        let statement = &self.statements[&ended.statement];
        if ended.settled {
            let in_time = self.clock.now - statement.first_arrival <= self.slo_time(statement);
            let timeliness = if ended.outcome == Outcome::Completed && in_time {
                Timeliness::Timely
            } else {
                Timeliness::NotTimely
            };
            self.close(ended.statement, timeliness);
        } else if let Some(reason) = self.retry_denial_reason(statement) {
            self.reject(ended.statement, reason);
        } else {
            self.enqueue(ended.statement);
        }
    }

    fn on_answer(&mut self, ended: &ExecutionEnded, load: Load) {
        let engine = ended.engine;
        let statement = &self.statements[&ended.statement];
        let workload = statement.arrival.workload;
        let run = AnsweredRun {
            took: ended.took as f64,
            estimated: self.estimated_run(statement),
            spilled: statement.attempts[ended.execution].spilled,
        };
        let answer = AnsweredAttempt {
            engine,
            threads: load.threads,
            took: run.took,
            slo: self.slo_time(statement) as f64,
            local_threads: self.engines.local_load[engine].threads,
        };
        self.engines.last_seen[engine] = self.clock.now;
        self.outliers.record_answer(engine);
        let engines = &self.engines;
        let pool = |limits: &ConcurrencyLimits| limits.pool(engines.open_engines());
        self.limits
            .record_answer(&answer, pool, |engine| engines.size[engine].threads);
        self.estimates.record_answer(workload, load, &run);
    }
}
