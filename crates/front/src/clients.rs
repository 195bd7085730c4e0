//! Connections of clients: statements in, one final answer out for each.

use std::collections::{BTreeSet, HashMap};
use std::rc::Rc;

use hallmux_codec::statement::{self, Asked, Call, Reply};
use hallmux_dispatcher::{Micros, Ticket};

use crate::link::Link;

const MOST_OPEN: usize = 32; // statements open on a connection, as the protocol has it
const IDLE: Micros = 30_000_000; // microseconds; clients close after 4 s, so what is idle longer is gone
const LOOK: Micros = 1_000_000; // microseconds between looks at idle connections
const MOST_UNSENT: usize = 64 << 10; // bytes that a client may leave untaken before it is no longer read

pub type ClientId = u64;

struct Client {
    link: Link,
    open: HashMap<i32, Ticket>,
    heard: Micros,
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
    held: usize,
    next: ClientId,
    look: Micros,
    dirty: BTreeSet<ClientId>,
    /// They have not taken all that is to leave.
    behind: BTreeSet<ClientId>,
    /// Not read for now: they do not take their answers.
    waiting: BTreeSet<ClientId>,
}

/// What clients have said.
pub enum Told {
    Asked { client: ClientId, number: i32, call: Box<Call> },
    Forgets { client: ClientId, number: i32 },
    Left(Ticket),
}

impl Clients {
    pub fn next_id(&mut self) -> ClientId {
        self.next += 1;
        self.next
    }

    pub fn accept(&mut self, now: Micros, id: ClientId, link: Link) {
        self.clients.insert(id, Client { link, open: HashMap::new(), heard: now });
    }

    pub fn len(&self) -> usize {
        self.clients.len()
    }

    /// A connection has changed: takes what the client has said, and sends on where it takes more again.
    /// True if there is more for another turn.
    pub fn read(&mut self, now: Micros, id: ClientId, well: bool, told: &mut Vec<Told>) -> bool {
        let Some(client) = self.clients.get_mut(&id) else { return false };
        self.dirty.insert(id);
        client.heard = now;
        if client.link.unsent() > MOST_UNSENT {
            self.waiting.insert(id);
            return false;
        }
        let (more, broken) = client.link.read();
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
                        Asked::Unknown(name) => answer(Reply::UnknownMethod(&name)),
                        Asked::Forget(number) => told.push(Told::Forgets { client: id, number }),
                        Asked::Serve(call) => match call.unfit {
                            Some(field) => answer(Reply::Unfit(field)),
                            None => told.push(Told::Asked { client: id, number, call: Box::new(call) }),
                        },
                    }
                }
            }
        };
        client.link.taken(at);
        if let Some(what) = &unreadable {
            log::warn!("client {id}: {what}; its connection is closed");
        }
        if broken.is_some() || unreadable.is_some() {
            self.end(id, told);
        }
        more
    }

    /// A client's connection is over: nobody waits for what is open on it.
    pub fn end(&mut self, id: ClientId, told: &mut Vec<Told>) {
        let Some(client) = self.clients.remove(&id) else { return };
        for ticket in client.open.values() {
            self.let_go(*ticket);
            told.push(Told::Left(*ticket));
        }
        self.waiting.remove(&id);
        self.behind.remove(&id);
        // What was asked just now, and is not open yet, is answered to nobody.
        told.retain(
            |t| !matches!(t, Told::Asked { client, .. } | Told::Forgets { client, .. } if *client == id),
        );
    }

    /// Whether a statement can be taken from a connection. A number that is open already is no second one.
    pub fn has_room(&mut self, id: ClientId, number: i32) -> bool {
        match self.clients.get(&id) {
            Some(client) if client.open.contains_key(&number) => {
                log::debug!("client {id}: statement {number} is open already");
                false
            }
            Some(client) if client.open.len() >= MOST_OPEN => {
                self.say(id, number, &Reply::Rejected { retry_after_ms: None });
                false
            }
            client => client.is_some(),
        }
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

    /// Gives a statement its final answer.
    pub fn answer(&mut self, ticket: Ticket, reply: &Reply) {
        let Some(open) = self.let_go(ticket) else { return };
        if let Some(client) = self.clients.get_mut(&open.client) {
            client.open.remove(&open.number);
        }
        self.say(open.client, open.number, reply);
    }

    /// Sends what is to leave.
    pub fn flush(&mut self, told: &mut Vec<Told>) {
        for id in std::mem::take(&mut self.dirty) {
            let Some(client) = self.clients.get_mut(&id) else { continue };
            match client.link.flush() {
                Err(_) => self.end(id, told),
                Ok(()) if client.link.unsent() > 0 => _ = self.behind.insert(id),
                Ok(()) => _ = self.behind.remove(&id),
            }
        }
    }

    /// Connections that are to be read again, as they have taken their answers.
    pub fn caught_up(&mut self) -> Vec<ClientId> {
        let behind = |id: &ClientId| self.clients.get(id).is_some_and(|c| c.link.unsent() > MOST_UNSENT);
        let (waiting, ready): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.waiting).into_iter().partition(behind);
        self.waiting.extend(waiting);
        ready
    }

    /// Closes connections whose clients are long gone without a word.
    pub fn expire(&mut self, now: Micros) {
        if now >= self.look {
            self.look = now + LOOK;
            self.clients.retain(|_, c| !c.open.is_empty() || c.heard + IDLE > now);
        }
    }

    /// Closes the connections that have nothing open and nothing on the way.
    pub fn close_idle(&mut self) {
        self.clients.retain(|_, c| !c.open.is_empty() || c.link.unsent() > 0 || !c.link.input.is_empty());
    }
}
