//! Connections of clients: statements in, one final answer out for each.

mod connection;
mod idle;
mod input;

use std::collections::{BTreeSet, HashMap, HashSet};
use std::rc::Rc;

use hallmux_dispatcher::{Micros, Ticket};
use hallmux_native_codec::statement::{self, Call, Reply};

use crate::lingering::Lingering;
use crate::link::Link;
use crate::unsent_answers::UnsentAnswers;
use connection::Client;

pub use connection::ServingStatus;

/// Statements open on a connection, as the protocol has it.
const MAX_OPEN_STATEMENTS: usize = 32;
/// Bytes that a client may leave untaken before it is no longer read.
const MAX_UNSENT_BYTES: usize = 64 << 10;

/// A client's connection, by its number among all that were accepted.
pub type ClientId = u64;

/// A statement that a client waits for.
struct OpenStatement {
    client: ClientId,
    number: i32,
    call: Rc<Call>,
}

/// All connections of clients, and the statements that are open on them.
#[derive(Default)]
pub struct Clients {
    clients: HashMap<ClientId, Client>,
    open: HashMap<Ticket, OpenStatement>,
    /// Ids of the statements that are open, on whatever connection.
    statement_ids: HashSet<String>,
    held_bytes: usize,
    /// Milliseconds after which rejected statements may be sent again, where the contract has such a time.
    retry_after_ms: Option<i64>,
    last_id: ClientId,
    next_idle_check: Micros,
    flush_pending: BTreeSet<ClientId>,
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
    /// A statement has come. `unread_for`: microseconds for which it may have lain unread, as its client took no answers
    /// or was not accepted.
    Statement {
        client: ClientId,
        number: i32,
        call: Box<Call>,
        unread_for: Micros,
    },
    /// The client cancels a statement.
    Cancelled { client: ClientId, number: i32 },
    /// The connection that a statement was open on is over.
    Abandoned(Ticket),
}

impl Clients {
    /// `retry_after` goes with rejections; `longest_timeout` is how long any client waits, in microseconds.
    pub fn new(retry_after: Option<Micros>, longest_timeout: Micros) -> Self {
        let retry_after_ms = retry_after.map(|time| time / 1000);
        Clients {
            retry_after_ms,
            longest_timeout,
            ..Clients::default()
        }
    }

    /// The number of the next connection.
    pub fn next_id(&mut self) -> ClientId {
        self.last_id += 1;
        self.last_id
    }

    /// A connection was accepted that may have waited for that. Guards against a deadline beyond its client's: what it
    /// has sent lay unread meanwhile.
    pub fn accept(&mut self, now: Micros, id: ClientId, link: Link, waited: Micros) {
        let client = Client::accepted(now, link, waited);
        self.clients.insert(id, client);
    }

    /// Connections, those that are being closed too.
    pub fn len(&self) -> usize {
        self.clients.len() + self.lingering.len()
    }

    /// Guards against one that sends what can't be used without end: after some such statements its connection is closed.
    fn close_if_faulty(&mut self, id: ClientId) {
        let faulty = |client: &&mut Client| client.is_faulty() && !client.is_closing;
        let Some(client) = self.clients.get_mut(&id).filter(faulty) else {
            return;
        };
        log::info!(
            "client {id}: {} statements that can't be used; its connection is closed",
            client.unusable_statements
        );
        client.is_closing = true;
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
            self.remove_statement(*ticket);
            events.push(Event::Abandoned(*ticket));
        }
        self.flush_pending.remove(&id);
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
    pub fn check_admissible(
        &mut self,
        id: ClientId,
        number: i32,
        call: &Call,
        events: &mut Vec<Event>,
    ) -> bool {
        let Some(client) = self.clients.get(&id) else {
            return false;
        };
        if client.is_faulty() {
            self.reject(id, number);
        } else if client.open.contains_key(&number) {
            self.answer_unusable(id, number, statement::NUMBER);
        } else if self.statement_ids.contains(&call.id) {
            self.answer_unusable(id, number, statement::ID);
        } else if client.open.len() >= MAX_OPEN_STATEMENTS {
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
        self.remove_statement(ticket);
        Some(ticket)
    }

    fn remove_statement(&mut self, ticket: Ticket) -> Option<OpenStatement> {
        let open = self.open.remove(&ticket)?;
        self.held_bytes -= open.call.size();
        self.statement_ids.remove(&open.call.id);
        Some(open)
    }

    /// Bytes of the statements that clients wait for.
    pub fn held_bytes(&self) -> usize {
        self.held_bytes
    }

    /// The answers that clients have not taken yet.
    pub fn unsent(&self) -> UnsentAnswers {
        let unsent = |id: &ClientId| self.clients.get(id).map_or(0, |c| c.link.unsent());
        UnsentAnswers {
            bytes: self.with_unsent.iter().map(unsent).sum(),
            slowest: self.with_unsent.iter().copied().max_by_key(unsent),
        }
    }

    /// A statement is taken under a ticket.
    pub fn open_statement(&mut self, client: ClientId, number: i32, ticket: Ticket, call: Call) {
        if let Some(c) = self.clients.get_mut(&client) {
            c.open.insert(number, ticket);
            self.held_bytes += call.size();
            self.statement_ids.insert(call.id.clone());
            self.open.insert(
                ticket,
                OpenStatement {
                    client,
                    number,
                    call: Rc::new(call),
                },
            );
        }
    }

    /// What a client has asked for under a ticket.
    pub fn call(&self, ticket: Ticket) -> Option<Rc<Call>> {
        self.open.get(&ticket).map(|open| open.call.clone())
    }

    /// Writes a reply; of itself, to a statement that was not taken.
    pub fn reply(&mut self, id: ClientId, number: i32, reply: &Reply) {
        if let Some(client) = self.clients.get_mut(&id) {
            statement::write(client.link.output(), number, reply);
            self.flush_pending.insert(id);
        }
    }

    /// Says that a statement that was taken can't be used after all.
    pub fn answer_accepted_unusable(&mut self, ticket: Ticket, field: &str) {
        let Some(open) = self.remove_statement(ticket) else {
            return;
        };
        if let Some(client) = self.clients.get_mut(&open.client) {
            client.open.remove(&open.number);
        }
        self.answer_unusable(open.client, open.number, field);
    }

    /// Gives a statement its final answer.
    pub fn answer(&mut self, now: Micros, ticket: Ticket, reply: &Reply) {
        let Some(open) = self.remove_statement(ticket) else {
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
        for id in std::mem::take(&mut self.flush_pending) {
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
                    if client.is_closing && client.open.is_empty() {
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
                .is_some_and(|c| c.link.unsent() > MAX_UNSENT_BYTES)
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
