//! The gateway for PostgreSQL sessions. It submits their units to the dispatcher, carries out the
//! dispatcher's commands over connections to engines, and forwards the answers. It exists only if
//! the operator's file switches it on.

mod accept;
mod admission;
mod further_parts;
mod loads;
mod server_events;

use std::net::TcpListener;
use std::rc::Rc;

use calloop::LoopHandle;
use hallmux_config::{Postgres, Settings};
use hallmux_dispatcher::{Dispatcher, Ending, EngineIndex, Micros, Terms, Ticket};
use hallmux_postgres::session::Transaction;

use super::admission_state::AdmissionState;
use super::error::ListenError;
use super::ids::SessionId;
use super::servers::{self, Servers, Unit};
use super::sessions::{self, Sessions, Users};
use crate::engine_protocols::EngineProtocols;
use crate::events::{LoopEvents, SocketId, SocketKind};
use crate::execution::ExecutionId;
use crate::fleet::rules::SharedRules;
use crate::input_memory::HeldInput;
use crate::listener::Listener;
use crate::read_queue::ReadQueue;
use crate::transient;
use crate::unsent_answers::UnsentAnswers;

/// The sessions of PostgreSQL clients, and the connections to engines that serve them.
pub struct Gateway {
    handle: LoopHandle<'static, LoopEvents>,
    listener: Listener,
    sessions: Sessions,
    servers: Servers,
    users: Users,
    config: Postgres,
    answer_slack: Micros,
    timeouts: Vec<(String, Micros)>,
    retry_after_ms: Option<i64>,
    /// The regional access rules, if they are switched on.
    rules: Option<SharedRules>,
    /// Workloads whose units may write; empty unless loads are marked.
    pub writing_workloads: Vec<String>,
    /// Connections that hold more input than one iteration reads, and that the event loop does not
    /// report again.
    unfinished_reads: ReadQueue,
}

impl Gateway {
    /// Opens the listener at the address in the operator's file. Fails if the address can't be
    /// bound.
    pub fn new(
        postgres: &Postgres,
        settings: &Settings,
        handle: LoopHandle<'static, LoopEvents>,
        rules: Option<SharedRules>,
    ) -> std::io::Result<Gateway> {
        let listener = transient::retry(|| TcpListener::bind(postgres.listen)).map_err(|why| {
            ListenError::Listen {
                at: postgres.listen,
                why,
            }
        })?;
        let address = listener.local_addr()?;
        let workloads = settings
            .names
            .workloads
            .iter()
            .zip(&settings.agreement.workloads);
        let gateway = Gateway {
            listener: Listener::new(listener, &handle, SocketKind::SessionListener.id(0))?,
            sessions: Sessions::new(&postgres.limits),
            servers: Servers::new(
                handle.clone(),
                settings.network.clone(),
                postgres.limits.clone(),
            ),
            users: Users::new(&postgres.users),
            config: postgres.clone(),
            answer_slack: settings.network.answer_slack,
            timeouts: workloads
                .map(|(name, w)| (name.clone(), w.statement_timeout))
                .collect(),
            retry_after_ms: settings.agreement.max_retry_after.map(|time| time / 1000),
            rules,
            writing_workloads: Vec::new(),
            unfinished_reads: ReadQueue::default(),
            handle,
        };
        log::info!("takes PostgreSQL sessions at {address}");
        Ok(gateway)
    }

    /// Sets how many descriptors the engine connections may use, and how many lingering sessions
    /// have a descriptor beside those of clients.
    pub fn set_descriptor_limits(&mut self, descriptors: usize, lingering: usize) {
        self.servers.set_connection_limit(descriptors);
        self.sessions.set_lingering_descriptors(lingering);
    }

    /// The number of sessions that use a descriptor of clients: connected ones, and lingering ones
    /// beyond the descriptors of their own.
    pub fn len(&self) -> usize {
        self.sessions.len()
    }

    /// Whether all sessions are closed, lingering ones included.
    pub fn is_done(&self) -> bool {
        self.sessions.is_done()
    }

    /// Bytes held of the input of clients.
    pub fn held_bytes(&self) -> usize {
        self.sessions.held_bytes()
    }

    /// The input that sessions hold.
    pub fn held_input(&self) -> impl Iterator<Item = HeldInput> + '_ {
        self.sessions.held_input()
    }

    /// Rejects the unit that a session is sending, as input takes too much memory.
    pub fn shed_input(&mut self, now: Micros, session: SessionId) {
        self.sessions.shed_input(now, session);
    }

    /// The answers that clients have not read yet.
    pub fn unsent(&self) -> UnsentAnswers {
        self.sessions.unsent()
    }

    /// Whether a statement belongs to a session.
    pub fn owns_statement(&self, ticket: Ticket) -> bool {
        self.sessions.owns(ticket)
    }

    /// Whether an execution of a session is in flight, or waits for the end of its cancel request.
    pub fn has_execution(&self, execution_id: ExecutionId) -> bool {
        self.servers.has_execution(execution_id)
    }

    /// The protocols of engines of a kind: PostgreSQL at a port of its own beside the native
    /// protocol, PostgreSQL in its place, or the native protocol only.
    pub fn protocols(&self, kind: &str) -> EngineProtocols {
        let speaks = |e: &&hallmux_config::PostgresEngines| e.kinds.iter().any(|k| k == kind);
        let engines = self.config.engines.iter().find(speaks);
        match engines.map(|engines| engines.port) {
            None => EngineProtocols::Lines,
            Some(None) => EngineProtocols::Postgres,
            Some(Some(postgres_port)) => EngineProtocols::Both { postgres_port },
        }
    }

    /// The connections to engines.
    pub fn servers(&mut self) -> &mut Servers {
        &mut self.servers
    }

    /// The next time, in Unix microseconds, at which there is work though no socket changes. 0 if
    /// there is work already; the maximum if there is none.
    pub fn due(&self) -> Micros {
        let more = !self.servers.events.is_empty() || !self.sessions.ready.is_empty();
        let more = more || !self.unfinished_reads.is_empty();
        let ready = if more { 0 } else { Micros::MAX };
        self.listener
            .due()
            .min(self.servers.due())
            .min(self.sessions.due())
            .min(ready)
    }

    /// Sets how many bytes one read of a session's connection may take.
    pub fn set_read_share(&mut self, bytes: usize) {
        self.sessions.set_read_share(bytes);
    }

    /// Reads a connection that is ready, and admits the units received. Returns true if there is
    /// more to read in another iteration.
    pub fn socket_ready(
        &mut self,
        now: Micros,
        socket: SocketId,
        admission: AdmissionState,
        dispatcher: &mut Dispatcher,
    ) -> bool {
        let more = self.read_socket(now, socket);
        if socket.kind == SocketKind::Session {
            self.advance_sessions(now, admission, dispatcher);
        }
        more
    }

    fn read_socket(&mut self, now: Micros, socket: SocketId) -> bool {
        match socket.kind {
            SocketKind::SessionListener => self.listener.mark_readable(),
            SocketKind::Session => return self.sessions.read(now, socket.number),
            SocketKind::Server => return self.servers.read(now, socket.number),
            SocketKind::Cancel => self.servers.read_cancel(now, socket.number),
            SocketKind::Listener
            | SocketKind::Client
            | SocketKind::Engine
            | SocketKind::Coordinator
            | SocketKind::Peers => {}
        }
        false
    }

    /// Reads a connection that the event loop has not reported, and defers what one iteration does
    /// not read to the next.
    fn read_deferring_rest(&mut self, now: Micros, socket: SocketId) {
        if self.read_socket(now, socket) {
            self.unfinished_reads.push(socket);
        }
    }

    /// Reads the connections that an iteration has not read to the end, and admits the units
    /// received.
    pub fn read_unfinished(
        &mut self,
        now: Micros,
        admission: AdmissionState,
        dispatcher: &mut Dispatcher,
    ) {
        for socket in self.unfinished_reads.take() {
            self.read_deferring_rest(now, socket);
        }
        self.advance_sessions(now, admission, dispatcher);
    }

    fn advance_sessions(
        &mut self,
        now: Micros,
        admission: AdmissionState,
        dispatcher: &mut Dispatcher,
    ) {
        for id in std::mem::take(&mut self.sessions.ready) {
            self.sessions
                .advance(now, id, &self.users, &mut self.servers);
            self.handle_session_events(now, admission, dispatcher);
        }
    }

    /// Handles the events of sessions until there are none left.
    fn handle_session_events(
        &mut self,
        now: Micros,
        admission: AdmissionState,
        dispatcher: &mut Dispatcher,
    ) {
        while !self.sessions.events.is_empty() {
            for event in std::mem::take(&mut self.sessions.events) {
                match event {
                    sessions::Event::Unit {
                        session,
                        part,
                        since,
                    } => {
                        self.admit(now, admission, dispatcher, session, part, since);
                    }
                    sessions::Event::UnitPart { ticket, part } => self.append_part(ticket, part),
                    sessions::Event::Abandoned(ticket) => {
                        self.abandon_statement(now, dispatcher, ticket)
                    }
                    sessions::Event::TransactionEnded {
                        pin,
                        keys,
                        may_still_run,
                    } => {
                        pin.into_iter()
                            .for_each(|pin| self.servers.release(now, pin));
                        keys.iter()
                            .for_each(|key| dispatcher.release_order_key(now, key, may_still_run));
                    }
                    sessions::Event::Cancel(session) => self.cancel(now, dispatcher, session),
                }
            }
        }
    }

    /// Sends an execution to an engine, unless it can't leave within its terms. `text` replaces the
    /// text of a unit that is one simple query.
    pub fn send(
        &mut self,
        now: Micros,
        execution_id: ExecutionId,
        engine_index: EngineIndex,
        terms: Terms,
        text: Option<Vec<u8>>,
    ) {
        let Some((session, open_session)) = self.sessions.by_ticket(execution_id.ticket) else {
            return self.servers.events.push(servers::Event::Ended {
                execution_id,
                ending: Ending::Withdrawn,
            });
        };
        let (settings, account) = (open_session.session.settings.clone(), open_session.account);
        let pin = open_session.pin.map(|pin| pin.server);
        let lost = open_session.session.transaction == Transaction::Lost;
        let Some(running) = &mut open_session.running else {
            return;
        };
        running.execution_id = Some(execution_id);
        let mut parts = running.parts.clone();
        if let (Some(text), [part]) = (text, &mut parts[..]) {
            *part = part.with_text(&text).map_or_else(|| part.clone(), Rc::new);
        }
        if lost {
            // The session's transaction was lost while the execution waited.
            return self.servers.events.push(servers::Event::Ended {
                execution_id,
                ending: Ending::Withdrawn,
            });
        }
        self.servers.send(
            now,
            execution_id,
            engine_index,
            Unit {
                session,
                parts,
                settings,
                account,
                pin,
                terms,
            },
        );
    }

    /// Cancels an execution, whether it waits here or is at an engine.
    pub fn cancel_execution(&mut self, now: Micros, execution_id: ExecutionId, ending: Ending) {
        let running = self
            .sessions
            .by_ticket(execution_id.ticket)
            .and_then(|(_, open_session)| open_session.running.as_mut());
        running
            .into_iter()
            .for_each(|r| r.time_up |= ending == Ending::TimeUp);
        self.servers.cancel_execution(now, execution_id, ending);
    }

    /// Flushes the output to engines.
    pub fn flush_servers(&mut self, now: Micros) {
        self.servers.flush(now);
    }

    /// Flushes the output to clients.
    pub fn flush(&mut self, now: Micros, admission: AdmissionState, dispatcher: &mut Dispatcher) {
        for execution_id in self.sessions.flush(now) {
            if let Some(server) = self.servers.resume(execution_id) {
                self.read_deferring_rest(now, SocketKind::Server.id(server));
            }
        }
        for id in self.sessions.take_readable() {
            self.read_deferring_rest(now, SocketKind::Session.id(id));
        }
        self.handle_session_events(now, admission, dispatcher);
    }

    /// Closes a session that does not read its answers.
    pub fn close_slow_reader(
        &mut self,
        now: Micros,
        admission: AdmissionState,
        session: SessionId,
        dispatcher: &mut Dispatcher,
    ) {
        log::warn!("session {session}: does not read its answers; its connection is closed");
        self.sessions.disconnect(session);
        self.handle_session_events(now, admission, dispatcher);
    }

    /// Ends the sessions and engine connections whose time limits have passed.
    pub fn expire(&mut self, now: Micros, admission: AdmissionState, dispatcher: &mut Dispatcher) {
        for ticket in self.sessions.units_before_late_input(now) {
            self.end_unit(now, dispatcher, ticket);
        }
        self.sessions.expire(now);
        let unfinished = self.servers.expire(now);
        for server in unfinished {
            self.unfinished_reads.push(SocketKind::Server.id(server));
        }
        self.handle_session_events(now, admission, dispatcher);
    }

    /// Refuses units that arrive from now on, as the front shuts down.
    pub fn refuse_units(&mut self, now: Micros) {
        self.sessions.refuse_units(now);
    }

    /// Shuts the gateway down: accepts the connections that wait, closes the listener and closes
    /// idle sessions. `sessions_left` is how many more sessions may be connected.
    pub fn close(
        &mut self,
        now: Micros,
        admission: AdmissionState,
        sessions_left: usize,
        dispatcher: &mut Dispatcher,
    ) {
        // Clients that are connected by now receive the shutdown error: closing the listener resets
        // connections that wait in its queue.
        self.listener.mark_readable();
        self.accept(now, sessions_left);
        self.listener.close();
        self.sessions.close_idle(now);
        self.handle_session_events(now, admission, dispatcher);
    }
}

#[cfg(test)]
#[path = "gateway_tests.rs"]
mod tests;
