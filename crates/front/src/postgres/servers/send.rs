//! Units on their way to engines: over which connection, and when a new one is made.

use std::io::ErrorKind;
use std::rc::Rc;

use hallmux_dispatcher::{Ending, EngineIndex, Micros};
use hallmux_postgres::engine::EngineConnection;
use hallmux_postgres::pool::{self, PoolAction};
use hallmux_postgres::session::UnitPart;

use super::{Event, Execution, Server, Servers, Stage, Unit};
use crate::events::SocketKind;
use crate::execution::ExecutionId;
use crate::link::Link;
use crate::postgres::ids::ServerId;

/// Bytes that an engine may leave untaken: some units of the largest size.
const MOST_UNSENT: usize = 4 << 20;

impl Servers {
    /// Sends a unit over the connection that holds its transaction, else over one that its pool gives.
    pub fn send(&mut self, now: Micros, execution_id: ExecutionId, place: EngineIndex, unit: Unit) {
        if !self.engines.get(&place).is_some_and(|e| e.up) {
            return self.events.push(Event::Ended {
                execution_id,
                ending: Ending::Withdrawn,
            });
        }
        let (pin, account, settings) = (unit.pin, unit.account, unit.settings.clone());
        let execution = Execution {
            unit,
            place,
            link: None,
            stage: Stage::Waiting,
            unsent_answer: Vec::new(),
            begun: false,
            paused: false,
        };
        match pin {
            Some(id) => match self
                .links
                .get_mut(&id)
                .filter(|l| l.place == place && l.holds.is_some())
            {
                Some(link) => {
                    self.executions.insert(execution_id, execution);
                    link.serves = Some(execution_id);
                    if link.cancels == 0 {
                        self.start(execution_id, id);
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
                    self.links
                        .get(&id)
                        .map_or(0, |l| u32::from(l.engine.has_settings(&settings)))
                };
                let step = self.pools.submit(place, account, execution_id, suits);
                self.step(now, place, step);
            }
        }
    }

    /// Does what the pools have decided, and what follows from that.
    pub(super) fn step(
        &mut self,
        now: Micros,
        place: EngineIndex,
        step: Option<PoolAction<ExecutionId>>,
    ) {
        let mut step = step;
        while let Some(next) = step.take() {
            match next {
                PoolAction::Use { unit, connection } => self.start(unit, connection),
                // What waits is served as connections come free, or at the next look when a connection may be made.
                PoolAction::Dial { .. } if !self.dials.borrow_mut().try_take_slot(now, place) => {
                    return
                }
                PoolAction::Dial { account, replacing } => {
                    replacing.into_iter().for_each(|id| self.close(id));
                    if self.links.len() + self.cancels.len() >= self.max_links {
                        match self.pools.oldest_idle() {
                            Some(id) => self.close(id),
                            // What waits is served as connections come free; with none at all it ends.
                            None if !self.links.is_empty() => return,
                            None => {}
                        }
                    }
                    if let Err(ending) = self.dial(now, place, account) {
                        let waited: Vec<ExecutionId> = self.waiting(place, account);
                        for execution_id in waited {
                            self.pools.withdraw(place, execution_id);
                            self.report_end(execution_id, ending);
                        }
                        return;
                    }
                    step = self.pools.next_action(place);
                }
            }
        }
    }

    fn waiting(&self, place: EngineIndex, account: pool::AccountId) -> Vec<ExecutionId> {
        let waits = |execution: &Execution| {
            execution.place == place
                && execution.link.is_none()
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
        place: EngineIndex,
        account: pool::AccountId,
    ) -> Result<(), Ending> {
        let engine = self.engines.get(&place).ok_or(Ending::Withdrawn)?;
        let who = self
            .accounts
            .get(account)
            .cloned()
            .ok_or(Ending::Withdrawn)?;
        self.next += 1;
        let id = self.next;
        let mut link = match Link::dial(engine.at, &self.handle, SocketKind::Server.id(id)) {
            Ok(link) => link,
            Err(e) => {
                log::warn!("engine {}: no connection can be made: {e}", engine.id);
                return Err(dial_ending(&e));
            }
        };
        let engine = EngineConnection::new(who, self.limits.prepared, link.output());
        let dial_by = now + self.allowance.dial_timeout;
        self.pools.connecting(now, place, account, id);
        self.connecting.insert(id, dial_by);
        let server = Server {
            link,
            engine,
            place,
            up: false,
            serves: None,
            holds: None,
            write_end: 0,
            cancels: 0,
            closes_after_unit: false,
            discards: false,
        };
        self.links.insert(id, server);
        Ok(())
    }

    /// Puts a unit on its way.
    pub(super) fn start(&mut self, execution_id: ExecutionId, id: ServerId) {
        let (Some(execution), Some(link)) = (
            self.executions.get_mut(&execution_id),
            self.links.get_mut(&id),
        ) else {
            return;
        };
        link.serves = Some(execution_id);
        (execution.link, execution.stage) = (Some(id), Stage::Writing);
        let own = execution.unit.pin.is_some();
        for (n, part) in execution.unit.parts.iter().enumerate() {
            link.engine.send(
                part,
                &execution.unit.settings,
                own || n > 0,
                link.link.output(),
                &mut execution.unsent_answer,
            );
        }
        link.write_end = link.link.output().len();
        self.changed.insert(id);
    }

    /// More of a unit that is out has come.
    pub fn more(&mut self, execution_id: ExecutionId, part: Rc<UnitPart>) {
        let Some(execution) = self.executions.get_mut(&execution_id) else {
            return;
        };
        execution.unit.parts.push(part.clone());
        let Some(id) = execution.link else { return };
        let Some(link) = self.links.get_mut(&id) else {
            return;
        };
        link.engine.send(
            &part,
            &execution.unit.settings,
            true,
            link.link.output(),
            &mut execution.unsent_answer,
        );
        link.write_end = link.link.output().len();
        execution.stage = Stage::Writing;
        self.changed.insert(id);
        self.pass(execution_id, false);
    }

    /// Sends what is to leave.
    pub fn flush(&mut self, now: Micros) {
        for id in std::mem::take(&mut self.changed) {
            let Some(server) = self.links.get_mut(&id).filter(|l| l.up) else {
                continue;
            };
            let flushed = server.link.flush();
            let left = server.link.has_sent(server.write_end);
            let execution_id = server.serves;
            let unsent = server.link.unsent();
            if let Some(execution) =
                execution_id.and_then(|execution_id| self.executions.get_mut(&execution_id))
            {
                // Guards against a commit that passes for one in doubt: behind settings that are being brought
                // over nothing of it has left.
                if left
                    && execution.stage == Stage::Writing
                    && !server.engine.is_applying_settings()
                {
                    execution.stage = Stage::Out;
                    let once = execution.unit.once || execution.unit.pin.is_some();
                    self.events
                        .extend(execution_id.filter(|_| once).map(Event::Irrevocable));
                }
            }
            if flushed.is_err() {
                self.connection_lost(now, id, Ending::Reset);
            } else if unsent > MOST_UNSENT {
                self.connection_lost(now, id, Ending::Unreadable);
            }
        }
    }
}

pub(super) fn dial_ending(e: &std::io::Error) -> Ending {
    match e.kind() {
        ErrorKind::ConnectionRefused => Ending::ConnectionRefused,
        // Whoever resets a connection is there.
        ErrorKind::ConnectionReset | ErrorKind::BrokenPipe => Ending::ResetWhileConnecting,
        ErrorKind::HostUnreachable | ErrorKind::NetworkUnreachable | ErrorKind::TimedOut => {
            Ending::ConnectTimeout
        }
        _ => Ending::NoDescriptor,
    }
}
