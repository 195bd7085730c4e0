//! Connections of clients: statements in, one final answer out for each.

mod idle;
mod lingering;

use std::collections::{BTreeSet, HashMap, HashSet};
use std::rc::Rc;

use hallmux_codec::statement::{self, Asked, Call, Reply};
use hallmux_dispatcher::{Micros, Ticket};

use crate::link::Link;
use lingering::Lingering;

const MOST_OPEN: usize = 32; // statements open on a connection, as the protocol has it
const ONE_READ: usize = 16 << 10; // bytes taken from a client in a turn, and one chunk: all that it may have open
const MOST_FAULTS: usize = 8; // statements that can't be used, until their connection is closed
const MOST_UNSENT: usize = 64 << 10; // bytes that a client may leave untaken before it is no longer read

pub type ClientId = u64;

struct Client {
    link: Link,
    open: HashMap<i32, Ticket>,
    /// When it was last of use: something came, or an answer left.
    heard: Micros,
    /// Since when a whole message is awaited: the first one, or the rest of one that has begun.
    awaited: Option<Micros>,
    /// It has said a whole message.
    spoke: bool,
    faults: usize,
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
    held: usize,
    /// When those that were refused may come again, where that is told.
    come_back_ms: Option<i64>,
    next: ClientId,
    look: Micros,
    dirty: BTreeSet<ClientId>,
    /// They have not taken all that is to leave.
    behind: BTreeSet<ClientId>,
    /// Not read for now: they do not take their answers.
    waiting: BTreeSet<ClientId>,
    /// A last look before their end found that they have said something.
    found: BTreeSet<ClientId>,
    lingering: Lingering,
    /// No client waits longer for an answer, and none takes longer over one.
    longest_timeout: Micros,
}

/// What clients have said.
pub enum Told {
    /// `waited`: for how long it may have lain unread, as its client took no answers.
    Asked {
        client: ClientId,
        number: i32,
        call: Box<Call>,
        waited: Micros,
    },
    Forgets {
        client: ClientId,
        number: i32,
    },
    Left(Ticket),
}

impl Clients {
    pub fn new(come_back: Option<Micros>, longest_timeout: Micros) -> Self {
        let come_back_ms = come_back.map(|time| time / 1000);
        Clients { come_back_ms, longest_timeout, ..Clients::default() }
    }

    pub fn next_id(&mut self) -> ClientId {
        self.next += 1;
        self.next
    }

    pub fn accept(&mut self, now: Micros, id: ClientId, link: Link) {
        let open = HashMap::new();
        let client = Client {
            link,
            open,
            heard: now,
            awaited: Some(now),
            spoke: false,
            faults: 0,
            refused: false,
            unread_since: None,
        };
        self.clients.insert(id, client);
    }

    /// Connections, those that are being closed too.
    pub fn len(&self) -> usize {
        self.clients.len() + self.lingering.len()
    }

    /// A connection has changed: takes what the client has said, and sends on where it takes more again.
    /// True if there is more for another turn.
    pub fn read(&mut self, now: Micros, id: ClientId, well: bool, told: &mut Vec<Told>) -> bool {
        if self.lingering.read(id) {
            return false;
        }
        let Some(client) = self.clients.get_mut(&id) else { return false };
        self.dirty.insert(id);
        client.heard = now;
        if client.link.unsent() > MOST_UNSENT {
            self.waiting.insert(id);
            client.unread_since.get_or_insert(now);
            return false;
        }
        let waited = client.unread_since.take().map_or(0, |since| now - since);
        let (more, broken) = client.link.read_some(ONE_READ);
        if client.refused {
            client.link.input.clear();
            if broken.is_some() {
                self.end(id, told);
            }
            return more;
        }
        let mut at = 0;
        let unreadable = loop {
            match statement::read(&client.link.input[at..]) {
                Ok(None) => break None,
                Err(what) => break Some(what),
                Ok(Some((len, number, asked))) => {
                    at += len;
                    let mut answer = |reply: Reply| statement::write(client.link.output(), number, &reply);
                    match asked {
                        Asked::IsWell => answer(Reply::Well(well)),
                        Asked::Unknown(name) => {
                            answer(Reply::UnknownMethod(&name));
                            client.faults += 1;
                        }
                        Asked::Forget(number) => told.push(Told::Forgets { client: id, number }),
                        Asked::Serve(call) => {
                            told.push(Told::Asked { client: id, number, call: Box::new(call), waited });
                        }
                    }
                }
            }
        };
        client.link.taken(at);
        client.spoke |= at > 0;
        // Guards against messages that never end: what has begun, or is the first, is awaited for a while.
        let awaits = !client.spoke || !client.link.input.is_empty();
        client.awaited = awaits.then(|| client.awaited.filter(|_| at == 0).unwrap_or(now));
        if let Some(what) = &unreadable {
            log::info!("client {id}: {what}; its connection is closed");
            client.refused = true;
        }
        self.at_fault(id);
        if broken.is_some() {
            self.end(id, told);
        } else if let Some(client) = self.clients.get_mut(&id).filter(|_| more) {
            client.unread_since = Some(now - waited);
        }
        more
    }

    /// Guards against one that sends what can't be used without end: it has heard so often enough.
    fn at_fault(&mut self, id: ClientId) {
        let at_fault = |c: &&mut Client| c.faults >= MOST_FAULTS && !c.refused;
        let Some(client) = self.clients.get_mut(&id).filter(at_fault) else { return };
        log::info!("client {id}: {} statements that can't be used; its connection is closed", client.faults);
        client.refused = true;
    }

    /// Says that a statement can't be used.
    pub fn unfit(&mut self, id: ClientId, number: i32, field: &str) {
        self.say(id, number, &Reply::Unfit(field));
        if let Some(client) = self.clients.get_mut(&id) {
            client.faults += 1;
        }
        self.at_fault(id);
    }

    /// A client's connection is over: nobody waits for what is open on it.
    pub fn end(&mut self, id: ClientId, told: &mut Vec<Told>) {
        self.settle(id, told);
    }

    /// Closes a connection that all was answered on, so that no answer on its way is lost.
    fn close(&mut self, now: Micros, id: ClientId, told: &mut Vec<Told>) {
        if let Some(client) = self.settle(id, told) {
            self.lingering.close(now, id, client.link);
        }
    }

    /// The one way in which a connection leaves: what was open on it is told as left.
    fn settle(&mut self, id: ClientId, told: &mut Vec<Told>) -> Option<Client> {
        let client = self.clients.remove(&id)?;
        for ticket in client.open.values() {
            self.let_go(*ticket);
            told.push(Told::Left(*ticket));
        }
        self.dirty.remove(&id);
        self.waiting.remove(&id);
        self.behind.remove(&id);
        self.found.remove(&id);
        // What was asked just now, and is not open yet, is answered to nobody.
        told.retain(
            |t| !matches!(t, Told::Asked { client, .. } | Told::Forgets { client, .. } if *client == id),
        );
        Some(client)
    }

    /// Whether a statement can be taken from a connection; if not, it has its answer or its end. Guards
    /// against answers that could be to either of two statements, and executions that engines could not tell
    /// apart: one that is open goes on, and another under its number or id is none.
    pub fn has_room(&mut self, id: ClientId, number: i32, call: &Call, told: &mut Vec<Told>) -> bool {
        let Some(client) = self.clients.get(&id) else { return false };
        if client.faults >= MOST_FAULTS {
            self.refuse(id, number);
        } else if client.open.contains_key(&number) {
            self.unfit(id, number, statement::NUMBER);
        } else if self.ids.contains(&call.id) {
            self.unfit(id, number, statement::ID);
        } else if client.open.len() >= MOST_OPEN {
            // Guards against floods: of what came at once nothing has left for an engine yet, nor will it.
            log::info!("client {id}: more statements at once than agreed; its connection is closed");
            self.end(id, told);
        } else {
            return true;
        }
        false
    }

    /// Rejects a statement that was not taken: there is no room for it.
    pub fn refuse(&mut self, id: ClientId, number: i32) {
        self.say(id, number, &Reply::Rejected { retry_after_ms: self.come_back_ms });
    }

    /// The client no longer waits for a statement.
    pub fn forget(&mut self, id: ClientId, number: i32) -> Option<Ticket> {
        let ticket = self.clients.get_mut(&id)?.open.remove(&number)?;
        self.let_go(ticket);
        Some(ticket)
    }

    fn let_go(&mut self, ticket: Ticket) -> Option<Open> {
        let open = self.open.remove(&ticket)?;
        self.held -= open.call.size();
        self.ids.remove(&open.call.id);
        Some(open)
    }

    /// Bytes of the statements that clients wait for.
    pub fn held(&self) -> usize {
        self.held
    }

    /// Bytes of the answers that clients have not taken yet, and the client that has left most.
    pub fn untaken(&self) -> (usize, Option<ClientId>) {
        let unsent = |id: &ClientId| self.clients.get(id).map_or(0, |c| c.link.unsent());
        (self.behind.iter().map(unsent).sum(), self.behind.iter().copied().max_by_key(unsent))
    }

    /// A statement is taken under a ticket.
    pub fn opened(&mut self, client: ClientId, number: i32, ticket: Ticket, call: Call) {
        if let Some(c) = self.clients.get_mut(&client) {
            c.open.insert(number, ticket);
            self.held += call.size();
            self.ids.insert(call.id.clone());
            self.open.insert(ticket, Open { client, number, call: Rc::new(call) });
        }
    }

    pub fn call(&self, ticket: Ticket) -> Option<Rc<Call>> {
        self.open.get(&ticket).map(|open| open.call.clone())
    }

    /// Writes a reply; of itself, to a statement that was not taken.
    pub fn say(&mut self, id: ClientId, number: i32, reply: &Reply) {
        if let Some(client) = self.clients.get_mut(&id) {
            statement::write(client.link.output(), number, reply);
            self.dirty.insert(id);
        }
    }

    /// Says that a statement that was taken can't be used after all.
    pub fn answer_unfit(&mut self, ticket: Ticket, field: &str) {
        let Some(open) = self.let_go(ticket) else { return };
        if let Some(client) = self.clients.get_mut(&open.client) {
            client.open.remove(&open.number);
        }
        self.unfit(open.client, open.number, field);
    }

    /// Gives a statement its final answer.
    pub fn answer(&mut self, now: Micros, ticket: Ticket, reply: &Reply) {
        let Some(open) = self.let_go(ticket) else { return };
        if let Some(client) = self.clients.get_mut(&open.client) {
            client.open.remove(&open.number);
            client.heard = now;
        }
        self.say(open.client, open.number, reply);
    }

    /// Sends what is to leave.
    pub fn flush(&mut self, now: Micros, told: &mut Vec<Told>) {
        for id in std::mem::take(&mut self.dirty) {
            let Some(client) = self.clients.get_mut(&id) else { continue };
            let before = client.link.unsent();
            match client.link.flush() {
                Err(_) => self.end(id, told),
                Ok(()) if client.link.unsent() > 0 => {
                    client.heard = if client.link.unsent() < before { now } else { client.heard };
                    self.behind.insert(id);
                }
                Ok(()) => {
                    self.behind.remove(&id);
                    if client.refused && client.open.is_empty() {
                        self.close(now, id, told);
                    }
                }
            }
        }
    }

    /// Connections that are to be read again: they have taken their answers, or a last look found something.
    pub fn ready_again(&mut self) -> Vec<ClientId> {
        let behind = |id: &ClientId| self.clients.get(id).is_some_and(|c| c.link.unsent() > MOST_UNSENT);
        let (waiting, mut ready): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.waiting).into_iter().partition(behind);
        self.waiting.extend(waiting);
        ready.extend(std::mem::take(&mut self.found));
        ready
    }
}

#[cfg(test)]
#[path = "clients_tests.rs"]
pub(crate) mod tests;
