//! Timeouts: dials, probes, half-written statements, half-read answers, idle connections.

use super::*;

impl Engines {
    /// When `expire` is next due.
    pub fn due(&self) -> Micros {
        let due = |link: &EngineLink| {
            let dial = if link.up { Micros::MAX } else { link.dial_by };
            let probe = link.probes.values().copied().min().unwrap_or(Micros::MAX);
            let partial = link
                .partial_line_since
                .map_or(Micros::MAX, |since| since + READ_TIMEOUT);
            let leaving = self
                .writing_since(link)
                .map_or(Micros::MAX, |since| since + WRITE_TIMEOUT);
            dial.min(probe)
                .min(partial)
                .min(leaving)
                .min(self.idle_until(link).unwrap_or(Micros::MAX))
        };
        self.links
            .values()
            .map(due)
            .min()
            .unwrap_or(Micros::MAX)
            .min(self.cancels_due())
    }

    pub(super) fn idle_until(&self, link: &EngineLink) -> Option<Micros> {
        let (rests, unsent) = (
            link.open.is_empty() && link.probes.is_empty(),
            link.link.unsent() > 0,
        );
        // Closing it would give up what runs on there.
        let runs_on = !self.allowance.cancel && !link.cancelled.is_empty();
        if link.retired && rests && !runs_on {
            // What is still to leave has as long as a connection has to come up.
            return Some(
                link.idle_since
                    + if unsent {
                        self.allowance.dial_timeout
                    } else {
                        0
                    },
            );
        }
        (link.up && rests && !unsent).then_some(link.idle_since + self.reuse.max_idle())
    }

    /// Ends what has waited too long: connections not up, probes not answered, idle connections.
    pub fn expire(&mut self, now: Micros) {
        self.end_cancelled(now);
        let ids: Vec<LinkId> = self.links.keys().copied().collect();
        for id in ids {
            let Some(link) = self.links.get_mut(&id) else {
                continue;
            };
            if !link.up && link.dial_by <= now {
                // Guards against a front that stood still between its look at the connections and this one: one that
                // has come up meanwhile is found as up in the next iteration.
                if !link.link.is_up().is_ok_and(|up| up) {
                    self.close(now, id, Ending::NeverUp);
                }
                continue;
            }
            // Guards against a deadline that its engine would read late: what has begun to leave can't be
            // written anew, and what has not left whole has not run.
            let _ = self.flush_link(id);
            let link = &self.links[&id];
            if self
                .writing_since(link)
                .is_some_and(|since| since + WRITE_TIMEOUT <= now)
            {
                log::warn!(
                    "engine {}: takes no more of a statement; its connection is closed",
                    self.engine_name(id)
                );
                self.read(now, id);
                self.close(now, id, Ending::ClosedHere);
                continue;
            }
            if self.is_cancel_overdue(now, id) {
                log::warn!(
                    "engine {}: does not take that an execution is given up; its connection is closed",
                    self.engine_name(id)
                );
                self.read(now, id);
                self.close(now, id, Ending::ClosedHere);
                continue;
            }
            // Guards against an answer that stops short: nothing comes over such a connection any more. What has
            // come by now is read first.
            let more = self.overdue(now, id).is_some() && self.read(now, id);
            if let Some(what) = self.overdue(now, id).or(more.then_some("an end")) {
                log::warn!(
                    "engine {}: {what} that never came; its connection is closed",
                    self.engine_name(id)
                );
                self.close(now, id, Ending::Unreadable);
            }
            let Some(link) = self.links.get_mut(&id) else {
                continue;
            };
            let place = link.place;
            let before = link.probes.len();
            link.probes.retain(|_, due| *due > now);
            link.retired |=
                link.probes.len() < before && link.last_reply < now - self.allowance.dial_timeout;
            for _ in link.probes.len()..before {
                self.events.push(Event::Probed {
                    place,
                    alive: false,
                    report: None,
                });
            }
            if self
                .idle_until(&self.links[&id])
                .is_some_and(|until| until <= now)
            {
                self.close(now, id, Ending::Withdrawn);
            }
        }
    }

    /// Since when a statement has begun to leave over a connection and has not left whole.
    fn writing_since(&self, link: &EngineLink) -> Option<Micros> {
        let (execution_id, _) = link
            .writing
            .as_ref()
            .filter(|(_, end)| !link.link.has_sent_up_to(*end))?;
        self.executions
            .get(execution_id)
            .map(|execution| execution.sent_at)
    }

    /// What has begun to come over a connection and takes too long.
    fn overdue(&self, now: Micros, id: LinkId) -> Option<&'static str> {
        let link = self.links.get(&id)?;
        let page = |execution_id: &ExecutionId| {
            let pages = self
                .executions
                .get(execution_id)
                .and_then(|execution| execution.pages.as_ref());
            pages.is_some_and(|pages| pages.last_page + READ_TIMEOUT <= now)
        };
        if link
            .partial_line_since
            .is_some_and(|since| since + READ_TIMEOUT <= now)
        {
            return Some("a line");
        }
        link.open.values().any(page).then_some("a page")
    }
}
