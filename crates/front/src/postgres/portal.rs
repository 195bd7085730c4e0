//! PostgreSQL sessions among the rest of the front: what their units ask of the dispatcher, what its orders
//! and the engines' answers mean to them. Switched on by the operator's file; off, it is not there.

mod asked;
mod loads;

use std::net::TcpListener;
use std::rc::Rc;

use calloop::LoopHandle;
use hallmux_agreement::{Contract, Postgres};
use hallmux_dispatcher::{Dispatcher, Ending, Micros, Note, Place, Ticket};
use hallmux_postgres::answer::Final;
use hallmux_postgres::session::Transaction;

use self::asked::verdict;
use super::fault::Fault;
use super::servers::{self, Sent, Servers, Unit};
use super::sessions::{self, Sessions, Users};
use crate::doors::{Changes, Door, Party};
use crate::entrance::Entrance;
use crate::fleet::rules::Shared;
use crate::link::Link;

/// What the front as a whole allows just now.
#[derive(Clone, Copy)]
pub struct Room {
    /// How long what is found now may have waited.
    pub waited: Micros,
    /// No more statements can be taken.
    pub full: bool,
}

pub struct Portal {
    handle: LoopHandle<'static, Changes>,
    entrance: Entrance,
    sessions: Sessions,
    servers: Servers,
    users: Users,
    allowed: Postgres,
    answer_slack: Micros,
    timeouts: Vec<(String, Micros)>,
    come_back_ms: Option<i64>,
    /// Regional access rules, where they are switched on.
    rules: Option<Shared>,
    /// Workloads whose units may write, where loads are marked.
    pub writes: Vec<String>,
    shut: Option<Micros>,
    /// Connections with more to read than one turn takes, that the loop does not tell of again.
    unfinished: Vec<Party>,
}

impl Portal {
    pub fn new(
        postgres: &Postgres,
        contract: &Contract,
        handle: LoopHandle<'static, Changes>,
        rules: Option<Shared>,
    ) -> std::io::Result<Portal> {
        let listener =
            TcpListener::bind(postgres.listen).map_err(|why| Fault::Listen { at: postgres.listen, why })?;
        let address = listener.local_addr()?;
        let workloads = contract.names.workloads.iter().zip(&contract.agreement.workloads);
        let portal = Portal {
            entrance: Entrance::new(listener, &handle, Door::SessionListener.party(0))?,
            sessions: Sessions::new(&postgres.limits),
            servers: Servers::new(handle.clone(), contract.allowance.clone(), postgres.limits.clone()),
            users: Users::new(&postgres.users),
            allowed: postgres.clone(),
            answer_slack: contract.allowance.answer_slack,
            timeouts: workloads.map(|(name, w)| (name.clone(), w.statement_timeout)).collect(),
            come_back_ms: contract.agreement.longest_retry_after.map(|time| time / 1000),
            shut: None,
            rules,
            writes: Vec::new(),
            unfinished: Vec::new(),
            handle,
        };
        log::info!("takes PostgreSQL sessions at {address}");
        Ok(portal)
    }

    /// Descriptors that its engine connections may use.
    pub fn limit(&mut self, descriptors: usize) {
        self.servers.limit(descriptors);
    }

    /// Sessions that are connected.
    pub fn len(&self) -> usize {
        self.sessions.len()
    }

    /// Bytes held of what clients have said.
    pub fn held(&self) -> usize {
        self.sessions.held()
    }

    pub fn owns(&self, ticket: Ticket) -> bool {
        self.sessions.owns(ticket)
    }

    /// Whether an execution is out for a session, or was when it left.
    pub fn has(&self, sent: Sent) -> bool {
        self.servers.has(sent)
    }

    /// Where an engine of a kind takes sessions: at a port of its own beside lines, or in their place.
    pub fn port(&self, kind: &str) -> Option<Option<u16>> {
        let speaks = |e: &&hallmux_agreement::SpeakingEngines| e.kinds.iter().any(|k| k == kind);
        self.allowed.engines.iter().find(speaks).map(|e| e.port)
    }

    pub fn servers(&mut self) -> &mut Servers {
        &mut self.servers
    }

    pub fn due(&self) -> Micros {
        let more = !self.servers.told.is_empty() || !self.sessions.ready.is_empty();
        let more = more || !self.unfinished.is_empty();
        let ready = if more { 0 } else { Micros::MAX };
        self.entrance.due().min(self.servers.due()).min(ready)
    }

    /// A connection has changed: takes what is there. True if there is more for another turn.
    pub fn found(&mut self, now: Micros, party: Party, room: Room, dispatcher: &mut Dispatcher) -> bool {
        let more = self.ready(now, party);
        if party.door == Door::Session {
            self.take_units(now, room, dispatcher);
        }
        more
    }

    fn ready(&mut self, now: Micros, party: Party) -> bool {
        match party.door {
            Door::SessionListener => self.entrance.knocked(),
            Door::Session => return self.sessions.read(now, party.number),
            Door::Server => return self.servers.read(now, party.number),
            Door::Cancel => self.servers.read_cancel(party.number),
            Door::Listener | Door::Client | Door::Engine | Door::Coordinator | Door::Peers => {}
        }
        false
    }

    /// Makes room for another connection, of whatever door. False if none can go.
    pub fn make_room(&mut self, now: Micros) -> bool {
        self.sessions.make_room(now)
    }

    /// Takes those at the door; `room` is how many more may be connected.
    pub fn accept(&mut self, now: Micros, mut room: usize) {
        loop {
            let (sessions, most) = (&mut self.sessions, self.allowed.limits.sessions);
            let takes = || {
                let fits = room > 0 && sessions.len() < most || sessions.make_room(now);
                fits.then_some(()).ok_or_else(|| format!("{} sessions are connected", sessions.len()))
            };
            let Some(stream) = self.entrance.next(now, takes) else { return };
            let id = self.sessions.next_id();
            room = room.saturating_sub(1);
            match Link::new(stream, &self.handle, Door::Session.party(id)) {
                Ok(link) => {
                    self.sessions.accept(now, id, link);
                    self.read_on(now, Door::Session.party(id));
                }
                Err(e) => log::warn!("a session's connection can't be served: {e}"),
            }
        }
    }

    /// Reads a connection that the loop has not told of; what one turn leaves is read in the next.
    fn read_on(&mut self, now: Micros, party: Party) {
        if self.ready(now, party) {
            self.unfinished.push(party);
        }
    }

    /// Reads on where a turn has left more, and takes the units that have come.
    pub fn take(&mut self, now: Micros, room: Room, dispatcher: &mut Dispatcher) {
        for party in std::mem::take(&mut self.unfinished) {
            self.read_on(now, party);
        }
        self.take_units(now, room, dispatcher);
    }

    fn take_units(&mut self, now: Micros, room: Room, dispatcher: &mut Dispatcher) {
        for id in std::mem::take(&mut self.sessions.ready) {
            self.sessions.advance(now, id, &self.users, &mut self.servers);
            self.hear(now, room, dispatcher);
        }
    }

    /// Carries out what sessions have come to.
    fn hear(&mut self, now: Micros, room: Room, dispatcher: &mut Dispatcher) {
        while !self.sessions.told.is_empty() {
            for told in std::mem::take(&mut self.sessions.told) {
                match told {
                    sessions::Told::Asked { session, part, since } => {
                        self.asked(now, room, dispatcher, session, part, since);
                    }
                    sessions::Told::More { ticket, part } if self.strays(ticket, &part) => {
                        self.sessions.fail(now, ticket, &loads::STRAYS, None);
                        self.left(now, dispatcher, ticket);
                    }
                    sessions::Told::More { ticket, part } => {
                        let sent = self.sessions.by_ticket(ticket);
                        let sent = sent.and_then(|(_, i)| i.running.as_ref()?.sent);
                        sent.into_iter().for_each(|sent| self.servers.more(sent, part.clone()));
                    }
                    sessions::Told::Left(ticket) => self.left(now, dispatcher, ticket),
                    sessions::Told::Freed { pin, keys, rests } => {
                        pin.into_iter().for_each(|pin| self.servers.release(now, pin));
                        keys.iter().for_each(|key| dispatcher.freed(now, key, rests));
                    }
                    sessions::Told::Cancel(session) => self.cancel(now, dispatcher, session),
                }
            }
        }
    }

    /// Nobody waits for a statement any more.
    fn left(&mut self, now: Micros, dispatcher: &mut Dispatcher, ticket: Ticket) {
        // What waits for a connection is not sent any more, also where engines can't be told to give it up.
        self.servers.leave(now, ticket);
        dispatcher.left(now, ticket);
    }

    /// An execution leaves; with other text where it is a simple query that is to have it.
    pub fn send(&mut self, now: Micros, sent: Sent, place: Place, text: Option<Vec<u8>>) {
        let Some((session, inside)) = self.sessions.by_ticket(sent.0) else {
            return self.servers.told.push(servers::Told::Ended { sent, ending: Ending::Withdrawn });
        };
        let (settings, account) = (inside.session.settings.clone(), inside.account);
        let pin = inside.pin.map(|(_, link)| link);
        let lost = inside.session.transaction == Transaction::Lost;
        let Some(running) = &mut inside.running else { return };
        running.sent = Some(sent);
        let (mut parts, once) = (running.parts.clone(), running.commits);
        if let (Some(text), [part]) = (text, &mut parts[..]) {
            *part = part.with_text(&text).map_or_else(|| part.clone(), Rc::new);
        }
        if lost {
            // Its transaction went while it waited.
            return self.servers.told.push(servers::Told::Ended { sent, ending: Ending::Withdrawn });
        }
        self.servers.send(now, sent, place, Unit { session, parts, settings, account, pin, once });
    }

    pub fn stop(&mut self, now: Micros, sent: Sent, ending: Ending) {
        let running = self.sessions.by_ticket(sent.0).and_then(|(_, inside)| inside.running.as_mut());
        running.into_iter().for_each(|r| r.time_up |= ending == Ending::TimeUp);
        self.servers.stop(now, sent, ending);
    }

    /// The module turns a statement away, or ends it.
    pub fn refuse(&mut self, now: Micros, ticket: Ticket, rejects: bool, retry_after: Option<Micros>) {
        let Some((_, inside)) = self.sessions.by_ticket(ticket) else { return };
        let why = verdict(inside, rejects, retry_after);
        self.sessions.fail(now, ticket, &why, None);
    }

    /// Passes on what engines have said.
    pub fn heard(&mut self, now: Micros, room: Room, dispatcher: &mut Dispatcher) {
        loop {
            let told = std::mem::take(&mut self.servers.told);
            if told.is_empty() {
                break;
            }
            for told in told {
                self.said(now, dispatcher, told);
            }
            self.hear(now, room, dispatcher);
        }
        self.take(now, room, dispatcher);
    }

    fn said(&mut self, now: Micros, dispatcher: &mut Dispatcher, told: servers::Told) {
        match told {
            servers::Told::Irrevocable((ticket, _)) => dispatcher.begun(ticket),
            servers::Told::Part { sent: (ticket, execution), bytes, whole } => {
                dispatcher.begun(ticket);
                if self.sessions.pass(ticket, &bytes, whole) {
                    self.servers.pause((ticket, execution), true);
                }
            }
            servers::Told::Answered { sent: (ticket, execution), bytes, done, held } => {
                let open = done.status != b'I';
                let keeps = open && dispatcher.keeps(ticket);
                let ending = Ending::Answered;
                if !dispatcher.report(now, ticket, execution, ending, None, None) {
                    // It had its answer before; a transaction that it opened is nobody's.
                    return held.into_iter().for_each(|link| self.servers.release(now, link));
                }
                let Some((_, inside)) = self.sessions.by_ticket(ticket) else { return };
                if let Some(key) = inside.running.as_mut().and_then(|r| r.key.take()).filter(|_| keeps) {
                    inside.holds.push(key);
                }
                let place = held.and_then(|link| self.servers.place(link));
                let pin = place.zip(held);
                self.sessions.answer(now, ticket, &bytes, &done, pin);
            }
            servers::Told::Refused { sent: (ticket, execution), error } => {
                dispatcher.begun(ticket);
                if dispatcher.report(now, ticket, execution, Ending::Stale, None, None) {
                    self.sessions.fail(now, ticket, &Final::Broken, Some(&error));
                }
            }
            servers::Told::Ended { sent: (ticket, execution), ending } => {
                let mut cancelled = false;
                if let Some((_, inside)) = self.sessions.by_ticket(ticket) {
                    if let Some(running) = &mut inside.running {
                        running.ran |= ending.may_have_run();
                        running.sent = None;
                        cancelled = running.cancelled;
                    }
                }
                let over = dispatcher.report(now, ticket, execution, ending, None, None);
                if over || cancelled {
                    // One whose client has asked for its end is not tried again.
                    self.refuse(now, ticket, false, None);
                    dispatcher.left(now, ticket);
                }
            }
            servers::Told::Alive((ticket, execution)) => dispatcher.note(ticket, execution, Note::Alive),
            servers::Told::Lost { session } => self.sessions.transaction_lost(session),
        }
    }

    /// Sends what is to leave to engines.
    pub fn flush_servers(&mut self, now: Micros) {
        self.servers.flush(now);
    }

    /// Sends what is to leave to clients; ends the one that takes least where all leave too much.
    pub fn flush(&mut self, now: Micros, room: Room, most: usize, dispatcher: &mut Dispatcher) {
        for sent in self.sessions.flush() {
            if let Some(link) = self.servers.pause(sent, false) {
                self.read_on(now, Door::Server.party(link));
            }
        }
        if let (untaken, Some(id)) = self.sessions.untaken() {
            if untaken > most {
                log::warn!("session {id}: takes no answers, {untaken} bytes wait; its connection is closed");
                self.sessions.end(id);
            }
        }
        for id in self.sessions.unstalled() {
            self.read_on(now, Door::Session.party(id));
        }
        self.hear(now, room, dispatcher);
    }

    pub fn expire(&mut self, now: Micros, room: Room, dispatcher: &mut Dispatcher) {
        self.sessions.expire(now, self.shut);
        self.servers.expire(now);
        self.hear(now, room, dispatcher);
    }

    /// The front ends: no more sessions are taken, and those that rest are closed. `room_left` is how many more may
    /// be connected.
    pub fn close(&mut self, now: Micros, room: Room, room_left: usize, dispatcher: &mut Dispatcher) {
        self.shut.get_or_insert(now);
        // Whoever has connected by now is told of the end: closing the listener resets what waits there.
        self.entrance.knocked();
        self.accept(now, room_left);
        self.entrance.close();
        self.sessions.close_idle(now);
        self.hear(now, room, dispatcher);
    }
}
