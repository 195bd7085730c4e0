//! PostgreSQL sessions among the rest of the front: what their units ask of the dispatcher, what its orders
//! and the engines' answers mean to them. Switched on by the operator's file; off, it is not there.

use std::net::TcpListener;
use std::rc::Rc;

use calloop::LoopHandle;
use hallmux_access::Judged;
use hallmux_agreement::{Contract, Postgres, User};
use hallmux_codec::tables;
use hallmux_dispatcher::{Ask, Dispatcher, Ending, Micros, Note, Place, Speech, Ticket, Unfit};
use hallmux_postgres::answer::Final;
use hallmux_postgres::session::{Part, Transaction};
use hallmux_postgres::sql::Label;

use crate::doors::{Changes, Door, Party};
use crate::entrance::Entrance;
use crate::fleet::rules::Shared;
use crate::link::Link;
use crate::servers::{self, Sent, Servers, SessionId, Unit};
use crate::sessions::{self, Sessions, Users};

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
        let listener = TcpListener::bind(postgres.listen).map_err(|e| {
            std::io::Error::new(e.kind(), format!("postgres.listen: {}: {e}", postgres.listen))
        })?;
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
                    sessions::Told::More { ticket, part } => {
                        let sent = self.sessions.by_ticket(ticket);
                        let sent = sent.and_then(|(_, i)| i.running.as_ref()?.sent);
                        sent.into_iter().for_each(|sent| self.servers.more(sent, part.clone()));
                    }
                    sessions::Told::Left(ticket) => dispatcher.left(now, ticket),
                    sessions::Told::Freed { pin, keys, rests } => {
                        pin.into_iter().for_each(|pin| self.servers.release(now, pin));
                        keys.iter().for_each(|key| dispatcher.freed(now, key, rests));
                    }
                    sessions::Told::Cancel(session) => self.cancel(now, dispatcher, session),
                }
            }
        }
    }

    /// Asks for an engine for a unit.
    fn asked(
        &mut self,
        now: Micros,
        room: Room,
        dispatcher: &mut Dispatcher,
        id: SessionId,
        part: Rc<Part>,
        since: Micros,
    ) {
        let Some(inside) = self.sessions.inside(id) else { return };
        let label = inside.session.label(&part);
        let why = match terms(&label, &inside.user, &self.timeouts) {
            Err(why) => why,
            Ok(_) if room.full => Final::Rejected { retry_after_ms: self.come_back_ms },
            Ok(terms) => {
                let own = inside.session.statement_timeout(&label).unwrap_or(Micros::MAX);
                let waited = (now - since).max(room.waited);
                let time_left = terms.timeout.min(own) - self.answer_slack - waited;
                let key = label.key.as_deref();
                let kept = key.is_some_and(|key| inside.holds.iter().any(|k| k == key));
                let judged = self
                    .rules
                    .as_ref()
                    .map(|rules| rules.borrow_mut().judge(now, terms.member, terms.workload, part.text()));
                let judged = judged.unwrap_or(Judged::Free);
                if judged == Judged::Closed {
                    let why = Final::Rejected { retry_after_ms: self.come_back_ms };
                    return self.sessions.unfit(id, part, &why);
                }
                let rules = self.rules.as_ref().map(|rules| rules.borrow());
                let allowed = rules.as_ref().and_then(|rules| rules.allowed(&judged));
                let ask = Ask {
                    workload: terms.workload,
                    customer: terms.member,
                    key: key.filter(|_| !kept),
                    dedup_key: label.dedup_key.as_deref(),
                    time_left,
                    work: terms.work_ms * 1000.0,
                    memory_mb: terms.memory_mb,
                    data_set: tables::group(part.text()),
                    speech: Speech::Postgres,
                    pinned: inside.pin.map(|(place, _)| place),
                    allowed: allowed.as_deref(),
                };
                let picked = dispatcher.pick(now, &ask);
                let key = ask.key.map(str::to_string);
                drop(rules);
                if let Some(rules) = &self.rules {
                    rules.borrow_mut().picked(dispatcher, &judged, picked.ok());
                }
                match picked {
                    Ok(ticket) => {
                        return self.sessions.opened(id, ticket, part, key);
                    }
                    Err(Unfit::Barred) => Final::Rejected { retry_after_ms: None },
                    Err(Unfit::Workload) => unfit("hallmux.workload", "no such workload was agreed"),
                    Err(Unfit::Customer) => unfit("hallmux.member", "no such member is known"),
                    Err(Unfit::DedupKey) => unfit("hallmux.dedup_key", "this workload needs one"),
                }
            }
        };
        self.sessions.unfit(id, part, &why);
    }

    /// A client asks for the end of what its session has out.
    fn cancel(&mut self, now: Micros, dispatcher: &mut Dispatcher, id: SessionId) {
        let Some(running) = self.sessions.inside(id).and_then(|i| i.running.as_mut()) else { return };
        if std::mem::replace(&mut running.cancelled, true) {
            return;
        }
        let (ticket, sent) = (running.ticket, running.sent);
        // What is out is the engine's to end; what is held here, or can't be ended there, ends here.
        if !sent.is_some_and(|sent| self.servers.cancel(now, sent)) {
            self.sessions.fail(now, ticket, &Final::Cancelled, None);
            dispatcher.left(now, ticket);
        }
    }

    /// An execution is ordered.
    pub fn send(&mut self, now: Micros, sent: Sent, place: Place) {
        let Some((session, inside)) = self.sessions.by_ticket(sent.0) else {
            return self.servers.told.push(servers::Told::Ended { sent, ending: Ending::Withdrawn });
        };
        let (settings, account) = (inside.session.settings.clone(), inside.account);
        let pin = inside.pin.map(|(_, link)| link);
        let lost = inside.session.transaction == Transaction::Lost;
        let Some(running) = &mut inside.running else { return };
        running.sent = Some(sent);
        let (parts, once) = (running.parts.clone(), running.commits);
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

    /// The front ends: no more sessions are taken, and those that rest are closed.
    pub fn close(&mut self, now: Micros, room: Room, dispatcher: &mut Dispatcher) {
        self.shut.get_or_insert(now);
        self.entrance.close();
        self.sessions.close_idle();
        self.hear(now, room, dispatcher);
    }
}

fn unfit(field: &'static str, why: &'static str) -> Final {
    Final::Unfit { field, why }
}

/// What a unit is to the dispatcher.
struct UnitTerms<'a> {
    workload: &'a str,
    member: &'a str,
    timeout: Micros,
    work_ms: f64,
    memory_mb: f64,
}

const MOST_FIGURE: f64 = 1e12; // of an estimate, in any unit; beyond all that engines could do

/// Reads what a unit's labels and its user say; the first field that can't be used otherwise.
fn terms<'a>(
    label: &'a Label,
    user: &'a User,
    timeouts: &[(String, Micros)],
) -> Result<UnitTerms<'a>, Final> {
    let workload = label.workload.as_deref().or(user.workload.as_deref());
    let workload =
        workload.ok_or_else(|| unfit("hallmux.workload", "is not set, and there is no default"))?;
    let timeout = timeouts.iter().find(|(name, _)| name == workload);
    let timeout = timeout.ok_or_else(|| unfit("hallmux.workload", "no such workload was agreed"))?.1;
    // Whom a user belongs to is the operator's word where it is given.
    let member = user.member.as_deref().or(label.member.as_deref()).unwrap_or_default();
    let number = |field: &'static str, text: &Option<String>| match text.as_deref().map(str::parse::<f64>) {
        None => Ok(0.0),
        Some(Ok(value)) if (0.0..=MOST_FIGURE).contains(&value) => Ok(value),
        Some(_) => Err(unfit(field, "is no number that can be used")),
    };
    let long = |field: &'static str, text: &Option<String>| match text {
        Some(text) if text.len() > 256 => Err(unfit(field, "is longer than 256 bytes")),
        _ => Ok(()),
    };
    long("hallmux.key", &label.key)?;
    long("hallmux.dedup_key", &label.dedup_key)?;
    Ok(UnitTerms {
        workload,
        member,
        timeout,
        work_ms: number("hallmux.work_ms", &label.work_ms)?,
        memory_mb: number("hallmux.memory_mb", &label.memory_mb)?,
    })
}

/// The answer to a unit that the module has given up on, or that ended once its answer had begun.
fn verdict(inside: &sessions::Inside, rejects: bool, retry_after: Option<Micros>) -> Final {
    let Some(running) = &inside.running else { return Final::Broken };
    let held = inside.session.transaction != Transaction::None;
    if running.commits && running.ran {
        return Final::Unresolved;
    }
    if running.cancelled {
        return Final::Cancelled;
    }
    if running.time_up {
        return Final::TimeUp;
    }
    match (held, rejects) {
        (true, true) if inside.pin.is_some() => Final::RolledBack { why: "its statement was turned away" },
        (true, _) => Final::RolledBack { why: "its engine drains or was lost" },
        (false, true) => Final::Rejected { retry_after_ms: retry_after.map(|time| time / 1000) },
        (false, false) if running.begun => Final::Broken,
        (false, false) if running.ran => Final::Unresolved,
        (false, false) => Final::Rejected { retry_after_ms: None },
    }
}
