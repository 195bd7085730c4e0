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
        let (own, size) = (self.engines.own[e], self.engines.size[e]);
        let count = self.engines.in_flight[e].len() as f64;
        let each = if self.many {
            self.load.threads
        } else {
            positive_or(own.threads, 1.0) / count.max(1.0)
        };
        let in_hand = self
            .agreed
            .report
            .active_statements(report, size.threads / each.max(0.01));
        let active = in_hand.map_or(0.0, |active| (active - count).max(0.0));
        let need = if self.many { self.load.memory } else { 0.0 };
        let granted = self
            .agreed
            .report
            .granted_memory(report)
            .map(|x| x * size.memory - own.memory);
        // Where nothing tells what an engine holds, a report leaves what others are taken to hold.
        let threads = if in_hand.is_some() {
            active * each
        } else {
            self.engines.others[e].threads
        };
        let reported = Load {
            threads,
            memory: granted.unwrap_or(active * need).max(0.0),
        };
        (self.engines.own_at_report[e], self.engines.reported_at[e]) = (own, self.now);
        self.engines.others[e].blend(reported, if self.many { 1.0 } else { 0.5 });
        self.engines
            .learn_usual(e, reported.times(1.0 / size.threads), MIN_SAMPLE_WEIGHT);
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
            self.lose_credit(
                e,
                if all_quiet {
                    CREDIT_FACTOR_UNREACHABLE
                } else {
                    CREDIT_FACTOR_FAILED
                },
            );
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
        // One connection late to come up tells little of its engine; two in a row tell that it is gone.
        let (before, unreached) = self
            .engines
            .count_unreached(e, x.outcome, now + EJECTION_TIME);
        if unreached.max(before) > 1 {
            // It could not be reached: once it is back it may have restarted before the list says so.
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
                if self.many || x.outcome == Outcome::NoCapacity {
                    self.engines.others[e].threads =
                        MAX_THREADS_PER_CORE * self.engines.size[e].threads;
                }
                self.adjust_bound(e, -LIMIT_SHRINK_PER_LATE_THREAD * load.threads);
            }
            // A crash resets all that an engine holds at once; single resets are the network's.
            Outcome::Error | Outcome::Reset | Outcome::Unreachable => {
                self.proved(e, true);
                let gone = x.outcome == Outcome::Unreachable && unreached > 1;
                self.lose_credit(
                    e,
                    if gone {
                        CREDIT_FACTOR_UNREACHABLE
                    } else {
                        CREDIT_FACTOR_FAILED
                    },
                )
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

    fn lose_credit(&mut self, e: EngineId, left: f64) {
        self.engines.credit[e] *= left;
        if left <= CREDIT_FACTOR_UNREACHABLE {
            self.engines.ejected_until[e] = self.now + EJECTION_TIME;
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
        self.engines.credit[e] = (self.engines.credit[e] + CREDIT_PER_ANSWER).min(1.0);
        let seconds = took / SECOND as f64;
        self.load.blend(
            Load {
                threads,
                memory: s.load.memory,
            },
            MIN_SAMPLE_WEIGHT * seconds.min(1.0),
        );
        let (bound, held) = self.engines.totals(if self.many { None } else { Some(e) });
        if took <= slo * QUICK_ANSWER_SLO_SHARE && held + 2.0 * threads >= bound {
            let growth = if self.many {
                LIMIT_GROWTH_PER_THREAD_SECOND
            } else {
                1.0 / bound.max(1.0)
            };
            self.adjust_bound(e, threads * seconds * growth);
        } else if took > slo {
            self.adjust_bound(e, -LIMIT_SHRINK_PER_LATE_THREAD * threads);
        }
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

    /// Moves an engine's bound, or all alike: a front among many hears too seldom of each to know its own.
    fn adjust_bound(&mut self, e: EngineId, threads: f64) {
        let moved = if self.many {
            0..self.engines.open.len()
        } else {
            e..e + 1
        };
        let all: f64 = self.engines.bound[moved.clone()].iter().sum();
        for e in moved {
            let cores = self.engines.size[e].threads;
            let least = MIN_LIMIT_SHARE * INITIAL_THREADS_PER_CORE * cores / self.agreed.fronts;
            let bound = self.engines.bound[e] * (1.0 + threads / all.max(0.01)).max(0.5);
            self.engines.bound[e] = bound.clamp(least, MAX_THREADS_PER_CORE * cores);
        }
    }
}
