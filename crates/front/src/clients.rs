//! Connections of clients: statements in, one final answer out for each.

mod idle;

use std::collections::{BTreeSet, HashMap, HashSet};
use std::rc::Rc;

use hallmux_dispatcher::{Micros, Ticket};
use hallmux_native_codec::statement::{self, Call, Message, Reply, Request};
use hallmux_native_codec::Decoded;

use crate::lingering::Lingering;
use crate::link::{Link, ReadOutcome};

const MOST_OPEN: usize = 32; // statements open on a connection, as the protocol has it
const READ_SIZE: usize = 16 << 10; // bytes taken from a client in an iteration, and one chunk: all that it may have open
const MOST_UNUSABLE: usize = 8; // statements that can't be used, until their connection is closed
const MOST_UNSENT: usize = 64 << 10; // bytes that a client may leave untaken before it is no longer read

pub type ClientId = u64;

struct Client {
    link: Link,
    open: HashMap<i32, Ticket>,
    /// When it was last of use: something came, or an answer left.
    last_active: Micros,
    /// Since when a whole message is awaited: the first one, or the rest of one that has begun.
    incomplete_since: Option<Micros>,
    /// It has sent a whole message.
    has_sent_message: bool,
    unusable_statements: usize,
    /// What it sends can't be used: nothing more is taken from it, and its connection is closed once what was taken
    /// is answered.
    refused: bool,
    /// Since when it is not read, with more to read than was taken.
    unread_since: Option<Micros>,
}

impl Client {
    /// Nothing is lost with it.
    fn is_idle(&self) -> bool {
        !self.is_owed() && self.link.input.is_empty()
    }

    /// It waits for an answer, or has not taken all of one.
    fn is_owed(&self) -> bool {
        !self.open.is_empty() || self.link.unsent() > 0
    }
}

/// A statement that a client waits for.
struct Open {
    client: ClientId,
    number: i32,
    call: Rc<Call>,
}

#[derive(Default)]
pub struct Clients {
    clients: HashMap<ClientId, Client>,
    open: HashMap<Ticket, Open>,
    /// Ids of the statements that are open, on whatever connection.
    ids: HashSet<String>,
    held_bytes: usize,
    /// Milliseconds after which rejected statements may be sent again, where the contract has such a time.
    retry_after_ms: Option<i64>,
    next: ClientId,
    next_check: Micros,
    changed: BTreeSet<ClientId>,
    /// They have not taken all that is to leave.
    with_unsent: BTreeSet<ClientId>,
    /// Not read for now: they do not take their answers.
    paused: BTreeSet<ClientId>,
    /// A last read before they were to be closed found that they have sent something.
    found_unread: BTreeSet<ClientId>,
    lingering: Lingering,
    /// No client waits longer for an answer, and none takes longer over one.
    longest_timeout: Micros,
}

/// What clients have sent, and how statements were abandoned.
pub enum Event {
    /// `unread_for`: for how long it may have lain unread, as its client took no answers or was not accepted.
    Statement {
        client: ClientId,
        number: i32,
        call: Box<Call>,
        unread_for: Micros,
    },
    Cancelled {
        client: ClientId,
        number: i32,
    },
    Abandoned(Ticket),
}

impl Clients {
    pub fn new(retry_after: Option<Micros>, longest_timeout: Micros) -> Self {
        let retry_after_ms = retry_after.map(|time| time / 1000);
        Clients {
            retry_after_ms,
            longest_timeout,
            ..Clients::default()
        }
    }

    pub fn next_id(&mut self) -> ClientId {
        self.next += 1;
        self.next
    }

    /// A connection was accepted that may have waited for that. Guards against a deadline beyond its client's: what it
    /// has sent lay unread meanwhile.
    pub fn accept(&mut self, now: Micros, id: ClientId, link: Link, waited: Micros) {
        let open = HashMap::new();
        let client = Client {
            link,
            open,
            last_active: now,
            incomplete_since: Some(now),
            has_sent_message: false,
            unusable_statements: 0,
            refused: false,
            unread_since: (waited > 0).then_some(now - waited),
        };
        self.clients.insert(id, client);
    }

    /// Connections, those that are being closed too.
    pub fn len(&self) -> usize {
        self.clients.len() + self.lingering.len()
    }

    /// A connection has changed: takes what the client has sent, and sends on where it takes more again.
    /// True if there is more for another iteration.
    pub fn read(&mut self, now: Micros, id: ClientId, well: bool, events: &mut Vec<Event>) -> bool {
        if let Some(more) = self.lingering.read(id) {
            return more;
        }
        let Some(client) = self.clients.get_mut(&id) else {
            return false;
        };
        self.changed.insert(id);
        client.last_active = now;
        if client.link.unsent() > MOST_UNSENT {
            self.paused.insert(id);
            client.unread_since.get_or_insert(now);
            return false;
        }
        let unread_for = client.unread_since.take().map_or(0, |since| now - since);
        let ReadOutcome {
            has_more: more,
            broken,
        } = client.link.read_some(READ_SIZE);
        if client.refused {
            client.link.input.clear();
            if broken.is_some() {
                self.disconnect(id, events);
            }
            return more;
        }
        let mut at = 0;
        let unreadable = loop {
            match statement::read(&client.link.input[at..]) {
                Ok(None) => break None,
                Err(what) => break Some(what),
                Ok(Some(Decoded { len, message })) => {
                    at += len;
                    let Message {
                        sequence_number: number,
                        request,
                    } = message;
                    let mut answer =
                        |reply: Reply| statement::write(client.link.output(), number, &reply);
                    match request {
                        Request::HealthCheck => answer(Reply::Health(well)),
                        Request::UnknownMethod(name) => {
                            answer(Reply::UnknownMethod(&name));
                            client.unusable_statements += 1;
                        }
                        Request::Cancel(number) => {
                            events.push(Event::Cancelled { client: id, number })
                        }
                        Request::Execute(call) => {
                            events.push(Event::Statement {
                                client: id,
                                number,
                                call: Box::new(call),
                                unread_for,
                            });
                        }
                    }
                }
            }
        };
        client.link.consume(at);
        client.has_sent_message |= at > 0;
        // Guards against messages that never end: what has begun, or is the first, is awaited for a while.
        let is_incomplete = !client.has_sent_message || !client.link.input.is_empty();
        client.incomplete_since =
            is_incomplete.then(|| client.incomplete_since.filter(|_| at == 0).unwrap_or(now));
        if let Some(what) = &unreadable {
            log::info!("client {id}: {what}; its connection is closed");
            client.refused = true;
        }
        self.close_if_faulty(id);
        if broken.is_some() {
            self.disconnect(id, events);
        } else if let Some(client) = self.clients.get_mut(&id).filter(|_| more) {
            client.unread_since = Some(now - unread_for);
        }
        more
    }

    /// Guards against one that sends what can't be used without end: after some such statements its connection is closed.
    fn close_if_faulty(&mut self, id: ClientId) {
        let faulty = |c: &&mut Client| c.unusable_statements >= MOST_UNUSABLE && !c.refused;
        let Some(client) = self.clients.get_mut(&id).filter(faulty) else {
            return;
        };
        log::info!(
            "client {id}: {} statements that can't be used; its connection is closed",
            client.unusable_statements
        );
        client.refused = true;
    }

    /// Says that a statement can't be used.
    pub fn answer_unusable(&mut self, id: ClientId, number: i32, field: &str) {
        self.reply(id, number, &Reply::InvalidField(field));
        if let Some(client) = self.clients.get_mut(&id) {
            client.unusable_statements += 1;
        }
        self.close_if_faulty(id);
    }

    /// A client's connection is over: nobody waits for what is open on it.
    pub fn disconnect(&mut self, id: ClientId, events: &mut Vec<Event>) {
        self.remove(id, events);
    }

    /// Closes a connection that all was answered on, so that no answer on its way is lost.
    fn close(&mut self, now: Micros, id: ClientId, events: &mut Vec<Event>) {
        if let Some(client) = self.remove(id, events) {
            self.lingering.close(now, id, client.link);
        }
    }

    /// The one way in which a connection leaves: what was open on it is reported as abandoned.
    fn remove(&mut self, id: ClientId, events: &mut Vec<Event>) -> Option<Client> {
        let client = self.clients.remove(&id)?;
        for ticket in client.open.values() {
            self.remove_open(*ticket);
            events.push(Event::Abandoned(*ticket));
        }
        self.changed.remove(&id);
        self.paused.remove(&id);
        self.with_unsent.remove(&id);
        self.found_unread.remove(&id);
        // What was asked just now, and is not open yet, is answered to nobody.
        events.retain(
            |t| !matches!(t, Event::Statement { client, .. } | Event::Cancelled { client, .. } if *client == id),
        );
        Some(client)
    }

    /// Whether a statement can be taken from a connection; if not, it has its answer or its end. Guards
    /// against answers that could be to either of two statements, and executions that engines could not tell
    /// apart: one that is open goes on, and another under its number or id is none.
    pub fn admits(
        &mut self,
        id: ClientId,
        number: i32,
        call: &Call,
        events: &mut Vec<Event>,
    ) -> bool {
        let Some(client) = self.clients.get(&id) else {
            return false;
        };
        if client.unusable_statements >= MOST_UNUSABLE {
            self.reject(id, number);
        } else if client.open.contains_key(&number) {
            self.answer_unusable(id, number, statement::NUMBER);
        } else if self.ids.contains(&call.id) {
            self.answer_unusable(id, number, statement::ID);
        } else if client.open.len() >= MOST_OPEN {
            // Guards against floods: of what came at once nothing has left for an engine yet, nor will it.
            log::info!(
                "client {id}: more statements at once than agreed; its connection is closed"
            );
            self.disconnect(id, events);
        } else {
            return true;
        }
        false
    }

    /// Rejects a statement that was not taken, for want of capacity.
    pub fn reject(&mut self, id: ClientId, number: i32) {
        self.reply(
            id,
            number,
            &Reply::Rejected {
                retry_after_ms: self.retry_after_ms,
            },
        );
    }

    /// The client no longer waits for a statement.
    pub fn cancel(&mut self, id: ClientId, number: i32) -> Option<Ticket> {
        let ticket = self.clients.get_mut(&id)?.open.remove(&number)?;
        self.remove_open(ticket);
        Some(ticket)
    }

    fn remove_open(&mut self, ticket: Ticket) -> Option<Open> {
        let open = self.open.remove(&ticket)?;
        self.held_bytes -= open.call.size();
        self.ids.remove(&open.call.id);
        Some(open)
    }

    /// Bytes of the statements that clients wait for.
    pub fn held_bytes(&self) -> usize {
        self.held_bytes
    }

    /// Bytes of the answers that clients have not taken yet, and the client that has left most.
    pub fn unsent(&self) -> (usize, Option<ClientId>) {
        let unsent = |id: &ClientId| self.clients.get(id).map_or(0, |c| c.link.unsent());
        (
            self.with_unsent.iter().map(unsent).sum(),
            self.with_unsent.iter().copied().max_by_key(unsent),
        )
    }

    /// A statement is taken under a ticket.
    pub fn open(&mut self, client: ClientId, number: i32, ticket: Ticket, call: Call) {
        if let Some(c) = self.clients.get_mut(&client) {
            c.open.insert(number, ticket);
            self.held_bytes += call.size();
            self.ids.insert(call.id.clone());
            self.open.insert(
                ticket,
                Open {
                    client,
                    number,
                    call: Rc::new(call),
                },
            );
        }
    }

    pub fn call(&self, ticket: Ticket) -> Option<Rc<Call>> {
        self.open.get(&ticket).map(|open| open.call.clone())
    }

    /// Writes a reply; of itself, to a statement that was not taken.
    pub fn reply(&mut self, id: ClientId, number: i32, reply: &Reply) {
        if let Some(client) = self.clients.get_mut(&id) {
            statement::write(client.link.output(), number, reply);
            self.changed.insert(id);
        }
    }

    /// Says that a statement that was taken can't be used after all.
    pub fn answer_taken_unusable(&mut self, ticket: Ticket, field: &str) {
        let Some(open) = self.remove_open(ticket) else {
            return;
        };
        if let Some(client) = self.clients.get_mut(&open.client) {
            client.open.remove(&open.number);
        }
        self.answer_unusable(open.client, open.number, field);
    }

    /// Gives a statement its final answer.
    pub fn answer(&mut self, now: Micros, ticket: Ticket, reply: &Reply) {
        let Some(open) = self.remove_open(ticket) else {
            return;
        };
        if let Some(client) = self.clients.get_mut(&open.client) {
            client.open.remove(&open.number);
            client.last_active = now;
        }
        self.reply(open.client, open.number, reply);
    }

    /// Sends what is to leave.
    pub fn flush(&mut self, now: Micros, events: &mut Vec<Event>) {
        for id in std::mem::take(&mut self.changed) {
            let Some(client) = self.clients.get_mut(&id) else {
                continue;
            };
            let before = client.link.unsent();
            match client.link.flush() {
                Err(_) => self.disconnect(id, events),
                Ok(()) if client.link.unsent() > 0 => {
                    client.last_active = if client.link.unsent() < before {
                        now
                    } else {
                        client.last_active
                    };
                    self.with_unsent.insert(id);
                }
                Ok(()) => {
                    self.with_unsent.remove(&id);
                    if client.refused && client.open.is_empty() {
                        self.close(now, id, events);
                    }
                }
            }
        }
    }

    /// Connections that are to be read again: they have taken their answers, or a last look found something.
    pub fn readable_again(&mut self) -> Vec<ClientId> {
        let with_unsent = |id: &ClientId| {
            self.clients
                .get(id)
                .is_some_and(|c| c.link.unsent() > MOST_UNSENT)
        };
        let (paused, mut ready): (Vec<_>, Vec<_>) = std::mem::take(&mut self.paused)
            .into_iter()
            .partition(with_unsent);
        self.paused.extend(paused);
        ready.extend(std::mem::take(&mut self.found_unread));
        ready.extend(self.lingering.take_unread());
        ready
    }
}

#[cfg(test)]
#[path = "clients_tests.rs"]
pub(crate) mod tests;
