//! Which statements and executions are given up, and how a statement ends.

use super::*;

impl Front {
    /// Whether the engine that holds its transaction takes nothing new any more.
    pub(super) fn stranded(&self, s: &Statement) -> bool {
        s.asked.pinned.is_some_and(|e| !self.engines.open.get(e).is_some_and(|open| *open))
    }

    /// Whether a statement is given up at once: no engine may have it, or it must be late, and that is worth
    /// little or others wait behind it in the queue of its order key: running it would make them late too.
    pub(super) fn hopeless(&self, s: &Statement) -> bool {
        let blocks = self.order_queues.of(s.asked.key).is_some_and(|q| q.statements.len() > 1);
        let late = self.now >= self.last_timely_start(s);
        self.stranded(s) || !self.goes_on(s) || late && (blocks || self.workload(s).late_share < LATE_WORTH)
    }

    /// The fleet as one lets in what its engines bear, first of all where the penalty is highest by what all
    /// fronts have kept together: each front turns away the same, before it asks an engine. What is beyond
    /// customers' shares weighs as the paper has it.
    pub(super) fn bears(&mut self, told: &Asked) {
        let (customers, offers) = (self.agreed.customers.len().max(1), &told.offers);
        let each = beyond(&told.customers, &self.agreed.customers);
        let apart = |(o, learned): (&Offer, &Learned)| o.apart(learned.beyond.value);
        let lines: Vec<Offer> = offers.iter().zip(&self.learned).flat_map(apart).collect();
        let delta = |n: usize| self.delta(n / 2 * customers * 2 + n % 2);
        let rank = |n: usize| penalty(lines[n].conformance(UNSEEN), delta(n));
        let borne = |o: &Offer| o.work * LET_IN * if told.missed > MISSED { o.timely } else { o.ended };
        let asked: f64 = offers.iter().map(Offer::work_asked).sum();
        let most = offers.iter().map(borne).sum::<f64>().max(LEAST_LET_IN * asked);
        (self.let_in, self.beyond, self.part) = (share_out(most, &lines, rank), each, told.part);
    }

    /// Whether the fleet lets a statement in; what an open transaction waits for always.
    pub(super) fn lets_in(&mut self, s: &Arrival, over: bool) -> bool {
        let share = self.let_in.get(s.workload * 2 + usize::from(over)).copied().unwrap_or(1.0);
        share >= 1.0 || s.pinned.is_some() || self.chance.next() < share
    }

    pub(super) fn stop(&mut self, id: StatementId, n: usize) {
        let s = &self.statements[&id];
        let in_time = self.now + (self.learned[s.asked.workload].run.value as Micros) < s.ends;
        let again = self.workload(s).effect == Effect::Idempotent && self.tries_left(s) && in_time;
        if again && self.agreed.cancel && !s.over {
            self.actions.push(Action::Cancel { statement: id, execution: n });
        }
    }

    /// Ends a statement unanswered: a rejection where trying again is harmless, else an abort.
    pub(super) fn give_up(&mut self, id: StatementId) {
        let s = &self.statements[&id];
        let (workload, ran) = (self.workload(s), s.may_have_run().next().is_some());
        let (w, first) = (s.asked.workload, s.first_asked == s.ends - s.asked.time_left);
        let harmless = match workload.effect {
            Effect::Idempotent => true,
            Effect::Deduplicated => !ran || workload.dedup_group == DedupGroup::All,
            Effect::NonIdempotent => !ran,
        };
        if harmless {
            let wait = COME_BACK * (0.5 + self.chance.next()) * SECOND as f64;
            let retry_after = self.agreed.longest_retry_after.map(|most| most.min(wait as Micros));
            self.actions.push(Action::Reject { statement: id, retry_after });
        } else {
            self.actions.push(Action::Abort { statement: id });
        }
        self.learned[w].given_up += f64::from(u8::from(first));
        self.close(id, false);
    }

    /// Counts a statement that is over, and lets go of all it holds but executions still out.
    pub(super) fn close(&mut self, id: StatementId, timely: bool) {
        self.unhold(id);
        let Some(s) = self.statements.get_mut(&id).filter(|s| !s.over) else { return };
        s.over = true;
        let (class, key) = (s.class, s.asked.key);
        let unresolved = s.unended();
        let cancel = |n: &usize| Action::Cancel { statement: id, execution: *n };
        self.actions.extend(unresolved.iter().filter(|_| self.agreed.cancel).map(cancel));
        let counts = &mut self.classes[class];
        counts.out.remove(&id);
        let before = counts.on_top();
        counts.count(self.now, HALF_LIFE, timely);
        if counts.on_top() != before {
            for other in counts.out.clone() {
                self.prioritise(other);
            }
        }
        self.order_queues.remove(key, id, unresolved.len());
        self.hold_first_in_order(key);
        self.forget(id);
    }
}
