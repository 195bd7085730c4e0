//! How executions and connections end: given up, cancelled, let go, lost.

use hallmux_dispatcher::{Ending, EngineIndex, Micros, Ticket};
use hallmux_postgres::pool::Released;
use hallmux_postgres::wire;

use super::{Cancel, EngineEntry, Event, Execution, PendingEnd, Server, Servers, Stage};
use crate::events::SocketKind;
use crate::execution::ExecutionId;
use crate::link::Link;
use crate::postgres::ids::ServerId;

impl Servers {
    /// Cancels an execution. It ends with the ending given, or as withdrawn where nothing of it has left.
    pub fn cancel_execution(&mut self, now: Micros, execution_id: ExecutionId, ending: Ending) {
        let Some(execution) = self.executions.get(&execution_id) else {
            return self.end_before_cancelled(execution_id, ending);
        };
        let (place, link) = (execution.place, execution.link);
        let Some(id) = link else {
            self.pools.withdraw(place, execution_id);
            // One that waits for a cancel to be over lets its transaction go, which it could not end.
            let pinned = execution.unit.pin;
            // Also where its time is up. Guards against a commit that passes for one in doubt and never left.
            self.report_end(execution_id, Ending::Withdrawn);
            pinned.into_iter().for_each(|id| self.close(id));
            return;
        };
        // Guards against a commit that passes for one in doubt, and a unit that leaves though it is given up:
        // behind settings that are being brought over nothing of it has left.
        if self
            .links
            .get(&id)
            .is_some_and(|l| l.engine.is_applying_settings())
        {
            self.report_end(execution_id, Ending::Withdrawn);
            return self.close(id);
        }
        // Its client is owed its answer now; else it ends when the engine has taken the request.
        let at_once = ending == Ending::TimeUp;
        // Time that a client spent on taking its answer is not the engine's.
        let ending = if ending == Ending::TimeUp && execution.paused {
            Ending::GivenUp
        } else {
            ending
        };
        self.executions.remove(&execution_id);
        let held = self.links.get(&id).is_some_and(|l| l.holds.is_some());
        if self.allowance.cancel || held {
            let ends = (!at_once).then_some(PendingEnd {
                execution_id,
                ending,
            });
            let asked = self.allowance.cancel && self.ask_to_cancel(now, id, ends);
            self.close(id);
            if at_once || !asked {
                self.events.push(Event::Ended {
                    execution_id,
                    ending,
                });
            }
        } else {
            if let Some(link) = self.links.get_mut(&id) {
                (link.serves, link.discards) = (None, true);
            }
            self.events.push(Event::Ended {
                execution_id,
                ending,
            });
        }
    }

    /// An execution that waits for its request to cancel has its client's time up. Guards against a client
    /// that is answered late, as it waits for an engine that takes no requests.
    fn end_before_cancelled(&mut self, execution_id: ExecutionId, ending: Ending) {
        if ending != Ending::TimeUp {
            return;
        }
        let waits = |cancel: &&mut Cancel| {
            cancel
                .ends
                .is_some_and(|end| end.execution_id == execution_id)
        };
        if let Some(cancel) = self.cancels.values_mut().find(waits) {
            cancel.ends = None;
            self.events.push(Event::Ended {
                execution_id,
                ending,
            });
        }
    }

    /// Nobody waits for a statement any more: what has not left for an engine never will.
    pub fn abandon(&mut self, now: Micros, ticket: Ticket) {
        let of_ticket = self
            .executions
            .iter()
            .filter(|(execution_id, _)| execution_id.ticket == ticket);
        let here: Vec<(ExecutionId, Option<ServerId>)> = of_ticket
            .map(|(execution_id, execution)| (*execution_id, execution.link))
            .collect();
        for (execution_id, link) in here {
            let Some(id) = link else {
                self.cancel_execution(now, execution_id, Ending::Withdrawn);
                continue;
            };
            // What is written and has yet to leave goes with its connection, also what waits for its settings.
            let stays = |l: &Server| !l.link.has_sent(1) || l.engine.is_applying_settings();
            let unsent = self
                .links
                .get(&id)
                .is_some_and(|l| l.serves == Some(execution_id) && stays(l));
            if let Some(place) = self.place(id).filter(|_| unsent) {
                self.report_end(execution_id, Ending::Withdrawn);
                self.close_and_refill(now, id, place);
            }
        }
    }

    /// A client asks for the end of what is out. False if nothing can be done about it.
    pub fn cancel(&mut self, now: Micros, execution_id: ExecutionId) -> bool {
        let Some(execution) = self
            .executions
            .get(&execution_id)
            .filter(|execution| execution.stage != Stage::Waiting)
        else {
            return false;
        };
        let Some(id) = execution.link.filter(|_| self.allowance.cancel) else {
            return false;
        };
        if let Some(link) = self.links.get_mut(&id) {
            link.closes_after_unit = true;
        }
        self.ask_to_cancel(now, id, None)
    }

    /// Sends a request to cancel over a connection of its own.
    fn ask_to_cancel(&mut self, now: Micros, id: ServerId, ends: Option<PendingEnd>) -> bool {
        let Some(server) = self.links.get_mut(&id) else {
            return false;
        };
        let Some((key, engine)) = server.engine.key.zip(self.engines.get(&server.place)) else {
            return false;
        };
        let number = self.next + 1;
        let Ok(mut link) = Link::dial(engine.at, &self.handle, SocketKind::Cancel.id(number))
        else {
            return false;
        };
        self.next = number;
        wire::write_cancel(link.output(), key);
        server.cancels += 1;
        let by = now + 2 * self.allowance.dial_timeout;
        self.cancels.insert(
            number,
            Cancel {
                link,
                server: id,
                by,
                ends,
            },
        );
        true
    }

    /// A connection that carries a request to cancel has changed.
    pub fn read_cancel(&mut self, number: u64) {
        let Some(cancel) = self.cancels.get_mut(&number) else {
            return;
        };
        match cancel.link.is_up() {
            Ok(false) => return,
            Ok(true) => {}
            Err(_) => return self.cancelled(number),
        }
        let execution_id = cancel.link.flush();
        let broken = cancel.link.read().broken;
        if execution_id.is_err() || broken.is_some() || !cancel.link.input.is_empty() {
            self.cancelled(number);
        }
    }

    /// A request to cancel has not been taken in time. Guards against a front that stood still: one whose
    /// connection has come up meanwhile leaves now, and has some time more, as it must not end what comes
    /// after.
    pub(super) fn cancel_overdue(&mut self, now: Micros, number: u64) {
        let was_unsent = self
            .cancels
            .get(&number)
            .is_some_and(|c| c.link.unsent() > 0);
        self.read_cancel(number);
        match self.cancels.get_mut(&number) {
            Some(cancel) if was_unsent && cancel.link.unsent() == 0 => {
                cancel.by = now + self.allowance.dial_timeout
            }
            _ => self.cancelled(number),
        }
    }

    /// The engine has taken the request, or never will.
    pub(super) fn cancelled(&mut self, number: u64) {
        let Some(cancel) = self.cancels.remove(&number) else {
            return;
        };
        if let Some(PendingEnd {
            execution_id,
            ending,
        }) = cancel.ends
        {
            self.events.push(Event::Ended {
                execution_id,
                ending,
            });
        }
        if let Some(link) = self.links.get_mut(&cancel.server) {
            link.cancels -= 1;
            let waits = |execution_id: &ExecutionId| {
                self.executions
                    .get(execution_id)
                    .is_some_and(|execution| execution.stage == Stage::Waiting)
            };
            if let Some(execution_id) = link.serves.filter(waits).filter(|_| link.cancels == 0) {
                self.start(execution_id, cancel.server);
            }
        }
    }

    /// A session lets go of the connection that holds its transaction: the engine rolls it back.
    pub fn release(&mut self, now: Micros, id: ServerId) {
        if let Some(place) = self.place(id) {
            self.close_and_refill(now, id, place);
        }
    }

    /// Closes a connection that has nothing out that anyone waits for.
    pub(super) fn close(&mut self, id: ServerId) {
        if let Some(mut server) = self.links.remove(&id) {
            if server.up && server.link.unsent() == 0 && server.serves.is_none() {
                server.link.output().extend_from_slice(wire::TERMINATE);
                // It ends whether that message gets through or not.
                let _ = server.link.flush();
            }
            self.forget(id);
        }
    }

    pub(super) fn forget(&mut self, id: ServerId) -> Vec<ExecutionId> {
        self.connecting.remove(&id);
        self.changed.remove(&id);
        self.pools.remove(id)
    }

    pub(super) fn close_and_refill(&mut self, now: Micros, id: ServerId, place: EngineIndex) {
        self.close(id);
        let step = self.pools.next_action(place);
        self.step(now, place, step);
    }

    /// A connection is free: for the next unit, or to be closed.
    pub(super) fn release_idle(&mut self, now: Micros, id: ServerId) {
        let Some(server) = self.links.get_mut(&id) else {
            return;
        };
        let place = server.place;
        if server.closes_after_unit || server.cancels > 0 {
            return self.close_and_refill(now, id, place);
        }
        match self.pools.release(now, id) {
            Released::Idle => {}
            Released::Action(step) => self.step(now, place, Some(step)),
            Released::Close => self.close_and_refill(now, id, place),
        }
    }

    /// A connection is over: its execution ends by how much of it has left.
    pub(super) fn connection_lost(&mut self, now: Micros, id: ServerId, ending: Ending) {
        let Some(server) = self.links.remove(&id) else {
            return;
        };
        let waited = self.forget(id);
        let place = server.place;
        if let Some(engine) = self.engines.get_mut(&place) {
            log_lost(engine, &server, ending);
        }
        let ending_of_waiting = if server.up && ending == Ending::Unreadable {
            Ending::ConnectionRefused
        } else {
            ending
        };
        for execution_id in waited {
            self.report_end(execution_id, ending_of_waiting);
        }
        if let Some(execution_id) = server.serves {
            let execution = self.executions.get(&execution_id);
            let ending =
                execution.map_or(ending, |execution| ending_of(execution, &server, ending));
            self.report_end(execution_id, ending);
        }
        self.events.extend(
            server
                .holds
                .map(|session| Event::TransactionLost { session }),
        );
        let step = self.pools.next_action(place);
        self.step(now, place, step);
    }
}

/// How an execution ends whose connection was lost, by how much of it has left.
fn ending_of(execution: &Execution, server: &Server, lost: Ending) -> Ending {
    let has_left = server.link.has_sent(server.write_end);
    match execution.stage {
        Stage::Waiting => Ending::Withdrawn,
        // It waits here for its settings.
        _ if server.engine.is_applying_settings() => Ending::HalfWritten,
        // Without its Sync nothing that it does is kept, but for a commit of its own.
        Stage::Writing if !has_left && !execution.unit.once => Ending::HalfWritten,
        Stage::Writing | Stage::Out => lost,
    }
}

/// Logs a lost connection. An engine that can't be reached is named once, until it is reached again.
fn log_lost(engine: &mut EngineEntry, server: &Server, ending: Ending) {
    if !server.engine.is_logged_in() {
        if !std::mem::replace(&mut engine.failing, true) {
            log::warn!(
                "engine {}: can't be reached for sessions: {ending:?}",
                engine.id
            );
        }
    } else if server.serves.is_some() {
        log::warn!(
            "engine {}: connection lost with a unit: {ending:?}",
            engine.id
        );
    }
}
