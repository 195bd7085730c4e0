//! Timeouts: dials, probes, half-written statements, half-read answers, idle connections.

use super::*;

impl Engines {
    /// When `expire` is next due.
    pub fn due(&self) -> Micros {
        let due = |connection: &EngineConnection| {
            let dial = if connection.up {
                Micros::MAX
            } else {
                connection.dial_by
            };
            let probe = connection
                .probes
                .values()
                .copied()
                .min()
                .unwrap_or(Micros::MAX);
            let partial = connection
                .partial_line_since
                .map_or(Micros::MAX, |since| since + READ_TIMEOUT);
            let leaving = self
                .writing_since(connection)
                .map_or(Micros::MAX, |since| since + WRITE_TIMEOUT);
            dial.min(probe)
                .min(partial)
                .min(leaving)
                .min(self.idle_until(connection).unwrap_or(Micros::MAX))
        };
        self.connections
            .values()
            .map(due)
            .min()
            .unwrap_or(Micros::MAX)
            .min(self.cancels_due())
    }

    pub(super) fn idle_until(&self, connection: &EngineConnection) -> Option<Micros> {
        let (rests, unsent) = (
            connection.open.is_empty() && connection.probes.is_empty(),
            connection.link.unsent() > 0,
        );
        // Closing it would give up what runs on there.
        let runs_on = !self.allowance.cancel && !connection.cancelled.is_empty();
        if connection.retired && rests && !runs_on {
            // What is still to leave has as long as a connection has to come up.
            return Some(
                connection.idle_since
                    + if unsent {
                        self.allowance.dial_timeout
                    } else {
                        0
                    },
            );
        }
        (connection.up && rests && !unsent).then_some(connection.idle_since + self.reuse.max_idle())
    }

    /// Ends what has waited too long: connections not up, probes not answered, idle connections.
    pub fn expire(&mut self, now: Micros) {
        self.end_cancelled(now);
        let ids: Vec<ConnectionId> = self.connections.keys().copied().collect();
        for id in ids {
            let Some(connection) = self.connections.get_mut(&id) else {
                continue;
            };
            if !connection.up && connection.dial_by <= now {
                // Guards against a front that stood still between its look at the connections and this one: one that
                // has come up meanwhile is found as up in the next iteration.
                if !connection.link.is_up().is_ok_and(|up| up) {
                    self.close(now, id, Ending::NeverUp);
                }
                continue;
            }
            // Guards against a deadline that its engine would read late: what has begun to leave can't be
            // written anew, and what has not left whole has not run.
            let _ = self.flush_connection(id);
            let connection = &self.connections[&id];
            if self
                .writing_since(connection)
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
            let Some(connection) = self.connections.get_mut(&id) else {
                continue;
            };
            let place = connection.place;
            let before = connection.probes.len();
            connection.probes.retain(|_, due| *due > now);
            connection.retired |= connection.probes.len() < before
                && connection.last_reply < now - self.allowance.dial_timeout;
            for _ in connection.probes.len()..before {
                self.events.push(Event::Probed {
                    place,
                    alive: false,
                    report: None,
                });
            }
            if self
                .idle_until(&self.connections[&id])
                .is_some_and(|until| until <= now)
            {
                self.close(now, id, Ending::Withdrawn);
            }
        }
    }

    /// Since when a statement has begun to leave over a connection and has not left whole.
    fn writing_since(&self, connection: &EngineConnection) -> Option<Micros> {
        let (execution_id, _) = connection
            .writing
            .as_ref()
            .filter(|(_, end)| !connection.link.has_sent_up_to(*end))?;
        self.executions
            .get(execution_id)
            .map(|execution| execution.sent_at)
    }

    /// What has begun to come over a connection and takes too long.
    fn overdue(&self, now: Micros, id: ConnectionId) -> Option<&'static str> {
        let connection = self.connections.get(&id)?;
        let page = |execution_id: &ExecutionId| {
            let pages = self
                .executions
                .get(execution_id)
                .and_then(|execution| execution.pages.as_ref());
            pages.is_some_and(|pages| pages.last_page + READ_TIMEOUT <= now)
        };
        if connection
            .partial_line_since
            .is_some_and(|since| since + READ_TIMEOUT <= now)
        {
            return Some("a line");
        }
        connection.open.values().any(page).then_some("a page")
    }
}
