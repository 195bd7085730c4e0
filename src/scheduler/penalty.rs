//! In which order held statements leave, by the paper's penalty, and how one is sent.

use super::*;

impl ServiceClass {
    fn conformance(&self) -> f64 {
        (self.timely + PRIOR_TIMELY_STATEMENTS) / (self.counted + PRIOR_TIMELY_STATEMENTS)
    }

    pub(super) fn on_top(&self) -> bool {
        self.conformance() >= CONFORMANCE_LEVELS[1]
    }
}

/// The larger of opportunity cost and marginal gain at a conformance.
pub fn penalty(conformance: f64, delta: f64) -> f64 {
    let last = CONFORMANCE_LEVELS.len() - 2;
    let level = (0..last)
        .find(|i| conformance >= CONFORMANCE_LEVELS[i + 1])
        .unwrap_or(last);
    let (high, low) = (CONFORMANCE_LEVELS[level], CONFORMANCE_LEVELS[level + 1]);
    // Departure: the lowest level has an opportunity cost too, or a class deep in it would always rank last.
    let cost = (high - conformance) / (high - low);
    let gain = if level > 0 {
        (conformance - low) / (high - low)
    } else {
        0.0
    };
    cost.max(gain).powi(2) * delta
}

impl Scheduler {
    /// Lets held statements leave: those past their latest start, then by penalty, ties by arrival.
    pub(super) fn release(&mut self) {
        let heads = |held: &BTreeSet<StatementId>| {
            held.iter()
                .copied()
                .take(MAX_CANDIDATES_PER_CLASS)
                .collect::<Vec<_>>()
        };
        // Past its latest start a statement could only answer after its client gives up: now or never.
        let stuck: Vec<_> = heads(&self.overdue)
            .into_iter()
            .filter(|id| !self.try_release(*id))
            .collect();
        for id in stuck {
            self.shed(id, RejectReason::NoCapacityAtLatestStart);
        }
        let mut waiting: Vec<(f64, usize)> = Vec::new();
        for class in 0..self.classes.len() {
            self.classes[class].fade(self.now, CONFORMANCE_HALF_LIFE);
            waiting.push((
                penalty(self.classes[class].conformance(), self.delta(class)),
                class,
            ));
        }
        while !waiting.is_empty() {
            let oldest = |class: usize| Reverse(self.classes[class].ready.first().copied());
            let first = waiting
                .iter()
                .max_by(|a, b| a.0.total_cmp(&b.0).then(oldest(a.1).cmp(&oldest(b.1))));
            let Some(&(_, class)) = first else { break };
            let left = heads(&self.classes[class].ready)
                .into_iter()
                .any(|id| self.try_release(id));
            if !left || self.classes[class].ready.is_empty() {
                waiting.retain(|w| w.1 != class);
            }
        }
        if self.classes.iter().all(|c| c.ready.is_empty()) {
            heads(&self.late)
                .into_iter()
                .for_each(|id| _ = self.try_release(id));
        }
    }

    pub(super) fn delta(&self, class: usize) -> f64 {
        let w = class / 2 / self.agreed.customers.len().max(1);
        let share = if class % 2 == 1 {
            self.agreed.over_share
        } else {
            1.0
        };
        let work = self.learned[w].work.value.max(1000.0) / SECOND as f64;
        self.agreed.workloads[w].importance * share / work
    }

    fn try_release(&mut self, id: StatementId) -> bool {
        self.place(id).map(|e| self.execute(id, e)).is_some()
    }

    fn execute(&mut self, id: StatementId, e: EngineId) {
        self.dequeue(id);
        self.placement_start = self.random.next();
        let (now, priority) = (self.now, self.priority(id));
        let s = &self.statements[&id];
        let (class, load, latest) = (s.class, s.load, self.latest_start(s));
        let slow_start = self.check_slow_start(e, s);
        self.slow_start.sent(e, slow_start, now);
        let most = self.engines.size[e].memory * self.agreed.largest_grant;
        let grants = self.agreed.grants && s.asked.memory_mb > 0.0;
        let grant_mb = if grants {
            (s.load.memory * MEMORY_GRANT_FACTOR).min(most)
        } else {
            0.0
        };
        if self.agreed.priorities || grant_mb > 0.0 {
            self.actions.push(Action::Terms {
                statement: id,
                grant_mb,
                priority,
            });
        }
        self.actions.push(Action::Execute {
            statement: id,
            engine: e,
        });
        let Some(s) = self.statements.get_mut(&id) else {
            return;
        };
        if !s.executions.is_empty() {
            self.retry_budget.retried(now);
        }
        self.engines.add(e, (id, s.executions.len()), load);
        s.priority = priority;
        s.executions.push(Execution {
            engine: e,
            sent_at: now,
            heard_at: now,
            ..Execution::default()
        });
        self.classes[class].in_flight.insert(id);
        self.due.insert((latest.max(now + 1), id));
    }

    fn priority(&self, id: StatementId) -> u8 {
        let s = &self.statements[&id];
        match () {
            _ if self.now >= self.latest_start(s) => 3,
            _ if self.classes[s.class].on_top() => 0,
            _ => 2,
        }
    }

    pub(super) fn prioritise(&mut self, id: StatementId) {
        let priority = self.priority(id);
        let Some(s) = self.statements.get_mut(&id).filter(|s| !s.over) else {
            return;
        };
        if s.priority != priority && self.agreed.priorities {
            s.priority = priority;
            self.actions.push(Action::Terms {
                statement: id,
                grant_mb: 0.0,
                priority,
            });
        }
    }
}
