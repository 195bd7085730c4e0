//! The gateway for PostgreSQL sessions: it hands their units to the dispatcher, carries out its orders over
//! connections to engines, and hands the answers back. Switched on by the operator's file; off, it is not there.

mod accept;
mod admission;
mod loads;
mod server_events;

use std::net::TcpListener;
use std::rc::Rc;

use calloop::LoopHandle;
use hallmux_config::{Postgres, Settings};
use hallmux_dispatcher::{Dispatcher, Ending, EngineIndex, Micros, Ticket};
use hallmux_postgres::session::Transaction;

use super::admission_state::AdmissionState;
use super::error::ListenError;
use super::servers::{self, Servers, Unit};
use super::sessions::{self, Sessions, Users};
use crate::engine_protocols::EngineProtocols;
use crate::events::{LoopEvents, SocketId, SocketKind};
use crate::execution::ExecutionId;
use crate::fleet::rules::SharedRules;
use crate::listener::Listener;
use crate::transient;
use crate::unsent_answers::UnsentAnswers;

/// Sessions of PostgreSQL clients, and the connections to engines that they are served over.
pub struct Gateway {
    handle: LoopHandle<'static, LoopEvents>,
    listener: Listener,
    sessions: Sessions,
    servers: Servers,
    users: Users,
    allowed: Postgres,
    answer_slack: Micros,
    timeouts: Vec<(String, Micros)>,
    retry_after_ms: Option<i64>,
    /// Regional access rules, where they are switched on.
    rules: Option<SharedRules>,
    /// Workloads whose units may write, where loads are marked.
    pub writes: Vec<String>,
    shut: Option<Micros>,
    /// Connections with more to read than one iteration takes, that the event loop does not report again.
    unfinished: Vec<SocketId>,
}

impl Gateway {
    /// Opens the listener that the operator's file names.
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
            allowed: postgres.clone(),
            answer_slack: settings.network.answer_slack,
            timeouts: workloads
                .map(|(name, w)| (name.clone(), w.statement_timeout))
                .collect(),
            retry_after_ms: settings.agreement.max_retry_after.map(|time| time / 1000),
            shut: None,
            rules,
            writes: Vec::new(),
            unfinished: Vec::new(),
            handle,
        };
        log::info!("takes PostgreSQL sessions at {address}");
        Ok(gateway)
    }

    /// Descriptors that its engine connections may use, and those that sessions which are being closed have
    /// beside those of clients.
    pub fn limit(&mut self, descriptors: usize, lingering: usize) {
        self.servers.limit(descriptors);
        self.sessions.limit(lingering);
    }

    /// Sessions that are connected, or take a descriptor until they are closed.
    pub fn len(&self) -> usize {
        self.sessions.len()
    }

    /// Whether all sessions are closed.
    pub fn is_done(&self) -> bool {
        self.sessions.is_done()
    }

    /// Bytes held of what clients have sent.
    pub fn held_bytes(&self) -> usize {
        self.sessions.held_bytes()
    }

    /// The answers that clients have not taken yet.
    pub fn unsent(&self) -> UnsentAnswers {
        self.sessions.unsent()
    }

    /// Whether a statement is a session's.
    pub fn owns(&self, ticket: Ticket) -> bool {
        self.sessions.owns(ticket)
    }

    /// Whether an execution is out for a session, or was when it left.
    pub fn has(&self, execution_id: ExecutionId) -> bool {
        self.servers.has(execution_id)
    }

    /// What engines of a kind speak: sessions at a port of their own beside lines, or in their place.
    pub fn protocols(&self, kind: &str) -> EngineProtocols {
        let speaks = |e: &&hallmux_config::PostgresEngines| e.kinds.iter().any(|k| k == kind);
        let engines = self.allowed.engines.iter().find(speaks);
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

    /// When something is due though no socket changes, in Unix microseconds.
    pub fn due(&self) -> Micros {
        let more = !self.servers.events.is_empty() || !self.sessions.ready.is_empty();
        let more = more || !self.unfinished.is_empty();
        let ready = if more { 0 } else { Micros::MAX };
        self.listener
            .due()
            .min(self.servers.due())
            .min(self.sessions.due())
            .min(ready)
    }

    /// A connection has changed: takes what is there. True if there is more for another iteration.
    pub fn socket_ready(
        &mut self,
        now: Micros,
        socket: SocketId,
        admission: AdmissionState,
        dispatcher: &mut Dispatcher,
    ) -> bool {
        let more = self.ready(now, socket);
        if socket.kind == SocketKind::Session {
            self.take_units(now, admission, dispatcher);
        }
        more
    }

    fn ready(&mut self, now: Micros, socket: SocketId) -> bool {
        match socket.kind {
            SocketKind::SessionListener => self.listener.mark_readable(),
            SocketKind::Session => return self.sessions.read(now, socket.number),
            SocketKind::Server => return self.servers.read(now, socket.number),
            SocketKind::Cancel => self.servers.read_cancel(socket.number),
            SocketKind::Listener
            | SocketKind::Client
            | SocketKind::Engine
            | SocketKind::Coordinator
            | SocketKind::Peers => {}
        }
        false
    }

    /// Reads a connection that the event loop has not reported; what one iteration leaves is read in the next.
    fn read_on(&mut self, now: Micros, socket: SocketId) {
        if self.ready(now, socket) {
            self.unfinished.push(socket);
        }
    }

    /// Reads on where an iteration has left more, and takes the units that have come.
    pub fn take(&mut self, now: Micros, admission: AdmissionState, dispatcher: &mut Dispatcher) {
        for socket in std::mem::take(&mut self.unfinished) {
            self.read_on(now, socket);
        }
        self.take_units(now, admission, dispatcher);
    }

    fn take_units(&mut self, now: Micros, admission: AdmissionState, dispatcher: &mut Dispatcher) {
        for id in std::mem::take(&mut self.sessions.ready) {
            self.sessions
                .advance(now, id, &self.users, &mut self.servers);
            self.handle_session_events(now, admission, dispatcher);
        }
    }

    /// Carries out what sessions have come to.
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
                    sessions::Event::UnitPart { ticket, part }
                        if self.names_unmarked_groups(ticket, &part) =>
                    {
                        self.sessions
                            .fail(now, ticket, &loads::UNMARKED_GROUPS, None);
                        self.left(now, dispatcher, ticket);
                    }
                    sessions::Event::UnitPart { ticket, part } => {
                        let execution_id = self.sessions.by_ticket(ticket);
                        let execution_id =
                            execution_id.and_then(|(_, i)| i.running.as_ref()?.execution_id);
                        execution_id
                            .into_iter()
                            .for_each(|execution_id| self.servers.more(execution_id, part.clone()));
                    }
                    sessions::Event::Abandoned(ticket) => self.left(now, dispatcher, ticket),
                    sessions::Event::TransactionOver {
                        pin,
                        keys,
                        may_go_on,
                    } => {
                        pin.into_iter()
                            .for_each(|pin| self.servers.release(now, pin));
                        keys.iter()
                            .for_each(|key| dispatcher.release_order_key(now, key, may_go_on));
                    }
                    sessions::Event::Cancel(session) => self.cancel(now, dispatcher, session),
                }
            }
        }
    }

    /// An execution leaves; with other text where it is a simple query that is to have it.
    pub fn send(
        &mut self,
        now: Micros,
        execution_id: ExecutionId,
        place: EngineIndex,
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
        let (mut parts, once) = (running.parts.clone(), running.commits);
        if let (Some(text), [part]) = (text, &mut parts[..]) {
            *part = part.with_text(&text).map_or_else(|| part.clone(), Rc::new);
        }
        if lost {
            // Its transaction went while it waited.
            return self.servers.events.push(servers::Event::Ended {
                execution_id,
                ending: Ending::Withdrawn,
            });
        }
        self.servers.send(
            now,
            execution_id,
            place,
            Unit {
                session,
                parts,
                settings,
                account,
                pin,
                once,
            },
        );
    }

    /// Ends an execution, wherever it is.
    pub fn stop(&mut self, now: Micros, execution_id: ExecutionId, ending: Ending) {
        let running = self
            .sessions
            .by_ticket(execution_id.ticket)
            .and_then(|(_, open_session)| open_session.running.as_mut());
        running
            .into_iter()
            .for_each(|r| r.time_up |= ending == Ending::TimeUp);
        self.servers.cancel_execution(now, execution_id, ending);
    }

    /// Sends what is to leave to engines.
    pub fn flush_servers(&mut self, now: Micros) {
        self.servers.flush(now);
    }

    /// Sends what is to leave to clients; ends the one that takes least where all leave too much.
    pub fn flush(
        &mut self,
        now: Micros,
        admission: AdmissionState,
        most: usize,
        dispatcher: &mut Dispatcher,
    ) {
        for execution_id in self.sessions.flush(now) {
            if let Some(server) = self.servers.resume(execution_id) {
                self.read_on(now, SocketKind::Server.id(server));
            }
        }
        let unsent = self.unsent();
        if let Some(id) = unsent.slowest.filter(|_| unsent.bytes > most) {
            let bytes = unsent.bytes;
            log::warn!(
                "session {id}: takes no answers, {bytes} bytes wait; its connection is closed"
            );
            self.sessions.disconnect(id);
        }
        for id in self.sessions.unstalled() {
            self.read_on(now, SocketKind::Session.id(id));
        }
        self.handle_session_events(now, admission, dispatcher);
    }

    pub fn expire(&mut self, now: Micros, admission: AdmissionState, dispatcher: &mut Dispatcher) {
        self.sessions.expire(now, self.shut);
        let unfinished = self.servers.expire(now);
        self.unfinished
            .extend(unfinished.into_iter().map(|id| SocketKind::Server.id(id)));
        self.handle_session_events(now, admission, dispatcher);
    }

    /// The front ends: no more sessions are taken, and those that rest are closed. `sessions_left` is how many more may
    /// be connected.
    pub fn close(
        &mut self,
        now: Micros,
        admission: AdmissionState,
        sessions_left: usize,
        dispatcher: &mut Dispatcher,
    ) {
        self.shut.get_or_insert(now);
        // Whoever has connected by now is told of the end: closing the listener resets what waits there.
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
