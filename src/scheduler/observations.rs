//! What answers, notes, reports and silence tell of engines and workloads.

use super::*;
use crate::policy::stuck_attempts::{check_silence, is_bad_plan, InFlightAttempt, SilenceOutcome};

impl Scheduler {
    /// Probes the engines that are due.
    pub(super) fn probe(&mut self) {
        self.probe_evacuated();
        let budget = self.agreed.budgets.map(|budgets| budgets.probes);
        let each = budget.map_or(f64::INFINITY, |probes| {
            share_of(probes, self.demand, self.known)
        });
        let (open, actions) = (&self.engines.open, &mut self.actions);
        let probe = |engine| actions.push(Action::Probe { engine });
        self.health_checks.probe_due(open, each, self.now, probe);
    }

    /// All fronts together probe evacuated zones: each draws at its share of the rate. Where probes are not
    /// allowed a statement or two go there instead, as to an engine that warms up.
    fn probe_evacuated(&mut self) {
        let rate = HealthChecks::fleet_probes_per(SWEEP_INTERVAL);
        let drawn = self.peer_evidence.has_evacuated() && self.random.next() * self.up < rate;
        if !drawn {
            return;
        }
        let draw = self.random.next();
        match self.pick_suspect(draw) {
            Some(engine) if self.agreed.probes => {
                self.actions.push(Action::ProbeEvacuated { engine });
            }
            Some(engine) => self.found_healthy(engine),
            None => {}
        }
    }

    pub(super) fn load_reported(&mut self, e: EngineId, report: &Report) {
        let at = ReportedEngine {
            engine: e,
            kind: self.engines.kind(e),
            size: self.engines.size[e],
            own: self.engines.own[e],
            in_flight: self.engines.in_flight[e].len(),
        };
        self.load_reports.reported(&at, report, self.load, self.now);
    }

    /// What is known of an attempt in flight at an engine.
    fn in_flight_attempt(&self, id: StatementId, n: usize, e: EngineId) -> InFlightAttempt {
        let s = &self.statements[&id];
        let sends_progress = self.engines.listed[e]
            .as_ref()
            .is_some_and(|entry| entry.sends_progress);
        InFlightAttempt {
            sent_at: s.executions[n].sent_at,
            heard_at: s.executions[n].heard_at,
            engine_heard_at: self.engines.heard_at[e],
            progress_every: Some(self.agreed.progress_every)
                .filter(|every| sends_progress && *every != 0),
            expected_run: self.learned[s.asked.workload].pace.value * self.estimated_run(s),
        }
    }

    /// Cancels the attempts at an engine that have been silent for too long.
    pub(super) fn check_silence(&mut self, e: EngineId) {
        let silence = |&(id, n): &(StatementId, usize)| {
            let known = self.statements[&id].executions[n].silent;
            let attempt = self.in_flight_attempt(id, n, e);
            match check_silence(&attempt, self.running_since, self.now) {
                SilenceOutcome::Silent(charge) if !known => Some((id, n, charge)),
                _ => None,
            }
        };
        let stuck: Vec<_> = self.engines.in_flight[e]
            .iter()
            .filter_map(silence)
            .collect();
        for (id, n, charge) in stuck {
            self.outliers.charge(e, charge, self.now);
            self.cancel_to_retry(id, n);
            if let Some(s) = self.statements.get_mut(&id) {
                s.executions[n].silent = true;
            }
        }
    }

    pub(super) fn noted(&mut self, id: StatementId, n: usize, e: EngineId, note: Note) {
        let Some(s) = self.statements.get_mut(&id) else {
            return;
        };
        let Some(execution) = in_flight_at(&mut s.executions, n, e) else {
            return;
        };
        let tells = execution.noted(self.now, note);
        self.engines.heard_at[e] = if tells {
            self.now
        } else {
            self.engines.heard_at[e]
        };
        if let Note::SpillsMb(missing) = note {
            execution.spilled = true;
            let need = (s.load.memory * MEMORY_GRANT_FACTOR + missing) / s.asked.memory_mb.max(1.0);
            self.learned[s.asked.workload]
                .memory_bias
                .take_ratio(MIN_SAMPLE_WEIGHT, need);
        }
        if let (Note::WaitsForData, Some(data_set)) = (note, s.asked.data_set) {
            // Another front's load holds the data set there: guards against standing still behind it.
            let run = self.learned.iter().map(|l| l.run.value).fold(0.0, f64::max);
            self.engines
                .lock(e, data_set, self.now, self.now + run as Micros);
            return self.cancel_to_retry(id, n);
        }
        if let Note::ShareDone(done) = note {
            let attempt = self.in_flight_attempt(id, n, e);
            let first = self.statements[&id].executions.len() == 1;
            if first && is_bad_plan(&attempt, done, self.now) {
                self.cancel_to_retry(id, n);
            }
        }
    }

    pub(super) fn ended(&mut self, x: Ended) {
        let (now, e) = (self.now, x.engine);
        self.ensure_engine(e);
        let Some(s) = self.statements.get_mut(&x.statement) else {
            return;
        };
        let Some(sent) = in_flight_at(&mut s.executions, x.execution, e) else {
            return;
        };
        sent.outcome = Some(x.outcome);
        let (silent, key, was_over, load) = (sent.silent, s.asked.key, s.over, s.load);
        self.engines.remove(e, (x.statement, x.execution), load);
        let lost = matches!(
            x.outcome,
            Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled
        );
        self.order_queues
            .resolve(key, was_over, lost.then_some(now + self.agreed.order_gap));
        self.order_queues
            .keep(key, x.keeps_order_key && x.settled && !was_over);
        let unreachable = self.outliers.attempt_ended(e, x.outcome, now);
        if unreachable.may_have_restarted() {
            self.start_warm_up(e, now);
        }
        x.report
            .iter()
            .for_each(|report| self.load_reported(e, report));
        match x.outcome {
            Outcome::Completed => {
                if x.took <= self.slo_time(&self.statements[&x.statement]) {
                    self.peer_evidence.proved_wrong(e);
                }
                self.found_healthy(e);
                self.completed(&x, load.threads)
            }
            Outcome::TimedOut if silent => {} // an engine that hangs has been charged for its silence
            // Guards against jams no answer tells of: one that turns work away or, among many fronts, lets it
            // run into the client's limit is full until it reports again, whatever it said before.
            Outcome::NoCapacity | Outcome::TimedOut => {
                let pooled = self.limits.scope() == LimitScope::Pooled;
                if pooled || x.outcome == Outcome::NoCapacity {
                    let full = ConcurrencyLimits::full_engine(self.engines.size[e].threads);
                    self.load_reports.assume_full(e, full);
                }
                let engines = &self.engines;
                self.limits
                    .shrink(e, load.threads, |e| engines.size[e].threads);
            }
            // A crash resets all that an engine holds at once; single resets are the network's.
            Outcome::Error | Outcome::Reset | Outcome::Unreachable => {
                self.peer_evidence.proved_right(e);
                self.outliers.charge(e, unreachable.charge(x.outcome), now);
            }
            Outcome::Cancelled | Outcome::NotSent => {}
        }
        let s = &self.statements[&x.statement];
        if was_over {
            self.forget(x.statement);
            self.enqueue_first_in_order(key);
        } else if x.settled {
            let slo = self.slo_time(s);
            self.close(
                x.statement,
                x.outcome == Outcome::Completed && now - s.first_arrival <= slo,
            );
        } else if let Some(reason) = self.no_retry_reason(s) {
            self.shed(x.statement, reason);
        } else {
            self.enqueue(x.statement);
        }
    }

    fn completed(&mut self, x: &Ended, threads: f64) {
        let (now, e, took) = (self.now, x.engine, x.took as f64);
        let s = &self.statements[&x.statement];
        let (w, spilled, base) = (
            s.asked.workload,
            s.executions[x.execution].spilled,
            self.estimated_run(s),
        );
        let slo = self.slo_time(s) as f64;
        self.engines.heard_at[e] = now;
        self.outliers.answered(e);
        let seconds = took / SECOND as f64;
        self.load.blend(
            Load {
                threads,
                memory: s.load.memory,
            },
            MIN_SAMPLE_WEIGHT * seconds.min(1.0),
        );
        let answer = AnsweredAttempt {
            engine: e,
            threads,
            took,
            slo,
            own_threads: self.engines.own[e].threads,
        };
        let engines = &self.engines;
        let pool = |limits: &ConcurrencyLimits| limits.pool(engines.in_use());
        self.limits
            .answered(&answer, pool, |e| engines.size[e].threads);
        self.learned[w].completed(
            MIN_SAMPLE_WEIGHT,
            (took, base),
            if spilled {
                1.0
            } else {
                MEMORY_BIAS_DECAY_PER_ANSWER
            },
        );
    }
}
