//! Connections of clients: statements in, one final answer out for each.

use std::collections::{BTreeSet, HashMap};
use std::rc::Rc;

use hallmux_codec::statement::{self, Asked, Call, Reply};
use hallmux_dispatcher::Ticket;

use crate::link::{Broken, Link};

const MOST_OPEN: usize = 32; // statements open on a connection, as the protocol has it
const MOST_UNSENT: usize = 2 << 20; // bytes that a client may leave untaken; all it can have open, and a quarter

pub type ClientId = u64;

struct Client {
    link: Link,
    open: HashMap<i32, Ticket>,
}

/// A statement that a client waits for.
struct Open {
    client: ClientId,
    seqid: i32,
    call: Rc<Call>,
}

#[derive(Default)]
pub struct Clients {
    clients: HashMap<ClientId, Client>,
    open: HashMap<Ticket, Open>,
    next: ClientId,
    dirty: BTreeSet<ClientId>,
    /// Not read for now: they do not take their answers.
    pub waiting: BTreeSet<ClientId>,
}

/// What clients have said.
pub enum Told {
    Asked { client: ClientId, seqid: i32, call: Box<Call> },
    Left(Ticket),
}

impl Clients {
    pub fn next_id(&mut self) -> ClientId {
        self.next += 1;
        self.next
    }

    pub fn accept(&mut self, id: ClientId, link: Link) {
        self.clients.insert(id, Client { link, open: HashMap::new() });
    }

    pub fn len(&self) -> usize {
        self.clients.len()
    }

    /// Takes what a client has said; true if there is more for another turn.
    pub fn read(&mut self, id: ClientId, well: bool, told: &mut Vec<Told>) -> bool {
        let Some(client) = self.clients.get_mut(&id) else { return false };
        self.dirty.insert(id);
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
                Ok(Some((len, seqid, asked))) => {
                    at += len;
                    let mut answer = |reply: Reply| statement::write(client.link.output(), seqid, &reply);
                    match asked {
                        Asked::IsWell => answer(Reply::Well(well)),
                        Asked::Unknown(name) => answer(Reply::UnknownMethod(&name)),
                        Asked::Forget(which) => {
                            if let Some(ticket) = client.open.remove(&which) {
                                self.open.remove(&ticket);
                                told.push(Told::Left(ticket));
                            }
                        }
                        Asked::Serve(_) if client.open.contains_key(&seqid) => {
                            log::debug!("client {id}: statement {seqid} is open already");
                        }
                        Asked::Serve(_) if client.open.len() >= MOST_OPEN => {
                            answer(Reply::Rejected { retry_after_ms: None });
                        }
                        Asked::Serve(call) => match call.unfit {
                            Some(field) => answer(Reply::Unfit(field)),
                            None => told.push(Told::Asked { client: id, seqid, call: Box::new(call) }),
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
    fn end(&mut self, id: ClientId, told: &mut Vec<Told>) {
        let Some(client) = self.clients.remove(&id) else { return };
        for ticket in client.open.values() {
            self.open.remove(ticket);
            told.push(Told::Left(*ticket));
        }
        self.waiting.remove(&id);
        // What was asked just now, and is not open yet, is answered to nobody.
        told.retain(|t| !matches!(t, Told::Asked { client, .. } if *client == id));
    }

    /// A statement is taken under a ticket.
    pub fn opened(&mut self, client: ClientId, seqid: i32, ticket: Ticket, call: Call) {
        if let Some(c) = self.clients.get_mut(&client) {
            c.open.insert(seqid, ticket);
            self.open.insert(ticket, Open { client, seqid, call: Rc::new(call) });
        }
    }

    pub fn call(&self, ticket: Ticket) -> Option<Rc<Call>> {
        self.open.get(&ticket).map(|open| open.call.clone())
    }

    /// Answers a statement that was not taken.
    pub fn refuse(&mut self, id: ClientId, seqid: i32, reply: &Reply) {
        if let Some(client) = self.clients.get_mut(&id) {
            statement::write(client.link.output(), seqid, reply);
            self.dirty.insert(id);
        }
    }

    /// Gives a statement its final answer.
    pub fn answer(&mut self, ticket: Ticket, reply: &Reply) {
        let Some(open) = self.open.remove(&ticket) else { return };
        if let Some(client) = self.clients.get_mut(&open.client) {
            client.open.remove(&open.seqid);
        }
        self.refuse(open.client, open.seqid, reply);
    }

    /// Sends what is to leave.
    pub fn flush(&mut self, told: &mut Vec<Told>) {
        for id in std::mem::take(&mut self.dirty) {
            let Some(client) = self.clients.get_mut(&id) else { continue };
            if let Err(Broken::Reset | Broken::Closed) = client.link.flush() {
                self.end(id, told);
            }
        }
    }

    /// Sends on as a connection takes more again; true if it was not read for so long.
    pub fn writable(&mut self, id: ClientId) -> bool {
        self.dirty.insert(id);
        self.waiting.remove(&id)
    }

    /// Closes the connections that have nothing open and nothing on the way.
    pub fn close_idle(&mut self) {
        self.clients.retain(|_, c| !c.open.is_empty() || c.link.unsent() > 0 || !c.link.input.is_empty());
    }
}
