//! What happened: each event goes to the rules that learn from it.

use crate::engine_table::{size_of, AttemptId};
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
    /// Takes in one event.
    pub(super) fn observe(&mut self, event: Event) {
        match event {
            Event::EngineList { complete, entries } => self.engines_listed(complete, entries),
            Event::EngineListFailed => self.subscribe(),
            Event::Woken => {}
            Event::Arrived(arrival) => self.arrived(arrival),
            Event::ExecutionEnded(ended) => self.ended(ended),
            Event::Progress {
                statement,
                execution: number,
                engine,
                progress,
            } => self.noted(AttemptId { statement, number }, engine, progress),
            Event::StatementWithdrawn(id) => self.close(id, Timeliness::NotTimely),
            Event::OrderKeyReleased { key, pauses } => self.order_key_freed(key, pauses),
            Event::PeerReport(report) => self.peer_reported(report),
            Event::FleetDemand(demand) => self.fleet_demand_changed(&demand),
            Event::SendCapacity { engine, executions } => {
                self.engines.set_send_capacity(engine, executions);
            }
            Event::Fleet { known, up } => {
                self.fleet.known = known.max(self.agreed.fronts);
                self.fleet.probers = up;
            }
            Event::Probed {
                engine,
                alive,
                report,
            } => self.probed(engine, alive, report.as_ref()),
        }
    }

    fn probed(&mut self, engine: EngineId, alive: bool, report: Option<&LoadReport>) {
        self.ensure_engine(engine);
        if alive {
            self.found_healthy(engine);
        } else {
            self.outliers.health_check_failed(engine);
        }
        if let Some(report) = report {
            self.load_reported(engine, report);
        }
    }

    fn engines_listed(&mut self, complete: bool, entries: Vec<EngineEntry>) {
        if complete {
            self.engines.open.fill(false);
        }
        for entry in entries {
            self.engine_listed(entry);
        }
        // What is sticky to an engine that takes nothing new any more is to end now.
        let statements = self.statements.iter();
        let closed = statements.filter(|(_, statement)| self.sticky_engine_closed(statement));
        let closed: Vec<StatementId> = closed.map(|(id, _)| *id).collect();
        for id in closed {
            self.queues.due_at(self.clock.now, id);
        }
    }

    fn engine_listed(&mut self, entry: EngineEntry) {
        let engine = entry.engine;
        self.ensure_engine(engine);
        let known = self.engines.listed[engine].as_ref();
        let restarted = known.is_none_or(|known| known.started != entry.started);
        if known.is_none() {
            self.engines.size[engine] = size_of(&self.agreed, entry.kind);
            self.limits
                .listed(engine, self.engines.size[engine].threads);
        }
        if let Some(started) = entry.started.filter(|_| restarted) {
            self.outliers.reset(engine);
            self.load_reports.reset(engine);
            self.peer_evidence.forget(engine); // of an earlier start
            self.found_healthy(engine);
            self.start_warm_up(engine, started);
        }
        self.engines.open[engine] = entry.mode == Mode::Ready;
        self.engines.listed[engine] = Some(entry);
    }

    fn order_key_freed(&mut self, key: KeyId, pauses: bool) {
        let paused_until = pauses.then_some(self.clock.now + self.agreed.order_gap);
        self.order_queues.resolve(Some(key), true, paused_until);
        self.enqueue_first_in_order(Some(key));
    }

    fn load_reported(&mut self, engine: EngineId, report: &LoadReport) {
        let at = ReportedEngine {
            engine,
            kind: self.engines.kind(engine),
            size: self.engines.size[engine],
            own: self.engines.own[engine],
            in_flight: self.engines.in_flight[engine].len(),
        };
        let typical = self.estimates.typical_load();
        self.load_reports
            .reported(&at, report, typical, self.clock.now);
    }

    fn noted(&mut self, attempt: AttemptId, engine: EngineId, progress: ProgressReport) {
        let AttemptId { statement, number } = attempt;
        let Some(statement) = self.statements.get_mut(&statement) else {
            return;
        };
        let Some(known) = statement.attempt_at(number, engine) else {
            return;
        };
        if known.noted(self.clock.now, progress) {
            self.engines.heard_at[engine] = self.clock.now;
        }
        match (progress, statement.asked.data_set) {
            (ProgressReport::SpillsMb(lacks), _) => self.spilled(attempt, lacks),
            (ProgressReport::WaitsForData, Some(data_set)) => {
                self.data_set_locked(attempt, engine, data_set)
            }
            (ProgressReport::ShareDone(done), _) => self.progressed(attempt, engine, done),
            _ => {}
        }
    }

    fn spilled(&mut self, attempt: AttemptId, lacks_mb: f64) {
        let Some(statement) = self.statements.get_mut(&attempt.statement) else {
            return;
        };
        statement.attempts[attempt.number].spilled = true;
        self.estimates.spilled(
            statement.asked.workload,
            statement.load.memory,
            lacks_mb,
            statement.asked.memory_mb,
        );
    }

    /// Another front's load holds the data set there: guards against standing still behind it.
    fn data_set_locked(&mut self, attempt: AttemptId, engine: EngineId, data_set: u32) {
        let now = self.clock.now;
        let until = now + self.estimates.longest_run() as Micros;
        self.engines.lock(engine, data_set, now, until);
        self.cancel_to_retry(attempt.statement, attempt.number);
    }

    /// Guards against a bad plan, drawn anew at each attempt, not against a long statement.
    fn progressed(&mut self, attempt: AttemptId, engine: EngineId, share_done: f64) {
        let known = self.in_flight_attempt(attempt, engine);
        let first = self.statements[&attempt.statement].attempts.len() == 1;
        if first && is_bad_plan(&known, share_done, self.clock.now) {
            self.cancel_to_retry(attempt.statement, attempt.number);
        }
    }

    fn ended(&mut self, ended: ExecutionEnded) {
        let (now, engine) = (self.clock.now, ended.engine);
        self.ensure_engine(engine);
        let Some(statement) = self.statements.get_mut(&ended.statement) else {
            return;
        };
        let (key, was_over, load) = (statement.asked.order_key, statement.over, statement.load);
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
        self.resolve_order_key(key, was_over, &ended);
        let unreachable = self.outliers.attempt_ended(engine, ended.outcome, now);
        if unreachable.may_have_restarted() {
            self.start_warm_up(engine, now);
        }
        if let Some(report) = &ended.report {
            self.load_reported(engine, report);
        }
        self.learn_from(&ended, load, was_silent, unreachable);
        if was_over {
            self.forget(ended.statement);
            self.enqueue_first_in_order(key);
        } else {
            self.settle_or_retry(&ended);
        }
    }

    /// What may still be running keeps its order key for a time; so does a transaction that goes on.
    fn resolve_order_key(&mut self, key: Option<KeyId>, was_over: bool, ended: &ExecutionEnded) {
        let may_run_on = matches!(
            ended.outcome,
            Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled
        );
        let paused_until = may_run_on.then_some(self.clock.now + self.agreed.order_gap);
        self.order_queues.resolve(key, was_over, paused_until);
        if ended.keeps_order_key && ended.settled && !was_over {
            self.order_queues.keep(key);
        }
    }

    /// What the end of an attempt tells of its engine.
    fn learn_from(
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
                    self.peer_evidence.proved_wrong(engine);
                }
                self.found_healthy(engine);
                self.answered(ended, load);
            }
            // An engine that hangs has been charged for its silence.
            Outcome::TimedOut if was_silent => {}
            Outcome::NoCapacity | Outcome::TimedOut => self.overloaded(ended, load),
            // A crash resets all that an engine holds at once; single resets are the network's.
            Outcome::Error | Outcome::Reset | Outcome::Unreachable => {
                self.peer_evidence.proved_right(engine);
                let charge = unreachable.charge(ended.outcome);
                self.outliers.charge(engine, charge, self.clock.now);
            }
            Outcome::Cancelled | Outcome::NotSent => {}
        }
    }

    /// Guards against jams no answer tells of: an engine that refuses work or, where limits are pooled, lets it run
    /// into the client's deadline is full until it reports again, whatever it said before.
    fn overloaded(&mut self, ended: &ExecutionEnded, load: Load) {
        let engine = ended.engine;
        let pooled = self.limits.scope() == LimitScope::Pooled;
        if pooled || ended.outcome == Outcome::NoCapacity {
            let full = ConcurrencyLimits::full_engine(self.engines.size[engine].threads);
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
        } else if let Some(reason) = self.no_retry_reason(statement) {
            self.reject(ended.statement, reason);
        } else {
            self.enqueue(ended.statement);
        }
    }

    fn answered(&mut self, ended: &ExecutionEnded, load: Load) {
        let engine = ended.engine;
        let statement = &self.statements[&ended.statement];
        let workload = statement.asked.workload;
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
            own_threads: self.engines.own[engine].threads,
        };
        self.engines.heard_at[engine] = self.clock.now;
        self.outliers.answered(engine);
        let engines = &self.engines;
        let pool = |limits: &ConcurrencyLimits| limits.pool(engines.in_use());
        self.limits
            .answered(&answer, pool, |engine| engines.size[engine].threads);
        self.estimates.answered(workload, load, &run);
    }
}
