//! Input from engines: logins, answers and their parts, ping replies.

use std::collections::BTreeMap;

use hallmux_dispatcher::{Ending, EngineIndex, Micros};
use hallmux_postgres::client_error::is_engine_fault;
use hallmux_postgres::engine::{EngineEvent, UnitOutcome};
use hallmux_postgres::pool;
use hallmux_postgres::ProtocolError;

use super::send::dial_ending;
use super::{Event, Execution, Servers, Stage};
use crate::execution::ExecutionId;
use crate::link::{Broken, ReadOutcome};
use crate::postgres::ids::ServerId;

/// Microseconds for a login once the connection is up; a login normally takes a few ms.
pub(super) const LOGIN_TIMEOUT: Micros = 2_000_000;
/// Microseconds that an engine with units in flight may be silent before it is pinged.
const PING_AFTER: Micros = 300_000;
/// Bytes read from an engine at once, which also bounds how far a client may lag behind.
const READ_SIZE: usize = 64 << 10;

/// How far the replies in an input were processed.
enum ReplyProgress {
    /// The number of bytes processed; the rest is an incomplete reply.
    UpTo(usize),
    Unreadable(ProtocolError),
    /// A reply has led to the close of the connection.
    ConnectionClosed,
}

impl Servers {
    /// Forwards what was received of an answer if the client waits for it, or if there is too much
    /// to buffer.
    pub(super) fn forward_answer(&mut self, execution_id: ExecutionId, client_waits: bool) {
        let Some(execution) = self.executions.get_mut(&execution_id) else {
            return;
        };
        let flushed = execution
            .unit
            .parts
            .last()
            .is_some_and(|part| !part.ends_unit);
        let due = execution.answer_started
            || flushed
            || execution.unsent_answer.len() > self.limits.buffer_bytes
            || client_waits;
        if due && !execution.unsent_answer.is_empty() {
            execution.answer_started = true;
            let bytes = std::mem::take(&mut execution.unsent_answer);
            let server = execution
                .connection
                .and_then(|id| self.connections.get(&id));
            let ends_message = server.is_some_and(|server| server.engine.is_between_messages());
            self.events.push(Event::PartialAnswer {
                execution_id,
                bytes,
                ends_message,
            });
        }
    }

    /// Stops reading an answer from the engine because its client lags behind.
    pub fn pause(&mut self, execution_id: ExecutionId) {
        if let Some(execution) = self.executions.get_mut(&execution_id) {
            execution.paused = true;
        }
    }

    /// Continues an answer whose client has caught up. Returns the connection to read again, if the
    /// answer was paused.
    pub fn resume(&mut self, execution_id: ExecutionId) -> Option<ServerId> {
        let execution = self.executions.get_mut(&execution_id)?;
        let was_paused = std::mem::replace(&mut execution.paused, false);
        execution.connection.filter(|_| was_paused)
    }

    /// Reads a connection that is ready. Returns true if there is more for another iteration.
    pub fn read(&mut self, now: Micros, id: ServerId) -> bool {
        if !self.is_up(now, id) {
            return false;
        }
        let Some(server) = self.connections.get_mut(&id) else {
            return false;
        };
        self.flush_pending.insert(id);
        if let Some(engine) = self.engines.get_mut(&server.engine_index) {
            engine.last_reply = now;
        }
        let execution = server.serving.and_then(|id| self.executions.get(&id));
        if execution.is_some_and(|execution| execution.paused) {
            return false;
        }
        let ReadOutcome { has_more, broken } = server.link.read_some(READ_SIZE);
        let mut input = std::mem::take(&mut server.link.input);
        match self.process_replies(now, id, &input) {
            ReplyProgress::ConnectionClosed => return false,
            ReplyProgress::Unreadable(what) => {
                self.close_unreadable(now, id, &what, broken);
                return false;
            }
            ReplyProgress::UpTo(taken) => {
                if let Some(server) = self.connections.get_mut(&id) {
                    input.drain(..taken);
                    server.link.input = input;
                }
            }
        }
        let ending = match broken {
            None => return has_more,
            Some(Broken::Closed) => Ending::Closed,
            Some(Broken::Reset | Broken::Lost) => Ending::Reset,
        };
        self.connection_lost(now, id, ending);
        false
    }

    /// Whether a connection is up. One that has just come up starts its login; one that failed is
    /// closed.
    fn is_up(&mut self, now: Micros, id: ServerId) -> bool {
        let Some(server) = self.connections.get_mut(&id) else {
            return false;
        };
        if server.up {
            return true;
        }
        match server.link.is_up() {
            Ok(false) => false,
            Ok(true) => {
                server.up = true;
                self.connecting.insert(id, now + LOGIN_TIMEOUT);
                let engine = self.engines.get_mut(&server.engine_index);
                if let Some(engine) = engine.filter(|engine| engine.failing) {
                    engine.failing = false;
                    log::info!("engine {}: reached again", engine.id);
                }
                true
            }
            Err(error) => {
                self.connection_lost(now, id, dial_ending(&error));
                false
            }
        }
    }

    /// Processes all complete replies in an input, and forwards answers when they are due.
    fn process_replies(&mut self, now: Micros, id: ServerId, input: &[u8]) -> ReplyProgress {
        let mut taken = 0;
        loop {
            let Some(server) = self.connections.get_mut(&id) else {
                return ReplyProgress::ConnectionClosed;
            };
            let execution_id = server.serving;
            let execution = execution_id.and_then(|id| self.executions.get_mut(&id));
            let mut dropped = Vec::new();
            let unsent_answer =
                execution.map_or(&mut dropped, |execution| &mut execution.unsent_answer);
            let most_held = self.limits.buffer_bytes;
            let output = server.link.output();
            let read = server
                .engine
                .read(&input[taken..], output, unsent_answer, most_held);
            let (used, reply) = match read {
                Ok(read) => read,
                Err(what) => return ReplyProgress::Unreadable(what),
            };
            taken += used;
            let is_incomplete = reply.is_none() && used == 0;
            if let Some(execution_id) = execution_id {
                self.forward_answer(execution_id, false);
            }
            if let Some(reply) = reply {
                self.handle_reply(now, id, reply);
            }
            if is_incomplete || taken == input.len() {
                return ReplyProgress::UpTo(taken);
            }
        }
    }

    /// Closes a connection whose input can't be read. The reason may be no more than that the
    /// connection has ended.
    fn close_unreadable(
        &mut self,
        now: Micros,
        id: ServerId,
        what: &ProtocolError,
        broken: Option<Broken>,
    ) {
        if broken.is_some() {
            return self.connection_lost(now, id, Ending::Closed);
        }
        log::info!(
            "engine {}: {what}; its connection is closed",
            self.engine_name(id)
        );
        self.connection_lost(now, id, Ending::Unreadable);
    }

    fn handle_reply(&mut self, now: Micros, id: ServerId, reply: EngineEvent) {
        let Some(server) = self.connections.get_mut(&id) else {
            return;
        };
        let engine_index = server.engine_index;
        match reply {
            EngineEvent::PingAnswered => self.report_alive(engine_index),
            EngineEvent::Ready => {
                self.connecting.remove(&id);
                if !server.engine.parameters.is_empty() {
                    self.parameters = std::mem::take(&mut server.engine.parameters);
                }
                self.report_alive(engine_index);
                self.release_idle(now, id);
            }
            EngineEvent::LoginRefused { code, error } => {
                log::warn!(
                    "engine {}: login refused: {code}; its connection is closed",
                    self.engine_name(id)
                );
                let lost = self.remove_from_pools(id);
                self.connections.remove(&id);
                for execution_id in lost {
                    match code.as_str() {
                        "53300" => self.report_end(execution_id, Ending::Rejected),
                        code if is_engine_fault(code.as_bytes()) => {
                            self.report_end(execution_id, Ending::ConnectionRefused)
                        }
                        _ => self.report_refused(execution_id, error.clone()),
                    }
                }
                let action = self.pools.next_action(engine_index);
                self.run_pool_action(now, engine_index, action);
            }
            EngineEvent::SettingsApplied => self.start_with_settings(now, id),
            EngineEvent::SettingsRefused { error } => {
                let execution_id = server.serving.take();
                self.close(id);
                execution_id
                    .into_iter()
                    .for_each(|execution_id| self.report_refused(execution_id, error.clone()));
                let action = self.pools.next_action(engine_index);
                self.run_pool_action(now, engine_index, action);
            }
            EngineEvent::UnitDone(done) => self.finish_unit(now, id, done),
        }
    }

    /// Reports one execution at an engine that has replied as alive, so that the engine's
    /// executions do not count as hung.
    fn report_alive(&mut self, engine_index: EngineIndex) {
        let out = |execution: &Execution| {
            execution.engine_index == engine_index && execution.stage != Stage::Waiting
        };
        let one = self
            .executions
            .iter()
            .filter(|(_, execution)| out(execution))
            .map(|(execution_id, _)| *execution_id)
            .min();
        self.events.extend(one.map(Event::Alive));
    }

    /// Pings engines that have units in flight and are silent. PostgreSQL engines send no progress
    /// reports, and a long statement on an otherwise idle engine must not be mistaken for a hung
    /// one.
    pub(super) fn ping_silent(&mut self, now: Micros) {
        let mut silent: BTreeMap<EngineIndex, pool::AccountId> = BTreeMap::new();
        let setting = |execution: &Execution| {
            let server = execution
                .connection
                .and_then(|id| self.connections.get(&id));
            server.is_some_and(|server| server.engine.is_applying_settings())
        };
        for execution in self
            .executions
            .values()
            .filter(|execution| execution.stage == Stage::Sent || setting(execution))
        {
            let engine = self.engines.get(&execution.engine_index);
            if engine.is_some_and(|engine| {
                engine.up && now - engine.last_reply.max(engine.last_ping) >= PING_AFTER
            }) {
                silent
                    .entry(execution.engine_index)
                    .or_insert(execution.unit.account);
            }
        }
        for (engine_index, account) in silent {
            if let Some(engine) = self.engines.get_mut(&engine_index) {
                engine.last_ping = now;
            }
            match self.pools.idle_connection(engine_index) {
                Some(id) => {
                    if let Some(server) = self.connections.get_mut(&id) {
                        server.engine.ping(server.link.output());
                        self.flush_pending.insert(id);
                    }
                }
                // A login counts as a reply as well.
                None if self.pools.may_dial(engine_index)
                    && self.dials.borrow_mut().try_take_slot(now, engine_index) =>
                {
                    _ = self.dial(now, engine_index, account)
                }
                None => {}
            }
        }
    }

    fn report_refused(&mut self, execution_id: ExecutionId, error: Vec<u8>) {
        self.executions.remove(&execution_id);
        self.events.push(Event::Refused {
            execution_id,
            error,
        });
    }

    fn finish_unit(&mut self, now: Micros, id: ServerId, done: UnitOutcome) {
        let Some(server) = self.connections.get_mut(&id) else {
            return;
        };
        let (engine_index, execution_id, session) = (
            server.engine_index,
            server.serving.take(),
            server.transaction_of.take(),
        );
        server.discards_replies = false;
        let open = done.status != b'I';
        let listed = self
            .engines
            .get(&engine_index)
            .is_some_and(|engine| engine.up);
        let execution = execution_id.and_then(|execution_id| self.executions.remove(&execution_id));
        let Some((execution_id, execution)) = execution_id.zip(execution) else {
            // The unit was cancelled, or there was none: a transaction that it left open has no
            // session and is rolled back.
            return if open {
                self.close_and_refill(now, id, engine_index)
            } else {
                self.release_idle(now, id)
            };
        };
        if done.engine_fault && !execution.answer_started && execution.unit.pin.is_none() {
            self.events.push(Event::Ended {
                execution_id,
                ending: Ending::EngineFailed,
            });
            return if open {
                self.close_and_refill(now, id, engine_index)
            } else {
                self.release_idle(now, id)
            };
        }
        let (holder, keeps) = (execution.unit.session, open && listed);
        let held = keeps.then_some(id);
        self.events.push(Event::Answered {
            execution_id,
            bytes: execution.unsent_answer,
            done,
            held,
        });
        if keeps {
            if let Some(server) = self.connections.get_mut(&id) {
                server.transaction_of = session.or(Some(holder));
            }
        } else if open {
            // The engine drains, so the transaction gets no further statement there.
            self.events.push(Event::TransactionLost { session: holder });
            self.close_and_refill(now, id, engine_index);
        } else {
            self.release_idle(now, id);
        }
    }
}
