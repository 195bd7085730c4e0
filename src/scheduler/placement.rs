//! Where a statement may go, and where it goes.

use super::*;

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
        let bears = self.now >= self.engines.cold_until[e] || self.cold_work_with(e, s).is_some();
        let open = open && self.now < s.deadline && self.is_first_in_order(id, s);
        open && bears
            && (s.executions.is_empty() || self.is_safe_repeat(s, entry) && self.tries_left(s))
    }

    /// Whether no harm comes of sending it there, whatever earlier executions of it may have done.
    fn is_safe_repeat(&self, s: &Statement, at: &EngineEntry) -> bool {
        let workload = self.workload(s);
        let dropped = |x: &Execution| {
            let earlier = self.engines.listed[x.engine].as_ref();
            let same = earlier.is_some_and(|x| at.drops_repeats_of(x, workload.dedup_group));
            same && at.mode == Mode::Ready && self.now - x.sent_at < workload.dedup_window
        };
        s.may_have_run().all(|x| match workload.effect {
            Effect::Idempotent => true,
            Effect::NonIdempotent => false,
            Effect::Deduplicated => dropped(x),
        })
    }

    /// Whether any engine may have it by what earlier executions of it may have done: else it waits in vain.
    pub(super) fn has_safe_engine(&self, s: &Statement) -> bool {
        s.executions.is_empty()
            || self
                .engines
                .listed
                .iter()
                .flatten()
                .any(|at| self.is_safe_repeat(s, at))
    }

    pub(super) fn tries_left(&self, s: &Statement) -> bool {
        self.retry_denied(s).is_none()
    }

    /// Why a statement may not be attempted again, if it may not.
    pub(super) fn retry_denied(&self, s: &Statement) -> Option<RejectReason> {
        let within = |budget| {
            self.further_executions
                .allows_one_more(budget, &self.admissions, self.now)
        };
        if s.asked.pinned.is_some() {
            Some(RejectReason::StickyAttemptFailed)
        } else if s.executions.len() >= self.agreed.most_executions {
            Some(RejectReason::AttemptsExhausted)
        } else if !self.agreed.further.is_none_or(within) {
            Some(RejectReason::RetryBudgetSpent)
        } else {
            None
        }
    }

    pub(super) fn is_first_in_order(&self, id: StatementId, s: &Statement) -> bool {
        let resumed = |q: &OrderQueue| q.paused_until <= self.now || !s.executions.is_empty();
        let first =
            |q: &OrderQueue| q.statements.front() == Some(&id) && q.unresolved == 0 && resumed(q);
        self.order_queues.of(s.asked.key).is_none_or(first)
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
                * self.engines.warmth(e, self.now, &self.agreed);
            let memory = size.memory
                * INITIAL_MEMORY_SHARE
                * (bound / (INITIAL_THREADS_PER_CORE * size.threads)).min(1.0);
            // What this front has added since the last report, the others are taken to have added too.
            let (mut others, mut added) = (self.engines.others[e], own);
            added.add(self.engines.own_at_report[e], -1.0);
            others.add(added, self.agreed.fronts - 1.0);
            let cores = size.threads * self.engines.warmth(e, self.now, &self.agreed);
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

    /// What an earlier life of this front may just have sent is not known and counts as all it might.
    pub(super) fn start_warm_up(&mut self, e: EngineId, until: Micros) {
        self.engines.cold_until[e] = until;
        let fresh = self.started == Some(self.now);
        let work = if fresh {
            self.cold_work(e).1
        } else {
            self.engines.cold_work[e].0
        };
        self.engines.cold_work[e] = (work, self.now);
    }

    /// What is counted at a cold engine once this is sent there now; None: not now. One longer than this
    /// front's share of the burst goes in slots that begin at random: idle or fresh fronts rush no engine.
    pub(super) fn cold_work_with(&self, e: EngineId, s: &Statement) -> Option<f64> {
        let (workload, (pushed, most)) = (self.workload(s), self.cold_work(e));
        let work = self.learned[s.asked.workload].usual_work(workload.threads, workload.slo_time);
        let slots = self
            .engines
            .could_do(e, work * self.known, self.now, &self.agreed)
            - self.first_slot;
        let past = if self.known > MAX_FRONTS_WITHOUT_SLOTS {
            slots.rem_euclid(1.0) * work
        } else {
            0.0
        };
        let after = if work > most {
            work - past
        } else {
            pushed + work
        };
        Some(after).filter(|after| {
            if work > most {
                pushed <= 0.0 && past <= most
            } else {
                *after <= most
            }
        })
    }

    /// Work pushed at a cold engine and not yet worked off, and how much of it there may be. It drains at
    /// this front's share of what the engine can do by now: any window holds less than the overload factor.
    pub(super) fn cold_work(&self, e: EngineId) -> (f64, f64) {
        let rate = self.engines.warmth(e, self.now, &self.agreed) * self.engines.size[e].threads
            / self.known;
        let burst = (self.agreed.overload_factor * OVERLOAD_FACTOR_SHARE - 0.5).max(0.1) * rate;
        (
            self.engines.cold_work_left(e, rate, self.now),
            burst * self.agreed.fall_window as f64,
        )
    }
}
