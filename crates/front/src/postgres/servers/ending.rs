//! How executions and connections end: given up, cancelled, let go, lost.

use hallmux_dispatcher::{Ending, Micros, Place, Ticket};
use hallmux_postgres::pool::Freed;
use hallmux_postgres::wire;

use super::{Cancel, Sent, ServerId, Servers, Stage, Told};
use crate::doors::Door;
use crate::link::Link;

impl Servers {
    /// Gives an execution up. It ends as told, or as withdrawn where nothing of it has left.
    pub fn stop(&mut self, now: Micros, sent: Sent, ending: Ending) {
        let Some(x) = self.executions.get(&sent) else { return };
        let (place, link) = (x.place, x.link);
        let Some(id) = link else {
            self.pools.withdraw(place, sent);
            // One that waits for a cancel to be over lets its transaction go, which it could not end.
            let pinned = x.unit.pin;
            self.ended(sent, if ending == Ending::TimeUp { ending } else { Ending::Withdrawn });
            pinned.into_iter().for_each(|id| self.close(id));
            return;
        };
        // Time that a client spent on taking its answer is not the engine's.
        let ending = if ending == Ending::TimeUp && x.paused { Ending::GivenUp } else { ending };
        self.executions.remove(&sent);
        let held = self.links.get(&id).is_some_and(|l| l.holds.is_some());
        if self.allowed.cancel || held {
            let asked = self.allowed.cancel && self.ask_to_cancel(now, id, Some((sent, ending)));
            self.close(id);
            // At once where a client is owed its answer; else when the engine has taken the request.
            if ending == Ending::TimeUp || !asked {
                self.told.push(Told::Ended { sent, ending });
            }
        } else {
            if let Some(link) = self.links.get_mut(&id) {
                (link.serves, link.discards) = (None, true);
            }
            self.told.push(Told::Ended { sent, ending });
        }
    }

    /// Nobody waits for a statement any more: what has not left for an engine never will.
    pub fn leave(&mut self, now: Micros, ticket: Ticket) {
        let of_ticket = self.executions.iter().filter(|(sent, _)| sent.0 == ticket);
        let here: Vec<(Sent, Option<ServerId>)> = of_ticket.map(|(sent, x)| (*sent, x.link)).collect();
        for (sent, link) in here {
            let Some(id) = link else {
                self.stop(now, sent, Ending::Withdrawn);
                continue;
            };
            // What is written and has yet to leave goes with its connection.
            let unsent = self.links.get(&id).is_some_and(|l| l.serves == Some(sent) && !l.link.has_left(1));
            if let Some(place) = self.place(id).filter(|_| unsent) {
                self.ended(sent, Ending::Withdrawn);
                self.gone(now, id, place);
            }
        }
    }

    /// A client asks for the end of what is out. False if nothing can be done about it.
    pub fn cancel(&mut self, now: Micros, sent: Sent) -> bool {
        let Some(x) = self.executions.get(&sent).filter(|x| x.stage != Stage::Waits) else { return false };
        let Some(id) = x.link.filter(|_| self.allowed.cancel) else { return false };
        if let Some(link) = self.links.get_mut(&id) {
            link.last = true;
        }
        self.ask_to_cancel(now, id, None)
    }

    /// Sends a request to cancel over a connection of its own.
    fn ask_to_cancel(&mut self, now: Micros, id: ServerId, ends: Option<(Sent, Ending)>) -> bool {
        let Some(server) = self.links.get_mut(&id) else { return false };
        let Some(((process, secret), engine)) = server.engine.key.zip(self.engines.get(&server.place)) else {
            return false;
        };
        let number = self.next + 1;
        let Ok(mut link) = Link::dial(engine.at, &self.handle, Door::Cancel.party(number)) else {
            return false;
        };
        self.next = number;
        wire::write_cancel(link.output(), process, secret);
        server.cancels += 1;
        let by = now + 2 * self.allowed.dial_timeout;
        self.cancels.insert(number, Cancel { link, server: id, by, ends });
        true
    }

    /// A connection that carries a request to cancel has changed.
    pub fn read_cancel(&mut self, number: u64) {
        let Some(cancel) = self.cancels.get_mut(&number) else { return };
        match cancel.link.is_up() {
            Ok(false) => return,
            Ok(true) => {}
            Err(_) => return self.cancelled(number),
        }
        let sent = cancel.link.flush();
        let (_, broken) = cancel.link.read();
        if sent.is_err() || broken.is_some() || !cancel.link.input.is_empty() {
            self.cancelled(number);
        }
    }

    /// The engine has taken the request, or never will.
    pub(super) fn cancelled(&mut self, number: u64) {
        let Some(cancel) = self.cancels.remove(&number) else { return };
        if let Some((sent, ending)) = cancel.ends.filter(|(_, ending)| *ending != Ending::TimeUp) {
            self.told.push(Told::Ended { sent, ending });
        }
        if let Some(link) = self.links.get_mut(&cancel.server) {
            link.cancels -= 1;
            let waits = |sent: &Sent| self.executions.get(sent).is_some_and(|x| x.stage == Stage::Waits);
            if let Some(sent) = link.serves.filter(waits).filter(|_| link.cancels == 0) {
                self.start(sent, cancel.server);
            }
        }
    }

    /// A session lets go of the connection that holds its transaction: the engine rolls it back.
    pub fn release(&mut self, now: Micros, id: ServerId) {
        if let Some(place) = self.place(id) {
            self.gone(now, id, place);
        }
    }

    /// Closes a connection that has nothing out that anyone waits for.
    pub(super) fn close(&mut self, id: ServerId) {
        if let Some(mut server) = self.links.remove(&id) {
            if server.up && server.link.unsent() == 0 && server.serves.is_none() {
                server.link.output().extend_from_slice(wire::TERMINATE);
                // It ends whether the word of it gets through or not.
                let _ = server.link.flush();
            }
            self.forget(id);
        }
    }

    pub(super) fn forget(&mut self, id: ServerId) -> Vec<Sent> {
        self.coming.remove(&id);
        self.dirty.remove(&id);
        self.pools.gone(id)
    }

    pub(super) fn gone(&mut self, now: Micros, id: ServerId, place: Place) {
        self.close(id);
        let step = self.pools.next(place);
        self.step(now, place, step);
    }

    /// A connection is free: for the next unit, or to be closed.
    pub(super) fn rests(&mut self, now: Micros, id: ServerId) {
        let Some(server) = self.links.get_mut(&id) else { return };
        let place = server.place;
        if server.last || server.cancels > 0 {
            return self.gone(now, id, place);
        }
        match self.pools.rests(now, id) {
            Freed::Rests => {}
            Freed::Step(step) => self.step(now, place, Some(step)),
            Freed::Close => self.gone(now, id, place),
        }
    }

    /// A connection is over: its execution ends by how much of it has left.
    pub(super) fn end(&mut self, now: Micros, id: ServerId, ending: Ending) {
        let Some(server) = self.links.remove(&id) else { return };
        let waited = self.forget(id);
        let place = server.place;
        if let Some(engine) = self.engines.get_mut(&place) {
            if !server.engine.is_up() {
                if !std::mem::replace(&mut engine.failing, true) {
                    log::warn!("engine {}: can't be reached for sessions: {ending:?}", engine.id);
                }
            } else if server.serves.is_some() {
                log::warn!("engine {}: connection lost with a unit: {ending:?}", engine.id);
            }
        }
        for sent in waited {
            self.ended(
                sent,
                if server.up && ending == Ending::Unreadable { Ending::Refused } else { ending },
            );
        }
        if let Some(sent) = server.serves {
            let x = self.executions.get(&sent);
            let whole = server.link.has_left(server.leaving);
            let ending = match x.map(|x| x.stage) {
                Some(Stage::Waits) => Ending::Withdrawn,
                // Without its Sync nothing that it does is kept, but for a commit of its own.
                Some(Stage::Leaving) if !whole && !x.is_some_and(|x| x.unit.once) => Ending::HalfWritten,
                _ => ending,
            };
            self.ended(sent, ending);
        }
        self.told.extend(server.holds.map(|session| Told::Lost { session }));
        let step = self.pools.next(place);
        self.step(now, place, step);
    }
}
