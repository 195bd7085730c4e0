//! The event loop of a front: each iteration reads all available input, lets the dispatcher decide once, and sends
//! the results.

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

use crate::clients::{self, Clients};
use crate::clock::Clock;
use crate::coordinator::Coordinator;
use crate::engine_starts::EngineStarts;
use crate::engines::Engines;
use crate::events::{LoopEvents, SocketId, SocketKind};
use crate::fleet::rules::SharedRules;
use crate::fleet::{LoggedBarrier, Peers};
use crate::input_memory::connections_to_shed;
use crate::link::Link;
use crate::listener::Listener;
use crate::postgres::gateway::Gateway;
use crate::read_queue::{read_share, ReadQueue};
use crate::scatter::ScatteredStatements;
use crate::shutdown::Shutdown;

/// Rounds of decisions per iteration. Executions that one round cancels free capacity for the next.
const MAX_DECISION_ROUNDS: usize = 8;

/// The state that the event loop works on: the connections of each kind, the dispatcher, and the components that the
/// operator's file enables.
pub struct EventLoopState {
    handle: LoopHandle<'static, LoopEvents>,
    listener: Listener,
    dispatcher: Dispatcher,
    /// Microseconds that an answer may take to reach a client.
    answer_slack: Micros,
    /// Limit of the statements held.
    max_statements: usize,
    /// Limit in bytes of the statements held, and separately of the unsent answers.
    max_bytes: usize,
    /// Limit in bytes of the memory that the input of clients and sessions takes.
    max_input_bytes: usize,
    /// Limit of the connections of clients and sessions together.
    max_clients: usize,
    /// Whether memory was full when the last statement arrived. Changes are logged.
    is_memory_full: bool,
    clients: Clients,
    engines: Engines,
    coordinator: Coordinator,
    engine_starts: EngineStarts,
    /// PostgreSQL sessions, if the operator's file enables them.
    gateway: Option<Gateway>,
    /// Messages to and from other fronts, if the operator's file enables gossip.
    peers: Option<Peers>,
    /// Regional access rules of customers, if the operator's file enables them.
    rules: Option<SharedRules>,
    /// Executions that wait for their ledger entries, if the fronts keep a ledger.
    guard: Option<LoggedBarrier>,
    /// Statements that are scattered over several sites, if the operator's file enables that.
    scatter: Option<ScatteredStatements>,
    /// The numbers of executions that can be sent to each engine, as last reported to the dispatcher.
    send_capacity: SendCapacity,
    shutdown: Shutdown,
    clock: Clock,
    /// Connections that had more to read than one iteration reads.
    unfinished_reads: ReadQueue,
    /// Decided commands have not been sent to engines yet, because the connections have to be read first.
    flush_deferred: bool,
}

impl EventLoopState {
    /// Returns how long the event loop may sleep until something is due.
    pub fn prepare_sleep(&mut self) -> Duration {
        self.clock.refresh();
        let due = self.next_due();
        self.clock.prepare_sleep(due)
    }

    /// The time at which something is due without any socket event, in Unix microseconds; 0 if it is due now.
    fn next_due(&self) -> Micros {
        let now = self.clock.now;
        if !self.unfinished_reads.is_empty() || self.flush_deferred {
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
            self.guard.as_ref().map(LoggedBarrier::due),
            self.rules.as_ref().map(|rules| rules.borrow().due(now)),
            self.scatter.as_ref().map(|scatter| scatter.due(gossips)),
        ];
        always
            .into_iter()
            .chain(optional.into_iter().flatten())
            .min()
            .unwrap_or(now)
    }

    /// Reads from a socket that the event loop reported as ready, unless it is to be read in this iteration anyway.
    pub fn handle_ready_socket(&mut self, socket: SocketId) {
        if !self.unfinished_reads.contains(socket) {
            let share = read_share(self.unfinished_reads.len() + 1);
            self.read_socket(socket, share);
        }
    }

    /// Reads from a socket, `share` bytes at most if it is a client's.
    fn read_socket(&mut self, socket: SocketId, share: usize) {
        self.clock.refresh();
        self.clock.start_iteration();
        let number = socket.number;
        let has_more = match socket.kind {
            // Statements of one order key run in the order of their admission, so each is admitted as soon as it is read.
            SocketKind::Listener => {
                self.listener.mark_readable();
                self.accept();
                false
            }
            SocketKind::Client => self.read_client(number, share),
            SocketKind::Engine => self.engines.read(self.clock.now, number),
            SocketKind::Coordinator => {
                let last_index = self.coordinator.last_index;
                if let Some(events) = self.coordinator.read(self.clock.now, number) {
                    self.apply_list(&events, last_index);
                }
                false
            }
            SocketKind::Peers => self
                .peers
                .as_mut()
                .is_some_and(|peers| peers.receive_datagrams(self.clock.now)),
            SocketKind::SessionListener
            | SocketKind::Session
            | SocketKind::Server
            | SocketKind::Cancel => {
                let (now, admission) = (self.clock.now, self.admission_state());
                let gateway = self.gateway.as_mut();
                gateway.is_some_and(|gateway| {
                    gateway.set_read_share(share);
                    gateway.socket_ready(now, socket, admission, &mut self.dispatcher)
                })
            }
        };
        if has_more {
            self.unfinished_reads.push(socket);
        }
    }

    /// Runs one iteration of the event loop, after `handle_ready_socket` was called for each socket that it reported:
    /// reads the remaining input, decides on all that was read, and sends the results.
    pub fn run_iteration(&mut self) {
        self.read_remaining();
        self.shed_input();
        self.decide();
        self.answer_clients();
        self.close_if_due();
        for client in self.clients.readable_again() {
            self.unfinished_reads.push(SocketKind::Client.id(client));
        }
    }

    /// Accepts and reads the input that the last iteration left, and runs the timers that need no decision of the
    /// dispatcher.
    fn read_remaining(&mut self) {
        self.clock.refresh();
        self.clock.start_iteration();
        let unfinished = self.unfinished_reads.take();
        let share = read_share(unfinished.len());
        for socket in unfinished {
            self.read_socket(socket, share);
        }
        self.accept();
        let admission = self.admission_state();
        let sessions_left = self.connections_left();
        if let Some(gateway) = &mut self.gateway {
            gateway.accept(self.clock.now, sessions_left);
            gateway.read_unfinished(self.clock.now, admission, &mut self.dispatcher);
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

    /// Rejects what the slowest clients are sending, if the input of all takes too much memory.
    fn shed_input(&mut self) {
        let sessions = self.gateway.iter().flat_map(Gateway::held_input);
        let held = self.clients.held_input().chain(sessions).collect();
        for socket in connections_to_shed(held, self.max_input_bytes) {
            match socket.kind {
                SocketKind::Client => self.clients.shed_input(socket.number),
                _ => self
                    .gateway
                    .iter_mut()
                    .for_each(|gateway| gateway.shed_input(self.clock.now, socket.number)),
            }
        }
    }

    /// Lets the dispatcher decide on all that was read, and executes its commands until it has no more.
    fn decide(&mut self) {
        self.clock.refresh();
        self.clock.mark_decided();
        self.apply_rule_decisions();
        self.flush_after_read();
        for _ in 0..MAX_DECISION_ROUNDS {
            self.handle_engine_events();
            self.apply_ledger_decisions();
            self.apply_load_markers();
            self.report_dial_capacity();
            let commands = self.dispatcher.tick(self.clock.now);
            if commands.is_empty() {
                break;
            }
            for command in commands {
                self.execute_command(command);
            }
            self.apply_rule_decisions();
            // Cancellations are sent before the executions that use the freed capacity.
            self.flush_engines_if_fresh();
        }
        self.flush_engines_if_fresh();
        self.handle_engine_events();
    }

    /// Sends answers to clients, and polls to the coordinator.
    fn answer_clients(&mut self) {
        let admission = self.admission_state();
        if let Some(gateway) = &mut self.gateway {
            gateway.flush(self.clock.now, admission, &mut self.dispatcher);
        }
        self.coordinator.flush(self.clock.now);
        let mut events = Vec::new();
        self.answer_scattered();
        self.clients.flush(self.clock.now, &mut events);
        self.close_slowest_reader(&mut events);
        self.handle_client_events(events);
    }

    /// Closes the connection with most unsent answers, of either protocol, if those of all take too much memory.
    fn close_slowest_reader(&mut self, events: &mut Vec<clients::Event>) {
        let of_clients = self.clients.unsent();
        let of_sessions = self.gateway.as_ref().map(Gateway::unsent);
        let session_bytes = of_sessions.as_ref().map_or(0, |unsent| unsent.bytes);
        let bytes = of_clients.bytes + session_bytes;
        if bytes <= self.max_bytes {
            return;
        }
        log::warn!(
            "{bytes} bytes of answers are unsent; the connection with most of them is closed"
        );
        let slowest_session = of_sessions
            .filter(|unsent| unsent.most() > of_clients.most())
            .and_then(|unsent| unsent.slowest);
        let admission = self.admission_state();
        match (slowest_session, of_clients.slowest, &mut self.gateway) {
            (Some(session), _, Some(gateway)) => gateway.close_slow_reader(
                self.clock.now,
                admission,
                session.id,
                &mut self.dispatcher,
            ),
            (_, Some(client), _) => {
                let id = client.id;
                log::warn!("client {id}: does not read its answers; its connection is closed");
                self.clients.disconnect(id, events);
            }
            _ => {}
        }
    }

    /// Sends the decided commands to engines, unless this iteration's read is stale. Guards against a front that was
    /// stalled or busy for long since it last read its connections: a client may have disconnected meanwhile, or an
    /// engine been listed as draining. The front then reads first, and sends in the next iteration.
    fn flush_engines_if_fresh(&mut self) {
        self.clock.refresh();
        self.flush_deferred = self.clock.is_stale();
        if !self.flush_deferred {
            self.flush_engine_connections();
        }
    }

    /// Sends the commands that `flush_engines_if_fresh` deferred, as the connections have been read by now.
    fn flush_after_read(&mut self) {
        if std::mem::take(&mut self.flush_deferred) {
            self.clock.refresh();
            self.flush_engine_connections();
        }
    }

    /// Sends all pending output to engines of both protocols.
    fn flush_engine_connections(&mut self) {
        self.engines.flush(self.clock.now);
        self.gateway
            .iter_mut()
            .for_each(|gateway| gateway.flush_servers(self.clock.now));
    }

    /// The number of further clients and sessions that may connect.
    fn connections_left(&self) -> usize {
        let sessions = self.gateway.as_ref().map_or(0, Gateway::len);
        self.max_clients
            .saturating_sub(self.clients.len() + sessions)
    }

    /// Accepts waiting clients while connections are left or idle ones can be evicted, and reads from each.
    fn accept(&mut self) {
        let now = self.clock.now;
        loop {
            let (clients, gateway, max_clients) =
                (&mut self.clients, &mut self.gateway, self.max_clients);
            let reserve = || {
                let sessions = gateway.as_ref().map_or(0, Gateway::len);
                let free = clients.len() + sessions < max_clients
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
                        .accept(now, id, link, self.listener.unread_for(now));
                    self.handle_ready_socket(SocketKind::Client.id(id));
                }
                Err(e) => {
                    log::warn!("client {id}: its connection can't be registered: {e}; it is closed")
                }
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
