//! What answers, notes, reports and silence tell of engines and workloads.

use super::*;

impl Scheduler {
    /// Asks engines for their load where only probes bring it, in turn, as often as statements pay for.
    pub(super) fn probe(&mut self) {
        // All fronts together probe evacuated zones: each draws at its share of the rate. Where
        // probes are not allowed a statement or two go there instead, as to a cold engine.
        let rate = FLEET_PROBES_PER_SECOND * SWEEP_INTERVAL as f64 / SECOND as f64;
        if !self.engines.evacuated.is_empty() && self.random.next() * self.up < rate {
            match self.engines.pick_evacuated(self.random.next()) {
                Some(engine) if self.agreed.probes => {
                    self.actions.push(Action::ProbeEvacuated { engine })
                }
                other => other.into_iter().for_each(|e| self.found_healthy(e, true)),
            }
        }
        let each = self.agreed.budgets.map_or(f64::INFINITY, |b| {
            share_of(b.probes, self.demand, self.known)
        });
        let (count, asks) = (
            self.engines.open.len(),
            self.agreed.report_on_probe && self.agreed.probes,
        );
        for _ in 0..count {
            let e = self.next_probed % count;
            if !asks
                || self.probe_allowance < 1.0
                || self.engines.probed_at[e] > self.now - MIN_PROBE_INTERVAL
            {
                return;
            }
            self.next_probed = e + 1;
            if self.engines.open[e] && self.probe_tokens.take(each * count as f64, self.now) {
                self.probe_allowance -= 1.0;
                self.engines.probed_at[e] = self.now;
                self.actions.push(Action::Probe { engine: e });
            }
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

    /// Guards against executions that are taken and never answered, whatever the cause: a hung engine,
    /// answers lost on the way, a statement stuck in a sound engine. Where notes of progress are agreed, each
    /// execution must be heard of; else its engine. It could stop executions whose notes alone are lost.
    pub(super) fn check_silence(&mut self, e: EngineId) {
        let silent = |(id, n): &&(StatementId, usize)| {
            let s = &self.statements[id];
            let x = &s.executions[*n];
            let tells = self.engines.listed[e]
                .as_ref()
                .is_some_and(|entry| entry.sends_progress);
            let run = self.learned[s.asked.workload].pace.value * self.estimated_run(s);
            let (heard, patience) = match self.agreed.progress_every * Micros::from(tells) {
                0 => (
                    x.sent_at.max(self.engines.heard_at[e]),
                    SECOND as f64 + MAX_SILENT_RUNS * run,
                ),
                every => (x.heard_at, MAX_SILENT_PROGRESS_GAPS * every as f64),
            };
            !x.silent && (self.now - heard.max(self.running_since)) as f64 > patience
        };
        let stuck: Vec<_> = self.engines.in_flight[e]
            .iter()
            .filter(silent)
            .copied()
            .collect();
        for (id, n) in stuck {
            let all_quiet = self.engines.heard_at[e] <= self.statements[&id].executions[n].heard_at;
            let charge = if all_quiet {
                Charge::Unreachable
            } else {
                Charge::Failed
            };
            self.outliers.charge(e, charge, self.now);
            self.cancel_to_retry(id, n);
            self.statements
                .entry(id)
                .and_modify(|s| s.executions[n].silent = true);
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
            let run = (self.now - execution.sent_at) as f64;
            let s = &self.statements[&id];
            let expected = self.learned[s.asked.workload].pace.value * self.estimated_run(s);
            // Guards against a bad plan, drawn anew at each execution, not against a long statement.
            let bad = expected > 0.0
                && run > expected
                && run / done.max(0.001) > BAD_PLAN_RUN_FACTOR * expected;
            if bad && s.executions.len() == 1 {
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
                    self.proved(e, false);
                }
                self.found_healthy(e, true);
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
                self.proved(e, true);
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
