//! Sends units to engines: chooses their connections, and decides when to open a new one.

use std::io::ErrorKind;
use std::rc::Rc;

use hallmux_dispatcher::{Ending, EngineIndex, Micros};
use hallmux_postgres::engine::EngineConnection;
use hallmux_postgres::pool::{self, PoolAction, Released};
use hallmux_postgres::session::UnitPart;

use super::{Event, Execution, Server, Servers, Stage, Unit};
use crate::events::SocketKind;
use crate::execution::{reason_expired, ExecutionId};
use crate::link::Link;
use crate::postgres::ids::ServerId;

/// Upper limit of the bytes that an engine may leave unread: a few units of the largest size.
const MAX_UNSENT_BYTES: usize = 4 << 20;

impl Servers {
    /// Sends a unit over the connection that holds its transaction, or over one from its pool. The
    /// execution ends as withdrawn if the engine is not up, or if the connection that held the
    /// transaction is gone, no longer holds it, or belongs to another engine.
    pub fn send(
        &mut self,
        now: Micros,
        execution_id: ExecutionId,
        engine_index: EngineIndex,
        unit: Unit,
    ) {
        if !self
            .engines
            .get(&engine_index)
            .is_some_and(|engine| engine.up)
        {
            return self.events.push(Event::Ended {
                execution_id,
                ending: Ending::Withdrawn,
            });
        }
        let (pin, account, settings) = (unit.pin, unit.account, unit.settings.clone());
        let execution = Execution {
            unit,
            engine_index,
            connection: None,
            stage: Stage::Waiting,
            unsent_answer: Vec::new(),
            answer_started: false,
            paused: false,
        };
        match pin {
            Some(id) => match self.connections.get_mut(&id).filter(|server| {
                server.engine_index == engine_index && server.transaction_of.is_some()
            }) {
                Some(server) => {
                    self.executions.insert(execution_id, execution);
                    server.serving = Some(execution_id);
                    if server.cancels == 0 {
                        self.start_pinned(now, execution_id, id);
                    }
                }
                None => self.events.push(Event::Ended {
                    execution_id,
                    ending: Ending::Withdrawn,
                }),
            },
            None => {
                self.executions.insert(execution_id, execution);
                let suits = |id: u64| {
                    self.connections
                        .get(&id)
                        .map_or(0, |server| u32::from(server.engine.has_settings(&settings)))
                };
                let action = self
                    .pools
                    .submit(engine_index, account, execution_id, suits);
                self.run_pool_action(now, engine_index, action);
            }
        }
    }

    /// Executes an action of the pools, and the actions that follow from it.
    pub(super) fn run_pool_action(
        &mut self,
        now: Micros,
        engine_index: EngineIndex,
        action: Option<PoolAction<ExecutionId>>,
    ) {
        let mut action = action;
        while let Some(next) = action.take() {
            match next {
                PoolAction::Use { unit, connection } if self.has_expired(now, unit) => {
                    self.report_end(unit, Ending::Withdrawn);
                    action = self.release_unused(now, connection);
                }
                PoolAction::Use { unit, connection } => self.start(unit, connection),
                // Waiting units are served when a connection is released, or at the next check when
                // one may be opened.
                PoolAction::Dial { .. }
                    if !self.dials.borrow_mut().try_take_slot(now, engine_index) =>
                {
                    return
                }
                PoolAction::Dial { account, replacing } => {
                    replacing.into_iter().for_each(|id| self.close(id));
                    if self.connections.len() + self.cancels.len() >= self.max_connections {
                        match self.pools.oldest_idle() {
                            Some(id) => self.close(id),
                            // Waiting units are served when a connection is released; without any
                            // connection a dial is attempted, and the units end if it fails.
                            None if !self.connections.is_empty() => return,
                            None => {}
                        }
                    }
                    if let Err(ending) = self.dial(now, engine_index, account) {
                        let waited: Vec<ExecutionId> =
                            self.waiting_executions(engine_index, account);
                        for execution_id in waited {
                            self.pools.withdraw(engine_index, execution_id);
                            self.report_end(execution_id, ending);
                        }
                        return;
                    }
                    action = self.pools.next_action(engine_index);
                }
            }
        }
    }

    fn waiting_executions(
        &self,
        engine_index: EngineIndex,
        account: pool::AccountId,
    ) -> Vec<ExecutionId> {
        let waits = |execution: &Execution| {
            execution.engine_index == engine_index
                && execution.connection.is_none()
                && execution.unit.pin.is_none()
                && execution.unit.account == account
        };
        let mut all: Vec<ExecutionId> = self
            .executions
            .iter()
            .filter(|(_, execution)| waits(execution))
            .map(|(s, _)| *s)
            .collect();
        all.sort_unstable();
        all
    }

    pub(super) fn dial(
        &mut self,
        now: Micros,
        engine_index: EngineIndex,
        account: pool::AccountId,
    ) -> Result<(), Ending> {
        let engine = self.engines.get(&engine_index).ok_or(Ending::Withdrawn)?;
        let who = self
            .accounts
            .get(account)
            .cloned()
            .ok_or(Ending::Withdrawn)?;
        self.last_id += 1;
        let id = self.last_id;
        let mut link = match Link::dial(engine.address, &self.handle, SocketKind::Server.id(id)) {
            Ok(link) => link,
            Err(e) => {
                log::warn!("engine {}: no connection can be made: {e}", engine.id);
                return Err(dial_ending(&e));
            }
        };
        let engine =
            EngineConnection::new(who, self.limits.engine_prepared_statements, link.output());
        let dial_by = now + self.network.dial_timeout;
        self.pools.connecting(now, engine_index, account, id);
        self.connecting.insert(id, dial_by);
        let server = Server {
            link,
            engine,
            engine_index,
            up: false,
            serving: None,
            transaction_of: None,
            write_start: 0,
            write_end: 0,
            cancels: 0,
            closes_after_unit: false,
            discards_replies: false,
        };
        self.connections.insert(id, server);
        Ok(())
    }

    /// Whether an execution may no longer be sent: its client's time is over, or engines may have
    /// forgotten its first execution.
    pub(super) fn has_expired(&self, now: Micros, execution_id: ExecutionId) -> bool {
        let execution = self.executions.get(&execution_id);
        let reason = execution.and_then(|execution| reason_expired(now, &execution.unit.terms));
        if let Some(reason) = reason {
            let ticket = execution_id.ticket;
            log::debug!("statement {ticket}: its execution is withdrawn unsent: {reason}");
        }
        reason.is_some()
    }

    /// Withdraws the repeats that wait for a connection after their deduplication window, so that
    /// their statements end without waiting for one. The dispatcher ends those past their deadline.
    pub(super) fn withdraw_late_repeats(&mut self, now: Micros) {
        let is_late = |execution: &Execution| {
            execution.stage == Stage::Waiting
                && execution.unit.pin.is_none()
                && now >= execution.unit.terms.send_by
        };
        let late: Vec<ExecutionId> = self
            .executions
            .iter()
            .filter(|(_, execution)| is_late(execution))
            .map(|(execution_id, _)| *execution_id)
            .collect();
        for execution_id in late {
            self.cancel_execution(now, execution_id, Ending::Withdrawn);
        }
    }

    /// Returns a connection to its pool that was assigned to a unit and not used. Returns the action
    /// for the next waiting unit.
    fn release_unused(&mut self, now: Micros, id: ServerId) -> Option<PoolAction<ExecutionId>> {
        let engine_index = self.engine_index(id)?;
        match self.pools.release(now, id) {
            Released::Idle => None,
            Released::Action(action) => Some(action),
            Released::Close => {
                self.close(id);
                self.pools.next_action(engine_index)
            }
        }
    }

    /// Writes a unit to the connection that holds its transaction. If the unit may no longer be sent
    /// the connection is closed, which rolls the transaction back.
    pub(super) fn start_pinned(&mut self, now: Micros, execution_id: ExecutionId, id: ServerId) {
        if self.has_expired(now, execution_id) {
            return self.cancel_execution(now, execution_id, Ending::Withdrawn);
        }
        self.start(execution_id, id);
    }

    /// Writes a unit to a connection.
    fn start(&mut self, execution_id: ExecutionId, id: ServerId) {
        let (Some(execution), Some(server)) = (
            self.executions.get_mut(&execution_id),
            self.connections.get_mut(&id),
        ) else {
            return;
        };
        server.serving = Some(execution_id);
        (execution.connection, execution.stage) = (Some(id), Stage::Writing);
        let is_pinned = execution.unit.pin.is_some();
        server.write_start = server.link.end_of_output();
        for (n, part) in execution.unit.parts.iter().enumerate() {
            server.engine.send(
                part,
                &execution.unit.settings,
                is_pinned || n > 0,
                server.link.output(),
                &mut execution.unsent_answer,
            );
        }
        server.write_end = server.link.output().len();
        self.flush_pending.insert(id);
    }

    /// Writes the unit that waited for its settings, which are applied now. If it may no longer be
    /// sent its connection is closed.
    pub(super) fn start_with_settings(&mut self, now: Micros, id: ServerId) {
        let Some(server) = self.connections.get(&id) else {
            return;
        };
        let (execution_id, engine_index) = (server.serving, server.engine_index);
        if let Some(execution_id) = execution_id.filter(|id| self.has_expired(now, *id)) {
            self.report_end(execution_id, Ending::Withdrawn);
            return self.close_and_refill(now, id, engine_index);
        }
        let Some(server) = self.connections.get_mut(&id) else {
            return;
        };
        let execution = execution_id.and_then(|id| self.executions.get_mut(&id));
        let mut dropped = Vec::new();
        let unsent_answer =
            execution.map_or(&mut dropped, |execution| &mut execution.unsent_answer);
        server.write_start = server.link.end_of_output();
        server
            .engine
            .send_waiting(server.link.output(), unsent_answer);
        server.write_end = server.link.output().len();
        self.flush_pending.insert(id);
    }

    /// Writes a further part of a unit that is in flight.
    pub fn append_part(&mut self, execution_id: ExecutionId, part: Rc<UnitPart>) {
        let Some(execution) = self.executions.get_mut(&execution_id) else {
            return;
        };
        execution.unit.parts.push(part.clone());
        let Some(id) = execution.connection else {
            return;
        };
        let Some(server) = self.connections.get_mut(&id) else {
            return;
        };
        server.engine.send(
            &part,
            &execution.unit.settings,
            true,
            server.link.output(),
            &mut execution.unsent_answer,
        );
        server.write_end = server.link.output().len();
        execution.stage = Stage::Writing;
        self.flush_pending.insert(id);
        self.forward_answer(execution_id, false);
    }

    /// Flushes the output to engines.
    pub fn flush(&mut self, now: Micros) {
        for id in std::mem::take(&mut self.flush_pending) {
            let Some(server) = self.connections.get_mut(&id).filter(|server| server.up) else {
                continue;
            };
            let flushed = server.link.flush();
            let left = server.link.has_sent(server.write_end);
            let execution_id = server.serving;
            let unsent = server.link.unsent();
            if let Some(execution) =
                execution_id.and_then(|execution_id| self.executions.get_mut(&execution_id))
            {
                // While the settings are being transferred nothing of the unit was sent. Guards
                // against reporting a commit that was never sent as one in doubt.
                if left
                    && execution.stage == Stage::Writing
                    && !server.engine.is_applying_settings()
                {
                    execution.stage = Stage::Sent;
                    let once = execution.unit.is_sent_once();
                    self.events
                        .extend(execution_id.filter(|_| once).map(Event::Irrevocable));
                }
            }
            if flushed.is_err() {
                self.connection_lost(now, id, Ending::Reset);
            } else if unsent > MAX_UNSENT_BYTES {
                self.connection_lost(now, id, Ending::Unreadable);
            }
        }
    }
}

pub(super) fn dial_ending(e: &std::io::Error) -> Ending {
    match e.kind() {
        ErrorKind::ConnectionRefused => Ending::ConnectionRefused,
        // A peer that resets a connection is reachable.
        ErrorKind::ConnectionReset | ErrorKind::BrokenPipe => Ending::ResetWhileConnecting,
        ErrorKind::HostUnreachable | ErrorKind::NetworkUnreachable | ErrorKind::TimedOut => {
            Ending::ConnectTimeout
        }
        _ => Ending::NoDescriptor,
    }
}
