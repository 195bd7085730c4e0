//! Admission, which statements are shed and executions cancelled, and how a statement ends.

use super::*;
use crate::policy::idempotency::{answer_without_result, Answer};

impl Scheduler {
    /// Whether the engine that holds its transaction takes nothing new any more.
    pub(super) fn pinned_engine_closed(&self, s: &Statement) -> bool {
        s.asked
            .pinned
            .is_some_and(|e| !self.engines.open.get(e).is_some_and(|open| *open))
    }

    /// Why a statement is shed at once, if it is: no engine may have it, or it must be late, and that is worth
    /// little or others wait behind it in the queue of its order key: running it would make them late too.
    pub(super) fn shed_reason(&self, s: &Statement) -> Option<RejectReason> {
        let late = || self.now >= self.last_timely_start(s);
        if self.workload(s).late_share < MIN_LATE_SHARE_TO_RUN && late() {
            Some(RejectReason::TooLate)
        } else if self.order_queues.is_shared(s.asked.key) && late() {
            Some(RejectReason::OrderKeyBlocked)
        } else if self.pinned_engine_closed(s) {
            Some(RejectReason::StickyEngineClosed)
        } else if !self.has_safe_engine(s) {
            Some(RejectReason::NoSafeEngine)
        } else {
            None
        }
    }

    /// Why a held statement whose standing has changed ends now, if it does.
    pub(super) fn expiry_reason(&self, s: &Statement) -> Option<RejectReason> {
        if self.now >= s.deadline - REJECT_BEFORE_DEADLINE {
            return Some(RejectReason::Expiring);
        }
        // Past its latest start one goes ahead of all, unless others wait that can still be in time.
        let others_wait = || self.classes.iter().any(|c| !c.ready.is_empty());
        let pressed = || self.now >= self.latest_start(s) && others_wait();
        self.shed_reason(s)
            .or_else(|| pressed().then_some(RejectReason::LatestStartPassed))
    }

    /// Why a statement whose attempt ended without a result has none again, if it has none.
    pub(super) fn no_retry_reason(&self, s: &Statement) -> Option<RejectReason> {
        if !self.has_safe_engine(s) {
            return Some(RejectReason::NoSafeEngine);
        }
        self.check_retry(s).reject_reason().or_else(|| {
            let expiring = self.now >= s.deadline - REJECT_BEFORE_DEADLINE;
            expiring.then_some(RejectReason::Expiring)
        })
    }

    /// Admits what the engines can serve of all that is asked, by the penalty at the fleet's conformance:
    /// each front sheds the same share on arrival. What is beyond customers' shares weighs as in the paper.
    pub(super) fn set_admission(&mut self, fleet: &FleetDemand) {
        let (customers, workloads) = (self.agreed.customers.len().max(1), &fleet.workloads);
        self.beyond = beyond(&fleet.customers_per_s, &self.agreed.customers);
        let split = |(o, learned): (&Demand, &Learned)| o.split(learned.beyond.value);
        let parts: Vec<Demand> = workloads
            .iter()
            .zip(&self.learned)
            .flat_map(split)
            .collect();
        let rank = |n: usize| {
            penalty(
                parts[n].conformance(PRIOR_TIMELY_STATEMENTS),
                self.delta(n / 2 * customers * 2 + n % 2),
            )
        };
        let late = fleet.late_share > MAX_FLEET_LATE_SHARE;
        let served =
            |o: &Demand| o.work * ADMITTED_PER_ANSWERED * if late { o.timely } else { o.ended };
        let asked: f64 = workloads.iter().map(Demand::work_asked).sum();
        let most = workloads
            .iter()
            .map(served)
            .sum::<f64>()
            .max(MIN_ADMITTED_SHARE * asked);
        (self.admitted, self.demand) = (admit_by_rank(most, &parts, rank), fleet.relative);
    }

    /// Whether the fleet admits a statement; what an open transaction waits for always.
    pub(super) fn admits(&mut self, s: &Arrival, over: bool) -> bool {
        let share = self
            .admitted
            .get(s.workload * 2 + usize::from(over))
            .copied()
            .unwrap_or(1.0);
        share >= 1.0 || s.pinned.is_some() || self.random.next() < share
    }

    pub(super) fn cancel_to_retry(&mut self, id: StatementId, n: usize) {
        let s = &self.statements[&id];
        let in_time = self.now + (self.learned[s.asked.workload].run.value as Micros) < s.deadline;
        let again = self.workload(s).effect == Effect::Idempotent && self.may_retry(s) && in_time;
        if again && self.agreed.cancel && !s.over {
            self.actions.push(Action::Cancel {
                statement: id,
                execution: n,
            });
        }
    }

    /// Ends a statement unanswered: a rejection where trying again is harmless, else an abort.
    pub(super) fn shed(&mut self, id: StatementId, reason: RejectReason) {
        let s = &self.statements[&id];
        let (workload, ran) = (self.workload(s), s.may_have_run().next().is_some());
        let (w, first) = (
            s.asked.workload,
            s.first_arrival == s.deadline - s.asked.time_left,
        );
        if answer_without_result(workload, ran) == Answer::Reject {
            let wait = RETRY_AFTER_SECONDS * (0.5 + self.random.next()) * SECOND as f64;
            let retry_after = self
                .agreed
                .longest_retry_after
                .map(|most| most.min(wait as Micros));
            self.actions.push(Action::Reject {
                statement: id,
                retry_after,
                reason,
            });
        } else {
            self.actions.push(Action::Abort {
                statement: id,
                reason,
            });
        }
        self.learned[w].shed += f64::from(u8::from(first));
        self.close(id, false);
    }

    /// Counts a statement that is over, and lets go of all it holds but executions still out.
    pub(super) fn close(&mut self, id: StatementId, timely: bool) {
        self.dequeue(id);
        let Some(s) = self.statements.get_mut(&id).filter(|s| !s.over) else {
            return;
        };
        s.over = true;
        let (class, key) = (s.class, s.asked.key);
        let unresolved = s.in_flight();
        let cancel = |n: &usize| Action::Cancel {
            statement: id,
            execution: *n,
        };
        self.actions
            .extend(unresolved.iter().filter(|_| self.agreed.cancel).map(cancel));
        let counts = &mut self.classes[class];
        counts.in_flight.remove(&id);
        let before = counts.on_top();
        counts.count(self.now, CONFORMANCE_HALF_LIFE, timely);
        if counts.on_top() != before {
            for other in counts.in_flight.clone() {
                self.prioritise(other);
            }
        }
        self.order_queues.remove(key, id, unresolved.len());
        self.enqueue_first_in_order(key);
        self.forget(id);
    }
}
