//! Where a statement may go, and where it goes.

use super::*;
use crate::policy::idempotency::{has_safe_engine, is_safe_repeat};

impl Scheduler {
    /// The one gate: whether the rules let this statement be sent to this engine now; never a second copy.
    fn may_execute(&self, id: StatementId, e: EngineId) -> bool {
        let s = &self.statements[&id];
        let workload = self.workload(s);
        let Some(entry) = self.engines.entry(e) else {
            return false;
        };
        let open = !s.over && !s.is_in_flight() && s.allows(workload, entry);
        let open = open
            && s.asked.pinned.is_none_or(|p| p == e)
            && entry.protocols & s.asked.protocols != 0;
        let bears = self.check_slow_start(e, s) != SlowStartOutcome::Denied;
        let open = open && self.now < s.deadline && self.is_first_in_order(id, s);
        open && bears
            && (s.executions.is_empty() || self.is_safe_repeat(s, entry) && self.may_retry(s))
    }

    fn is_safe_repeat(&self, s: &Statement, at: &EngineEntry) -> bool {
        is_safe_repeat(self.workload(s), s, &self.engines.listed, at, self.now)
    }

    /// Whether any engine may have it by what earlier executions of it may have done: else it waits in vain.
    pub(super) fn has_safe_engine(&self, s: &Statement) -> bool {
        has_safe_engine(self.workload(s), s, &self.engines.listed, self.now)
    }

    /// Whether a statement may be attempted again.
    pub(super) fn check_retry(&self, s: &Statement) -> RetryOutcome {
        let request = RetryRequest {
            attempts: s.executions.len(),
            sticky: s.asked.pinned.is_some(),
        };
        self.retry_budget.check(request, self.now)
    }

    pub(super) fn may_retry(&self, s: &Statement) -> bool {
        self.check_retry(s) == RetryOutcome::Allowed
    }

    pub(super) fn is_first_in_order(&self, id: StatementId, s: &Statement) -> bool {
        let attempted = !s.executions.is_empty();
        self.order_queues
            .is_first(s.asked.key, id, attempted, self.now)
    }

    pub(super) fn place(&self, id: StatementId) -> Option<EngineId> {
        let s = &self.statements[&id];
        let workload = self.workload(s);
        let stands = (workload.waits_for_data || workload.holds_data) && s.asked.data_set.is_some();
        let is_bound = |w: &Workload| w.kinds.is_some() || w.locations.is_some();
        let (mut best, mut best_room) = (None, f64::NEG_INFINITY);
        // Where all engines that it may use are suspected, none is.
        let may = |e: &EngineId| {
            self.engines
                .entry(*e)
                .is_some_and(|l| s.allows(workload, l))
        };
        let all = || (0..self.engines.open.len()).filter(may);
        let heeds = !self.peer_reports.adverse.is_empty()
            && all().any(|e| self.unsuspected_share(e) >= 1.0);
        let avoid =
            !self.engines.evacuated.is_empty() && all().any(|e| !self.engines.is_evacuated(e));
        let (pool, out) = self.engines.open_totals();
        let (memory_pool, memory_out) = self
            .engines
            .open_memory(INITIAL_MEMORY_SHARE / INITIAL_THREADS_PER_CORE);
        // Among many fronts the pool bounds a front's threads and memory; with nothing out it may send one.
        let beyond = out + workload.threads > pool || memory_out + s.load.memory > memory_pool;
        let over = self.many && out > 0.0 && beyond;
        let count = self.engines.open.len();
        // Fronts that know the same must not all pick the same engine: each starts its look elsewhere.
        let first = (self.placement_start * count as f64) as usize;
        let (guessed, mut drawn) = (self.many && !self.agreed.report.names_load(), Vec::new());
        for e in (0..count).map(|i| (i + first) % count) {
            let trusted = s.executions.is_empty() || self.engines.credit[e] >= TRUSTED_CREDIT;
            let reached = self.engines.send_capacity[e] > 0 || s.asked.pinned.is_some();
            let away = !reached
                || self.engines.ejected_until[e] > self.now
                || avoid && self.engines.is_evacuated(e);
            if !trusted || away || !self.may_execute(id, e) {
                continue;
            }
            let holds =
                |o: &Statement| self.workload(o).holds_data && o.asked.data_set == s.asked.data_set;
            let locked = || {
                self.engines.in_flight[e]
                    .iter()
                    .any(|(other, _)| holds(&self.statements[other]))
            };
            if stands && (self.engines.holds(e, s.asked.data_set, self.now) || locked()) {
                continue;
            }
            let Some(entry) = &self.engines.listed[e] else {
                continue;
            };
            let (size, own) = (self.engines.size[e], self.engines.own[e]);
            let credit = (self.engines.credit[e] / TRUSTED_CREDIT).min(1.0);
            let credit = if heeds {
                credit * self.unsuspected_share(e)
            } else {
                credit
            };
            let bound = self.engines.bound[e]
                * credit.max(0.01)
                * self.slow_start.capacity_share(e, self.now);
            let memory = size.memory
                * INITIAL_MEMORY_SHARE
                * (bound / (INITIAL_THREADS_PER_CORE * size.threads)).min(1.0);
            // What this front has added since the last report, the others are taken to have added too.
            let (mut others, mut added) = (self.engines.others[e], own);
            added.add(self.engines.own_at_report[e], -1.0);
            others.add(added, self.agreed.fronts - 1.0);
            let cores = size.threads * self.slow_start.capacity_share(e, self.now);
            let whole = MAX_THREADS_PER_CORE * cores;
            let share = if self.many { whole * credit } else { bound };
            let room = share.min(whole - others.threads) - own.threads;
            let spare = IDLE_THREADS_PER_CORE * cores - others.threads - own.threads;
            let fresh = self.agreed.report.names_load()
                && self.engines.reported_at[e] >= self.now - FRESH_REPORT_AGE;
            let within = !over || spare >= workload.threads && fresh;
            let taken = own.memory + s.load.memory;
            let full = taken + others.memory > size.memory;
            let fits = room >= workload.threads && (taken <= memory || self.many) && !full;
            let idle = if self.many {
                out <= 0.0
            } else {
                self.engines.is_idle(e) && room > 0.0 && !full
            };
            let needs = |w: &Workload| is_bound(w) && w.allows(entry);
            let scarce = !is_bound(workload) && self.agreed.workloads.iter().any(needs);
            let room = if scarce {
                room - SCARCE_ENGINE_THREADS_PER_CORE * size.threads
            } else {
                room
            };
            if (idle || fits && within) && guessed {
                drawn.push((e, room.max(MIN_LIMIT_SHARE)));
            } else if (idle || fits && within) && room > best_room {
                (best, best_room) = (Some(e), room);
            }
        }
        // With no report of what others hold, the roomiest is the largest for all fronts: each draws by room.
        draw_weighted((self.placement_start * count as f64).fract(), &drawn).or(best)
    }

    /// An engine warms up from then on, as far as is known.
    pub(super) fn start_warm_up(&mut self, e: EngineId, started: Micros) {
        let request = self.slow_start_request(e, 0.0);
        let front_just_started = self.started == Some(self.now);
        self.slow_start
            .start(e, started, &request, front_just_started);
    }

    /// Whether an engine that may be warming up bears this statement now.
    pub(super) fn check_slow_start(&self, e: EngineId, s: &Statement) -> SlowStartOutcome {
        let workload = self.workload(s);
        let work = self.learned[s.asked.workload].usual_work(workload.threads, workload.slo_time);
        self.slow_start.check(&self.slow_start_request(e, work))
    }

    fn slow_start_request(&self, engine: EngineId, work: f64) -> SlowStartRequest {
        SlowStartRequest {
            engine,
            cores: self.engines.size[engine].threads,
            work,
            fronts: self.known,
            now: self.now,
        }
    }
}
