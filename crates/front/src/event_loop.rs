//! What one front does in an iteration: it takes in all that is there, decides once, and sends what follows.

mod admission;
mod dial_capacity;
mod dispatch;
mod engine_list;
mod graceful_shutdown;
mod limits;
mod reload;
mod scatter;
mod start;

use std::time::Duration;

use calloop::LoopHandle;
use hallmux_dispatcher::{Dispatcher, Micros, SendCapacity};

use crate::clients::Clients;
use crate::clock::Clock;
use crate::coordinator::Coordinator;
use crate::engine_starts::EngineStarts;
use crate::engines::Engines;
use crate::events::{LoopEvents, SocketId, SocketKind};
use crate::fleet::rules::Shared;
use crate::fleet::{LoggedGuard, Peers};
use crate::link::Link;
use crate::listener::Listener;
use crate::postgres::gateway::Gateway;
use crate::scatter::ScatteredStatements;
use crate::shutdown::Shutdown;

/// Rounds of decisions in an iteration at most. What one round cancels frees capacity for the next.
const MAX_DECISION_ROUNDS: usize = 8;

/// All that the event loop works on: the connections of each kind, the dispatcher, and the parts that the operator's file
/// switches on.
pub struct EventLoopState {
    handle: LoopHandle<'static, LoopEvents>,
    listener: Listener,
    dispatcher: Dispatcher,
    /// Microseconds that an answer may take on its way to a client.
    answer_slack: Micros,
    /// Statements held at most.
    max_statements: usize,
    /// Bytes of statements held at most, and of untaken answers.
    max_bytes: usize,
    /// Connections of clients and sessions at most.
    max_clients: usize,
    /// Statements were rejected for want of memory when the last one came; that has been logged.
    memory_full: bool,
    clients: Clients,
    engines: Engines,
    coordinator: Coordinator,
    engine_starts: EngineStarts,
    /// PostgreSQL sessions, where the operator's file switches them on.
    gateway: Option<Gateway>,
    /// Messages with other fronts, likewise.
    peers: Option<Peers>,
    /// Regional access rules of customers, likewise.
    rules: Option<Shared>,
    /// Executions that wait for the ledger, where fronts keep one.
    guard: Option<LoggedGuard>,
    /// Statements that are asked of several sites, likewise.
    scatter: Option<ScatteredStatements>,
    /// What was reported to the dispatcher of how many executions can leave for each engine.
    send_capacity: SendCapacity,
    shutdown: Shutdown,
    clock: Clock,
    /// Connections with more to read than one iteration takes.
    unfinished: Vec<SocketId>,
    /// What was decided has not left for engines yet: the connections are read first.
    flush_deferred: bool,
}

impl EventLoopState {
    /// How long nothing is due: the event loop may sleep for that long.
    pub fn idle(&mut self) -> Duration {
        self.clock.refresh();
        let due = self.next_due();
        self.clock.sleep(due)
    }

    /// When something is due though no socket changes, in Unix microseconds.
    fn next_due(&self) -> Micros {
        let now = self.clock.now;
        if !self.unfinished.is_empty() || self.flush_deferred {
            return 0;
        }
        let always = [
            self.dispatcher.next_tick(),
            self.engines.next_timeout(),
            self.coordinator.due(),
            self.listener.due(),
            self.shutdown.due(now),
        ];
        let gossips = self.peers.is_some();
        let optional = [
            self.gateway.as_ref().map(Gateway::due),
            self.peers.as_ref().map(|peers| peers.due(now)),
            self.guard.as_ref().map(LoggedGuard::due),
            self.rules.as_ref().map(|rules| rules.borrow().due(now)),
            self.scatter.as_ref().map(|scatter| scatter.due(gossips)),
        ];
        always
            .into_iter()
            .chain(optional.into_iter().flatten())
            .min()
            .unwrap_or(now)
    }

    /// A connection has changed: takes what is there.
    pub fn ready(&mut self, socket: SocketId) {
        self.clock.refresh();
        self.clock.wake();
        let number = socket.number;
        let more = match socket.kind {
            // Statements of one order key run in the order in which they were taken: each is taken as it is found.
            SocketKind::Listener => {
                self.listener.readable();
                self.accept();
                false
            }
            SocketKind::Client => self.read_client(number),
            SocketKind::Engine => self.engines.read(self.clock.now, number),
            SocketKind::Coordinator => {
                let before = self.coordinator.last_index;
                if let Some(stream) = self.coordinator.read(self.clock.now, number) {
                    self.apply_list(&stream, before);
                }
                false
            }
            SocketKind::Peers => self
                .peers
                .as_mut()
                .is_some_and(|peers| peers.read(self.clock.now)),
            SocketKind::SessionListener
            | SocketKind::Session
            | SocketKind::Server
            | SocketKind::Cancel => {
                let (now, admission) = (self.clock.now, self.admission_state());
                let gateway = self.gateway.as_mut();
                gateway.is_some_and(|gateway| {
                    gateway.socket_ready(now, socket, admission, &mut self.dispatcher)
                })
            }
        };
        if more {
            self.unfinished.push(socket);
        }
    }

    /// One iteration of the event loop, after `ready` was called for each socket that it reported: reads what is left,
    /// decides on all that was read, and sends what follows.
    pub fn iterate(&mut self) {
        self.read_rest();
        self.decide();
        self.answer_clients();
        self.close_if_due();
        for client in self.clients.readable_again() {
            self.unfinished.push(SocketKind::Client.id(client));
        }
    }

    /// Accepts and reads what the last iteration left, and does what is due without the dispatcher's decisions.
    fn read_rest(&mut self) {
        self.clock.refresh();
        self.clock.wake();
        for socket in std::mem::take(&mut self.unfinished) {
            self.ready(socket);
        }
        self.accept();
        let admission = self.admission_state();
        let sessions_left = self.connections_left();
        if let Some(gateway) = &mut self.gateway {
            gateway.accept(self.clock.now, sessions_left);
            gateway.take(self.clock.now, admission, &mut self.dispatcher);
            gateway.expire(self.clock.now, admission, &mut self.dispatcher);
        }
        let mut events = Vec::new();
        self.clients.expire(self.clock.now, &mut events);
        self.handle_client_events(events);
        if let Some(peers) = &mut self.peers {
            peers.tick(self.clock.now, &mut self.dispatcher);
        }
        self.tick_scatter();
        self.engines.expire_timeouts(self.clock.now);
        self.coordinator.expire(self.clock.now);
    }

    /// Lets the dispatcher decide on all that was read, and carries its orders out until none is left.
    fn decide(&mut self) {
        self.clock.refresh();
        self.clock.decide();
        self.apply_rulings();
        self.flush_after_read();
        for _ in 0..MAX_DECISION_ROUNDS {
            self.handle_engine_events();
            self.apply_promises();
            self.apply_marks();
            self.report_dial_capacity();
            let orders = self.dispatcher.tick(self.clock.now);
            if orders.is_empty() {
                break;
            }
            for order in orders {
                self.carry_out(order);
            }
            self.apply_rulings();
            // Cancels leave before the executions that use the freed capacity.
            self.flush_engines();
        }
        self.flush_engines();
        self.handle_engine_events();
    }

    /// Sends answers to clients, and polls to the coordinator.
    fn answer_clients(&mut self) {
        let admission = self.admission_state();
        if let Some(gateway) = &mut self.gateway {
            gateway.flush(
                self.clock.now,
                admission,
                self.max_bytes,
                &mut self.dispatcher,
            );
        }
        self.coordinator.flush(self.clock.now);
        let mut events = Vec::new();
        self.answer_scattered();
        self.clients.flush(self.clock.now, &mut events);
        let unsent = self.clients.unsent();
        if let Some(client) = unsent.slowest.filter(|_| unsent.bytes > self.max_bytes) {
            let bytes = unsent.bytes;
            log::warn!(
                "client {client}: takes no answers, {bytes} bytes wait; its connection is closed"
            );
            self.clients.disconnect(client, &mut events);
        }
        self.handle_client_events(events);
    }

    /// Sends to engines what was decided. Guards against a front that stood still or worked for long since it last
    /// read its connections: a client may have left meanwhile, or a drain been listed. Then it reads first, and
    /// sends in the next iteration.
    fn flush_engines(&mut self) {
        self.clock.refresh();
        self.flush_deferred = self.clock.is_stale();
        if !self.flush_deferred {
            self.send_out();
        }
    }

    /// The connections were read just now: what was held back for that leaves.
    fn flush_after_read(&mut self) {
        if std::mem::take(&mut self.flush_deferred) {
            self.clock.refresh();
            self.send_out();
        }
    }

    fn send_out(&mut self) {
        self.engines.flush(self.clock.now);
        self.gateway
            .iter_mut()
            .for_each(|gateway| gateway.flush_servers(self.clock.now));
    }

    /// How many more clients and sessions may connect.
    fn connections_left(&self) -> usize {
        let sessions = self.gateway.as_ref().map_or(0, Gateway::len);
        self.max_clients
            .saturating_sub(self.clients.len() + sessions)
    }

    /// Accepts clients that wait, as far as connections are left or idle ones can make way, and reads from each.
    fn accept(&mut self) {
        let now = self.clock.now;
        loop {
            let (clients, gateway, most) = (&mut self.clients, &mut self.gateway, self.max_clients);
            let reserve = || {
                let sessions = gateway.as_ref().map_or(0, Gateway::len);
                let free = clients.len() + sessions < most
                    || gateway.as_mut().is_some_and(Gateway::drop_lingering)
                    || clients.evict_idle()
                    || gateway
                        .as_mut()
                        .is_some_and(|gateway| gateway.evict_idle(now));
                free.then_some(())
                    .ok_or_else(|| format!("{} clients are connected", clients.len() + sessions))
            };
            let Some(stream) = self.listener.accept(now, reserve) else {
                return;
            };
            let id = self.clients.next_id();
            match Link::new(stream, &self.handle, SocketKind::Client.id(id)) {
                Ok(link) => {
                    self.clients
                        .accept(now, id, link, self.listener.waited(now));
                    self.ready(SocketKind::Client.id(id));
                }
                Err(e) => log::warn!("a client's connection can't be served: {e}"),
            }
        }
    }
}

#[cfg(test)]
#[path = "event_loop_tests.rs"]
mod tests;

#[cfg(test)]
#[path = "held_tests.rs"]
mod held_tests;
