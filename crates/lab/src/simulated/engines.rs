//! The engines of a simulated fleet and the ways to them.

use hallmux_dispatcher::Ending;

use super::simulation::{EndedExecution, Event, Sent, Simulation};
use crate::check::Repeat;
use crate::engine::{EngineEvent, EngineEventKind};
use crate::record::account::Offered;
use crate::rig::relay::{Relayed, State as LinkState};
use crate::rig::scenario::Step;

impl Simulation<'_> {
    pub(super) fn relays(
        &mut self,
        (front, engine): (usize, usize),
        (statements, probes, opened): (usize, usize, usize),
    ) {
        let (at, zone) = (self.now, self.engines[engine].zone);
        let passed = self.passes(front, engine, true);
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

    pub(super) fn link(&self, front: usize, engine: usize) -> LinkState {
        self.members[front]
            .links
            .get(&engine)
            .copied()
            .unwrap_or_default()
    }

    pub(super) fn passes(&self, front: usize, engine: usize, out: bool) -> bool {
        let link = self.link(front, engine);
        !if out { link.out_lost } else { link.back_lost }
    }

    pub(super) fn delay(&self, front: usize, engine: usize) -> i64 {
        self.link(front, engine).delay_ms as i64 * 1000
    }

    pub(super) fn arrives(&mut self, front: usize, life: u32, sent: Sent, e: usize) {
        let engine = &mut self.engines[e];
        let bears = self.warmth.capacity_at(self.now - engine.started);
        let load = (engine.running + 1) as f64 / bears.max(1) as f64;
        (engine.peak, engine.peak_since_start) =
            (engine.peak.max(load), engine.peak_since_start.max(load));
        if engine.running >= bears {
            engine.turned_away += 1;
            return self.goes_back(front, life, sent, e, Ending::Rejected);
        }
        // Repeats of a deduplicated statement are dropped: whoever sends one is told what became of the first.
        if let Some(ends) = self.drops(front, life, sent) {
            return self.at(ends.max(self.now + 1), Event::Dropped(front, life, sent, e));
        }
        let engine = &mut self.engines[e];
        engine.running += 1;
        let resets = engine.resets;
        let mut work_ms = self.scenario.load.work_ms;
        // Each execution has a link of its own in the record.
        self.links += 1;
        let link = self.links;
        if let Some(number) = self.named.get(&(front, life, sent.0)).copied() {
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
        self.at(
            self.now + work_ms as i64 * 1000,
            Event::EndedExecution(EndedExecution {
                front,
                life,
                sent,
                engine: e,
                resets,
                link,
            }),
        );
        if self.promised_of(front, life, sent) {
            self.reached(Step::Began, front);
        }
    }

    /// Until when the first of a deduplicated statement runs, where this is the same front's repeat in its window; else
    /// notes it as the first. All engines are one group here.
    fn drops(&mut self, front: usize, life: u32, sent: Sent) -> Option<i64> {
        let Offered { asked, class, .. } =
            &self.account.asked[*self.named.get(&(front, life, sent.0))?];
        let class = &self.scenario.classes[*class];
        if class.repeat() != Repeat::Deduplicated {
            return None;
        }
        let ends = self.now + class.work_ms.unwrap_or(self.scenario.load.work_ms) as i64 * 1000;
        match self.firsts.get(&(front, asked.id.clone())) {
            Some((began, ends)) if self.now < began + class.window_ms as i64 * 1000 => Some(*ends),
            _ => {
                self.firsts
                    .insert((front, asked.id.clone()), (self.now, ends));
                None
            }
        }
    }

    fn promised_of(&self, front: usize, life: u32, sent: Sent) -> bool {
        let number = self.named.get(&(front, life, sent.0));
        let class = number.map(|number| self.account.asked[*number].class);
        class.is_some_and(|class| self.scenario.classes[class].needs_promise())
    }

    pub(super) fn ran(&mut self, ran: EndedExecution) {
        let EndedExecution {
            front,
            life,
            sent,
            engine: e,
            resets,
            link,
        } = ran;
        self.engines[e].running = self.engines[e].running.saturating_sub(1);
        let number = self.named.get(&(front, life, sent.0)).copied();
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
        if self.promised_of(front, life, sent) && self.reached(Step::Kept, front) {
            return;
        }
        if resets == self.engines[e].resets {
            self.goes_back(front, life, sent, e, Ending::Answered);
        }
    }

    pub(super) fn goes_back(
        &mut self,
        front: usize,
        life: u32,
        sent: Sent,
        e: usize,
        ending: Ending,
    ) {
        if let Some(out) = self.out.get_mut(&e) {
            out.retain(|(f, l, s)| (*f, *l, *s) != (front, life, sent));
        }
        if self.passes(front, e, false) {
            let active = self.engines[e].running;
            let at = self.now + self.way() + self.delay(front, e);
            self.at(at, Event::Answers(front, life, sent, ending, Some(active)));
        }
    }
}
