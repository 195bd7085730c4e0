//! What comes from engines: logins, parts of answers, whole ones, signs of life.

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

/// Microseconds for a login once the connection is up; it takes a few ms.
pub(super) const LOGIN_TIMEOUT: Micros = 2_000_000;
/// Microseconds that an engine with units out may be silent before it is pinged.
const PING_AFTER: Micros = 300_000;
/// Bytes taken from an engine at once, and so how far a client may be behind.
const READ_SIZE: usize = 64 << 10;

/// How far the replies of an input were taken.
enum RepliesTaken {
    /// So many bytes were taken; the rest is less than a reply.
    UpTo(usize),
    Unreadable(ProtocolError),
    /// A reply has closed the connection.
    ConnectionClosed,
}

impl Servers {
    /// Hands on what has come of an answer, if it is due: too much to hold, or a client that waits for it.
    pub(super) fn pass(&mut self, execution_id: ExecutionId, caught: bool) {
        let Some(execution) = self.executions.get_mut(&execution_id) else {
            return;
        };
        let flushed = execution
            .unit
            .parts
            .last()
            .is_some_and(|part| !part.ends_unit);
        let due = execution.begun
            || flushed
            || execution.unsent_answer.len() > self.limits.buffer_bytes
            || caught;
        if due && !execution.unsent_answer.is_empty() {
            execution.begun = true;
            let bytes = std::mem::take(&mut execution.unsent_answer);
            let link = execution.link.and_then(|id| self.links.get(&id));
            let whole = link.is_some_and(|l| l.engine.is_between_messages());
            self.events.push(Event::PartialAnswer {
                execution_id,
                bytes,
                whole,
            });
        }
    }

    /// A client is behind with its answer: no more of it is read.
    pub fn pause(&mut self, execution_id: ExecutionId) {
        if let Some(execution) = self.executions.get_mut(&execution_id) {
            execution.paused = true;
        }
    }

    /// A client has caught up. Returns the connection that is to be read again, if it was paused.
    pub fn resume(&mut self, execution_id: ExecutionId) -> Option<ServerId> {
        let execution = self.executions.get_mut(&execution_id)?;
        let was_paused = std::mem::replace(&mut execution.paused, false);
        execution.link.filter(|_| was_paused)
    }

    /// A connection has changed; true if there is more for another iteration.
    pub fn read(&mut self, now: Micros, id: ServerId) -> bool {
        if !self.is_up(now, id) {
            return false;
        }
        let Some(server) = self.links.get_mut(&id) else {
            return false;
        };
        self.changed.insert(id);
        if let Some(engine) = self.engines.get_mut(&server.place) {
            engine.last_reply = now;
        }
        let execution = server.serves.and_then(|id| self.executions.get(&id));
        if execution.is_some_and(|execution| execution.paused) {
            return false;
        }
        let ReadOutcome { has_more, broken } = server.link.read_some(READ_SIZE);
        let mut input = std::mem::take(&mut server.link.input);
        match self.take_replies(now, id, &input) {
            RepliesTaken::ConnectionClosed => return false,
            RepliesTaken::Unreadable(what) => {
                self.close_unreadable(now, id, &what, broken);
                return false;
            }
            RepliesTaken::UpTo(taken) => {
                if let Some(server) = self.links.get_mut(&id) {
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

    /// Whether a connection is up. One that has just come up begins its login; one that failed is closed.
    fn is_up(&mut self, now: Micros, id: ServerId) -> bool {
        let Some(server) = self.links.get_mut(&id) else {
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
                let engine = self.engines.get_mut(&server.place);
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

    /// Takes all replies of an input; answers go on as they are due.
    fn take_replies(&mut self, now: Micros, id: ServerId, input: &[u8]) -> RepliesTaken {
        let mut taken = 0;
        loop {
            let Some(server) = self.links.get_mut(&id) else {
                return RepliesTaken::ConnectionClosed;
            };
            let execution_id = server.serves;
            let execution = execution_id.and_then(|id| self.executions.get_mut(&id));
            let mut dropped = Vec::new();
            let unsent_answer =
                execution.map_or(&mut dropped, |execution| &mut execution.unsent_answer);
            let most_held = self.limits.buffer_bytes;
            let was_setting = server.engine.is_applying_settings();
            let output = server.link.output();
            let read = server
                .engine
                .read(&input[taken..], output, unsent_answer, most_held);
            if was_setting && !server.engine.is_applying_settings() {
                // What waited for the settings leaves now.
                server.write_end = server.link.output().len();
            }
            let (used, reply) = match read {
                Ok(read) => read,
                Err(what) => return RepliesTaken::Unreadable(what),
            };
            taken += used;
            let is_incomplete = reply.is_none() && used == 0;
            if let Some(execution_id) = execution_id {
                self.pass(execution_id, false);
            }
            if let Some(reply) = reply {
                self.handle_reply(now, id, reply);
            }
            if is_incomplete || taken == input.len() {
                return RepliesTaken::UpTo(taken);
            }
        }
    }

    /// A connection has brought what can't be read, which may be no more than its end.
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
        let Some(server) = self.links.get_mut(&id) else {
            return;
        };
        let place = server.place;
        match reply {
            EngineEvent::PingAnswered => self.report_alive(place),
            EngineEvent::Ready => {
                self.connecting.remove(&id);
                if !server.engine.parameters.is_empty() {
                    self.parameters = std::mem::take(&mut server.engine.parameters);
                }
                self.report_alive(place);
                self.release_idle(now, id);
            }
            EngineEvent::LoginRefused { code, error } => {
                log::warn!("engine {}: no login: {code}", self.engine_name(id));
                let lost = self.forget(id);
                self.links.remove(&id);
                for execution_id in lost {
                    match code.as_str() {
                        "53300" => self.report_end(execution_id, Ending::Rejected),
                        code if is_engine_fault(code.as_bytes()) => {
                            self.report_end(execution_id, Ending::ConnectionRefused)
                        }
                        _ => self.refused(execution_id, error.clone()),
                    }
                }
                let step = self.pools.next_action(place);
                self.step(now, place, step);
            }
            EngineEvent::SettingsRefused { error } => {
                let execution_id = server.serves.take();
                self.close(id);
                execution_id
                    .into_iter()
                    .for_each(|execution_id| self.refused(execution_id, error.clone()));
                let step = self.pools.next_action(place);
                self.step(now, place, step);
            }
            EngineEvent::UnitDone(done) => self.unit_done(now, id, done),
        }
    }

    /// An engine has answered: what is out there is not held up by its silence.
    fn report_alive(&mut self, place: EngineIndex) {
        let out =
            |execution: &Execution| execution.place == place && execution.stage != Stage::Waiting;
        let one = self
            .executions
            .iter()
            .filter(|(_, execution)| out(execution))
            .map(|(execution_id, _)| *execution_id)
            .min();
        self.events.extend(one.map(Event::Alive));
    }

    /// Pings engines that have units out and are silent. They send no notes of progress,
    /// and a long statement on an engine that does little else is not to be taken for a hung one.
    pub(super) fn ping_silent(&mut self, now: Micros) {
        let mut quiet: BTreeMap<EngineIndex, pool::AccountId> = BTreeMap::new();
        let setting = |execution: &Execution| {
            let link = execution.link.and_then(|id| self.links.get(&id));
            link.is_some_and(|l| l.engine.is_applying_settings())
        };
        for execution in self
            .executions
            .values()
            .filter(|execution| execution.stage == Stage::Out || setting(execution))
        {
            let engine = self.engines.get(&execution.place);
            if engine.is_some_and(|e| e.up && now - e.last_reply.max(e.last_ping) >= PING_AFTER) {
                quiet
                    .entry(execution.place)
                    .or_insert(execution.unit.account);
            }
        }
        for (place, account) in quiet {
            if let Some(engine) = self.engines.get_mut(&place) {
                engine.last_ping = now;
            }
            match self.pools.idle_connection(place) {
                Some(id) => {
                    if let Some(server) = self.links.get_mut(&id) {
                        server.engine.ping(server.link.output());
                        self.changed.insert(id);
                    }
                }
                // A login is an answer as well.
                None if self.pools.may_dial(place)
                    && self.dials.borrow_mut().try_take_slot(now, place) =>
                {
                    _ = self.dial(now, place, account)
                }
                None => {}
            }
        }
    }

    fn refused(&mut self, execution_id: ExecutionId, error: Vec<u8>) {
        self.executions.remove(&execution_id);
        self.events.push(Event::Refused {
            execution_id,
            error,
        });
    }

    fn unit_done(&mut self, now: Micros, id: ServerId, done: UnitOutcome) {
        let Some(server) = self.links.get_mut(&id) else {
            return;
        };
        let (place, execution_id, session) =
            (server.place, server.serves.take(), server.holds.take());
        server.discards = false;
        let open = done.status != b'I';
        let listed = self.engines.get(&place).is_some_and(|e| e.up);
        let execution = execution_id.and_then(|execution_id| self.executions.remove(&execution_id));
        let Some((execution_id, execution)) = execution_id.zip(execution) else {
            // Of one that was given up, or of none: a transaction that it left open is nobody's.
            return if open {
                self.close_and_refill(now, id, place)
            } else {
                self.release_idle(now, id)
            };
        };
        if done.engine_fault && !execution.begun && execution.unit.pin.is_none() {
            self.events.push(Event::Ended {
                execution_id,
                ending: Ending::EngineFailed,
            });
            return if open {
                self.close_and_refill(now, id, place)
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
            if let Some(server) = self.links.get_mut(&id) {
                server.holds = session.or(Some(holder));
            }
        } else if open {
            // Its engine drains: the transaction has no further statement there.
            self.events.push(Event::TransactionLost { session: holder });
            self.close_and_refill(now, id, place);
        } else {
            self.release_idle(now, id);
        }
    }
}
