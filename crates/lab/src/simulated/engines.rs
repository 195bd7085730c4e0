//! The engines of a simulated fleet, and the links to them.

use hallmux_dispatcher::Ending;

use super::simulation::{EndedExecution, Event, ExecutionId, Simulation};
use crate::check::Repeat;
use crate::engine::{EngineEvent, EngineEventKind};
use crate::record::account::Offered;
use crate::rig::relay::{LinkState, Relayed};
use crate::rig::scenario::Step;

impl Simulation<'_> {
    /// Records traffic of a front to an engine.
    pub(super) fn record_traffic(
        &mut self,
        (front, engine): (usize, usize),
        (statements, probes, opened): (usize, usize, usize),
    ) {
        let (at, zone) = (self.now, self.engines[engine].zone);
        let passed = self.link_passes(front, engine, true);
        self.account.relayed.push(Relayed {
            at,
            front,
            engine,
            zone,
            statements,
            probes,
            opened,
            passed,
        });
    }

    /// The state of the link from a front to an engine.
    pub(super) fn link(&self, front: usize, engine: usize) -> LinkState {
        self.members[front]
            .links
            .get(&engine)
            .copied()
            .unwrap_or_default()
    }

    /// Whether the link passes traffic, to the engine if `out`.
    pub(super) fn link_passes(&self, front: usize, engine: usize, out: bool) -> bool {
        let link = self.link(front, engine);
        !if out { link.out_lost } else { link.back_lost }
    }

    /// The extra delay of the link in microseconds.
    pub(super) fn link_delay(&self, front: usize, engine: usize) -> i64 {
        self.link(front, engine).delay_ms as i64 * 1000
    }

    /// Starts an execution on an engine, or rejects it if the engine is at capacity.
    pub(super) fn receive_execution(
        &mut self,
        front: usize,
        incarnation: u32,
        sent: ExecutionId,
        e: usize,
    ) {
        let engine = &mut self.engines[e];
        let capacity = self.warmth.capacity_at(self.now - engine.started_at);
        let load = (engine.running + 1) as f64 / capacity.max(1) as f64;
        (engine.peak, engine.peak_since_start) =
            (engine.peak.max(load), engine.peak_since_start.max(load));
        if engine.running >= capacity {
            engine.rejected += 1;
            return self.send_answer(front, incarnation, sent, e, Ending::Rejected);
        }
        // A duplicate of a deduplicated statement is dropped, and its sender receives the result of
        // the first.
        if let Some(ends) = self.find_first_execution(front, incarnation, sent) {
            return self.schedule_event(
                ends.max(self.now + 1),
                Event::DuplicateAnswered(front, incarnation, sent, e),
            );
        }
        let engine = &mut self.engines[e];
        engine.running += 1;
        let resets = engine.reset_count;
        let mut work_ms = self.scenario.load.work_ms;
        // Each execution has its own link number in the record.
        self.link_count += 1;
        let link = self.link_count;
        if let Some(number) = self
            .statement_numbers
            .get(&(front, incarnation, sent.0))
            .copied()
        {
            let Offered { asked, class, .. } = &self.account.asked[number];
            work_ms = self.scenario.classes[*class].work_ms.unwrap_or(work_ms);
            let kind = EngineEventKind::Began {
                id: asked.id.clone(),
                key: asked.key.clone(),
            };
            self.account.sent_by.insert((e, link), front);
            self.account.engine_events.push(EngineEvent {
                at: self.now,
                engine: e,
                link,
                kind,
            });
        }
        self.schedule_event(
            self.now + work_ms as i64 * 1000,
            Event::EndedExecution(EndedExecution {
                front,
                incarnation,
                sent,
                engine: e,
                resets,
                link,
            }),
        );
        if self.needs_ledger_entry(front, incarnation, sent) {
            self.record_step(Step::Began, front);
        }
    }

    /// If this is the same front's duplicate within the dedup window, returns when the first
    /// execution ends; otherwise records it as the first. All engines form one deduplication group
    /// here.
    fn find_first_execution(
        &mut self,
        front: usize,
        incarnation: u32,
        sent: ExecutionId,
    ) -> Option<i64> {
        let Offered { asked, class, .. } =
            &self.account.asked[*self.statement_numbers.get(&(front, incarnation, sent.0))?];
        let class = &self.scenario.classes[*class];
        if class.repeat() != Repeat::Deduplicated {
            return None;
        }
        let ends = self.now + class.work_ms.unwrap_or(self.scenario.load.work_ms) as i64 * 1000;
        match self.first_executions.get(&(front, asked.id.clone())) {
            Some((began, ends)) if self.now < began + class.window_ms as i64 * 1000 => Some(*ends),
            _ => {
                self.first_executions
                    .insert((front, asked.id.clone()), (self.now, ends));
                None
            }
        }
    }

    fn needs_ledger_entry(&self, front: usize, incarnation: u32, sent: ExecutionId) -> bool {
        let number = self.statement_numbers.get(&(front, incarnation, sent.0));
        let class = number.map(|number| self.account.asked[*number].class);
        class.is_some_and(|class| self.scenario.classes[class].needs_ledger_entry())
    }

    /// Ends an execution and sends its answer, unless the connection was reset meanwhile.
    pub(super) fn end_execution(&mut self, ended: EndedExecution) {
        let EndedExecution {
            front,
            incarnation,
            sent,
            engine: e,
            resets,
            link,
        } = ended;
        self.engines[e].running = self.engines[e].running.saturating_sub(1);
        let number = self
            .statement_numbers
            .get(&(front, incarnation, sent.0))
            .copied();
        if let Some(number) = number {
            let id = self.account.asked[number].asked.id.clone();
            for kind in [
                EngineEventKind::Ended { id: id.clone() },
                EngineEventKind::Kept { id },
            ] {
                self.account.engine_events.push(EngineEvent {
                    at: self.now,
                    engine: e,
                    link,
                    kind,
                });
            }
        }
        if self.needs_ledger_entry(front, incarnation, sent) && self.record_step(Step::Kept, front)
        {
            return;
        }
        if resets == self.engines[e].reset_count {
            self.send_answer(front, incarnation, sent, e, Ending::Answered);
        }
    }

    /// Sends an engine's answer to the front if the link passes it.
    pub(super) fn send_answer(
        &mut self,
        front: usize,
        incarnation: u32,
        sent: ExecutionId,
        e: usize,
        ending: Ending,
    ) {
        if let Some(out) = self.in_flight.get_mut(&e) {
            out.retain(|(f, l, s)| (*f, *l, *s) != (front, incarnation, sent));
        }
        if self.link_passes(front, e, false) {
            let active = self.engines[e].running;
            let at = self.now + self.draw_network_delay() + self.link_delay(front, e);
            self.schedule_event(
                at,
                Event::Answers(front, incarnation, sent, ending, Some(active)),
            );
        }
    }
}
