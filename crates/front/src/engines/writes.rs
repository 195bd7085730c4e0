//! Writes to engines, and the end of a connection.

use super::*;

impl Engines {
    /// A connection is over: each execution on it ends by how much of it has left.
    pub(super) fn close(&mut self, now: Micros, id: ConnectionId, ending: Ending) {
        let Some(connection) = self.connections.remove(&id) else {
            return;
        };
        let lost = matches!(ending, Ending::Reset | Ending::Closed)
            && connection.up
            && !connection.open.is_empty();
        if lost && connection.last_reply < connection.resumed_at {
            self.reuse
                .lost(connection.idle_before, now - connection.resumed_at);
        }
        if let Some(engine) = self.engines.get_mut(&connection.place) {
            engine.connections.retain(|other| *other != id);
            if !connection.up && (connection.retired || ending == Ending::BrokenNew) {
                log::debug!("engine {}: connection lost while it came up", engine.id);
            } else if !connection.up && !std::mem::replace(&mut engine.failing, true) {
                log::warn!("engine {}: can't be reached: {ending:?}", engine.id);
            } else if connection.up && !connection.open.is_empty() {
                let count = connection.open.len();
                log::warn!(
                    "engine {}: connection lost with {count} executions: {ending:?}",
                    engine.id
                );
            }
        }
        let mut open: Vec<ExecutionId> = connection.open.into_values().collect();
        open.sort_unstable();
        for execution_id in open {
            let ending = match self
                .executions
                .get(&execution_id)
                .map(|execution| &execution.stage)
            {
                Some(Stage::Queued) if connection.up => Ending::Withdrawn,
                Some(Stage::Writing) => Ending::HalfWritten,
                Some(_) => ending,
                None => continue,
            };
            self.end_execution(execution_id, ending, None);
        }
        for _ in connection.probes {
            self.events.push(Event::Probed {
                place: connection.place,
                alive: false,
                report: None,
            });
        }
        self.settle_unsent_cancels(id, ending);
    }

    /// Sends what is to leave. Of what is queued only as much is begun as the network takes.
    pub fn flush(&mut self, now: Micros) {
        let ids: Vec<ConnectionId> = self.connections.keys().copied().collect();
        for id in ids {
            if let Err(ending) = self.write_queue(now, id) {
                // What its engine had answered before the connection broke still counts.
                self.read(now, id);
                self.close(now, id, ending);
            }
        }
        self.cancels_flushed(now);
    }

    /// Sends what the network takes over a connection that is up. A statement may have run once its last byte
    /// has left, whatever becomes of the commands behind it. Guards against one that has left and passes for
    /// half written: that would prove that it has not run.
    pub(super) fn flush_connection(&mut self, id: ConnectionId) -> Result<(), Broken> {
        let Some(connection) = self.connections.get_mut(&id).filter(|l| l.up) else {
            return Ok(());
        };
        let flushed = connection.link.flush();
        if let Some((execution_id, _)) = connection
            .writing
            .take_if(|(_, end)| connection.link.has_sent_up_to(*end))
        {
            self.executions
                .entry(execution_id)
                .and_modify(|execution| execution.stage = Stage::Out);
        }
        flushed
    }

    /// Begins what is queued as far as the network takes it. An error is how the connection ends.
    pub(super) fn write_queue(&mut self, now: Micros, id: ConnectionId) -> Result<(), Ending> {
        loop {
            self.flush_connection(id).map_err(replies::ending_of)?;
            let Some(connection) = self.connections.get_mut(&id).filter(|l| l.up) else {
                return Ok(());
            };
            if connection.link.unsent() > MOST_UNSENT {
                // Closed from here: its engine has yet to read so, as of anything that is given up.
                return Err(Ending::ClosedHere);
            } else if connection.link.unsent() > 0 {
                return Ok(());
            }
            let Some(execution_id) = connection.queue.pop_front() else {
                return Ok(());
            };
            let Some(execution) = self.executions.get_mut(&execution_id) else {
                continue;
            };
            let engine = self.engines.get(&connection.place);
            if let Some(why) = withheld_because(now, engine, &execution.terms) {
                log::debug!(
                    "statement {}: its execution stays here: {why}",
                    execution.call.id
                );
                self.withdraw(id, execution_id);
                return self.write_queue(now, id);
            }
            let request = ExecutionRequest {
                id: &execution.call.id,
                workload: &execution.call.workload,
                dedup_key: execution.call.dedup_key.as_deref(),
                wait_ms: ((execution.terms.ends - now) / 1000).max(1),
                grant_mb: execution.terms.grant_mb,
                priority: execution.terms.priority,
                statement: &execution.call.statement,
            };
            if connection.open.len() == 1 {
                let dialled = connection.dial_by - self.allowance.dial_timeout;
                let idle_before = if connection.idle_since > dialled {
                    now - connection.idle_since
                } else {
                    0
                };
                (connection.idle_before, connection.resumed_at) = (idle_before, now);
            }
            engine::write(connection.link.output(), &Command::Execute(request));
            (execution.stage, execution.sent_at) = (Stage::Writing, now);
            connection.writing = Some((execution_id, connection.link.end_of_output()));
        }
    }
}

/// Why an execution that has waited for its connection may not leave any more, if so.
fn withheld_because(now: Micros, engine: Option<&Engine>, terms: &Terms) -> Option<&'static str> {
    let Some(_) = engine.filter(|engine| engine.available) else {
        // It is withdrawn as soon as the list says so; if it is found here, a drain would not have been kept.
        log::error!(
            "engine {}: an execution was still queued for it",
            engine.map_or("?", |e| &e.id)
        );
        return Some("its engine drains or is gone");
    };
    if now >= terms.ends {
        return Some("its client's time is up");
    }
    // Guards against a repeat that comes after its engines have forgotten the first one.
    (now >= terms.leave_by).then_some("engines may not know it for a repeat any more")
}
