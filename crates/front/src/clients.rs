//! Connections of clients: reads statements from them and sends one final answer for each.

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

/// Limit of the statements open on a connection, as the protocol defines it.
const MAX_OPEN_STATEMENTS: usize = 32;
/// Unsent bytes of answers beyond which a client is not read.
const MAX_UNSENT_BYTES: usize = 64 << 10;

/// Bytes of memory that an open statement takes besides its own: its entries in the collections of the front, the
/// dispatcher and the scheduler.
pub const STATEMENT_OVERHEAD_BYTES: usize = 1_536;

/// The number of a client's connection, in order of acceptance.
pub type ClientId = u64;

/// A statement whose client waits for its answer.
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
    /// Ids of the statements that are open on any connection.
    statement_ids: HashSet<String>,
    held_bytes: usize,
    /// Milliseconds after which rejected statements may be sent again, if the settings name such a time.
    retry_after_ms: Option<i64>,
    last_id: ClientId,
    next_idle_check: Micros,
    /// Connections to flush in this iteration.
    flush_pending: BTreeSet<ClientId>,
    /// Connections with unsent answers.
    with_unsent: BTreeSet<ClientId>,
    /// Connections that are not read until their clients read their answers.
    paused: BTreeSet<ClientId>,
    /// Connections that were about to be closed as idle when a last read found new input.
    found_unread: BTreeSet<ClientId>,
    lingering: Lingering,
    /// The longest time, in microseconds, that any client waits for an answer or takes to read one.
    longest_timeout: Micros,
}

/// A client's statement or cancellation, or a statement abandoned by the end of its connection.
pub enum Event {
    /// A statement was received. `unread_for`: microseconds for which it may have been unread, because its client did
    /// not read answers or was not accepted yet.
    Statement {
        client: ClientId,
        number: i32,
        call: Box<Call>,
        unread_for: Micros,
    },
    /// The client cancels a statement.
    Cancelled { client: ClientId, number: i32 },
    /// The connection of an open statement has ended.
    Abandoned(Ticket),
}

/// Bytes of memory that an open statement takes.
fn statement_memory(call: &Call) -> usize {
    STATEMENT_OVERHEAD_BYTES + call.size()
}

impl Clients {
    /// No connections yet. `retry_after` is sent with rejections; `longest_timeout` is the longest time that any client
    /// waits for an answer. Both are in microseconds.
    pub fn new(retry_after: Option<Micros>, longest_timeout: Micros) -> Self {
        let retry_after_ms = retry_after.map(|time| time / 1000);
        Clients {
            retry_after_ms,
            longest_timeout,
            ..Clients::default()
        }
    }

    /// Assigns the number of the next connection.
    pub fn next_id(&mut self) -> ClientId {
        self.last_id += 1;
        self.last_id
    }

    /// Adds an accepted connection that may have waited in the kernel's queue for `waited` microseconds. Guards against
    /// a deadline beyond the client's: its input was unread meanwhile.
    pub fn accept(&mut self, now: Micros, id: ClientId, link: Link, waited: Micros) {
        let client = Client::accepted(now, link, waited);
        self.clients.insert(id, client);
    }

    /// The number of connections, including those that are being closed.
    pub fn len(&self) -> usize {
        self.clients.len() + self.lingering.len()
    }

    /// Closes a connection after `MAX_UNUSABLE_STATEMENTS`. Guards against a client that sends unusable statements
    /// without end.
    fn close_if_faulty(&mut self, id: ClientId) {
        let faulty = |client: &&mut Client| client.is_faulty() && !client.is_closing;
        let Some(client) = self.clients.get_mut(&id).filter(faulty) else {
            return;
        };
        log::info!(
            "client {id}: sent {} unusable statements; its connection is closed",
            client.unusable_statements
        );
        client.is_closing = true;
    }

    /// Answers that a statement is unusable because of the named field.
    pub fn answer_unusable(&mut self, id: ClientId, number: i32, field: &str) {
        self.reply(id, number, &Reply::InvalidField(field));
        if let Some(client) = self.clients.get_mut(&id) {
            client.unusable_statements += 1;
        }
        self.close_if_faulty(id);
    }

    /// Closes a client's connection at once and abandons the statements that are open on it.
    pub fn disconnect(&mut self, id: ClientId, events: &mut Vec<Event>) {
        self.remove(id, events);
    }

    /// Closes a connection without open statements by a lingering close, so that no answer on its way is lost.
    fn close(&mut self, now: Micros, id: ClientId, events: &mut Vec<Event>) {
        if let Some(client) = self.remove(id, events) {
            self.lingering.close(now, id, client.link);
        }
    }

    /// Removes a connection, as every close does, and reports its open statements as abandoned.
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
        // Statements that were read in this iteration and are not open yet are dropped unanswered.
        events.retain(
            |t| !matches!(t, Event::Statement { client, .. } | Event::Cancelled { client, .. } if *client == id),
        );
        Some(client)
    }

    /// Whether a statement can be admitted from a connection; if not, the statement is answered or the connection is
    /// closed. Guards against answers that could belong to either of two statements, and against executions that
    /// engines could not tell apart: an open statement goes on, and another with its number or id is rejected as
    /// unusable.
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
            self.answer_unusable(id, number, statement::SEQUENCE_NUMBER_FIELD);
        } else if self.statement_ids.contains(&call.id) {
            self.answer_unusable(id, number, statement::ID);
        } else if client.open.len() >= MAX_OPEN_STATEMENTS {
            // Guards against floods: statements of one burst have not been sent to any engine yet, and will not be.
            log::info!(
                "client {id}: more open statements than the protocol allows; its connection is closed"
            );
            self.disconnect(id, events);
        } else {
            return true;
        }
        false
    }

    /// Rejects a statement that was not admitted for lack of capacity.
    pub fn reject(&mut self, id: ClientId, number: i32) {
        self.reply(
            id,
            number,
            &Reply::Rejected {
                retry_after_ms: self.retry_after_ms,
            },
        );
    }

    /// Closes a statement that its client no longer waits for. Returns its ticket, or None if it is not open.
    pub fn cancel(&mut self, id: ClientId, number: i32) -> Option<Ticket> {
        let ticket = self.clients.get_mut(&id)?.open.remove(&number)?;
        self.remove_statement(ticket);
        Some(ticket)
    }

    fn remove_statement(&mut self, ticket: Ticket) -> Option<OpenStatement> {
        let open = self.open.remove(&ticket)?;
        self.held_bytes -= statement_memory(&open.call);
        self.statement_ids.remove(&open.call.id);
        Some(open)
    }

    /// Bytes of the open statements.
    pub fn held_bytes(&self) -> usize {
        self.held_bytes
    }

    /// The answers that clients have not read yet.
    pub fn unsent(&self) -> UnsentAnswers {
        let unsent = |id: &ClientId| self.clients.get(id).map_or(0, |c| c.link.unsent());
        UnsentAnswers::new(self.with_unsent.iter().map(|id| (*id, unsent(id))))
    }

    /// Records an admitted statement under its ticket.
    pub fn open_statement(&mut self, client: ClientId, number: i32, ticket: Ticket, call: Call) {
        if let Some(c) = self.clients.get_mut(&client) {
            c.open.insert(number, ticket);
            self.held_bytes += statement_memory(&call);
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

    /// The request of an open statement.
    pub fn call(&self, ticket: Ticket) -> Option<Rc<Call>> {
        self.open.get(&ticket).map(|open| open.call.clone())
    }

    /// Writes a reply to a client. Called directly for statements that were not admitted.
    pub fn reply(&mut self, id: ClientId, number: i32, reply: &Reply) {
        if let Some(client) = self.clients.get_mut(&id) {
            statement::write(client.link.output(), number, reply);
            self.flush_pending.insert(id);
        }
    }

    /// Answers that an admitted statement is unusable after all, because of the named field.
    pub fn answer_accepted_unusable(&mut self, ticket: Ticket, field: &str) {
        let Some(open) = self.remove_statement(ticket) else {
            return;
        };
        if let Some(client) = self.clients.get_mut(&open.client) {
            client.open.remove(&open.number);
        }
        self.answer_unusable(open.client, open.number, field);
    }

    /// Sends the final answer of a statement and closes the statement.
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

    /// Sends pending output to clients; connections that fail are closed.
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

    /// Connections to read again: their clients have read their answers, or a last read before a close found input.
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
