//! Units that were taken, from then to their one final answer.

use std::rc::Rc;

use hallmux_dispatcher::{Micros, Ticket};
use hallmux_postgres::client_error::ClientError;
use hallmux_postgres::engine::UnitOutcome;
use hallmux_postgres::session::UnitPart;
use hallmux_postgres::wire;

use super::{Running, Sessions, Stage, Told};
use crate::postgres::servers::{ServerId, SessionId};

impl Sessions {
    /// A unit is taken under a ticket.
    pub fn opened(&mut self, id: SessionId, ticket: Ticket, part: Rc<UnitPart>, key: Option<String>) {
        let Some(inside) = self.inside(id) else { return };
        let bytes = part.raw.len();
        inside.running = Some(Running {
            ticket,
            commits: part.commits,
            parts: vec![part],
            ran: false,
            time_up: false,
            cancelled: false,
            begun: false,
            cut: false,
            sent: None,
            key,
        });
        self.held += bytes;
        self.tickets.insert(ticket, id);
        // An open unit goes on.
        self.ready.push(id);
    }

    /// A unit that was not taken gets its answer.
    pub fn unfit(&mut self, id: SessionId, part: Rc<UnitPart>, why: &ClientError) {
        let Some(peer) = self.peers.get_mut(&id) else { return };
        let Stage::In(inside) = &mut peer.stage else { return };
        inside.session.fails(&[part], why, peer.link.output());
        inside.skipping = inside.session.is_in_unit();
        self.lost(id, false);
        self.dirty.insert(id);
        self.ready.push(id);
    }

    /// Whatever transaction the session had is over without a commit: its connection and keys are let go.
    pub(super) fn lost(&mut self, id: SessionId, rests: bool) {
        let Some(inside) = self.inside(id) else { return };
        let (pin, keys) = (inside.pin.take().map(|(_, link)| link), std::mem::take(&mut inside.holds));
        if pin.is_some() || !keys.is_empty() {
            // What is rolled back by closing its connection may go on there for a moment.
            let rests = rests || pin.is_some();
            self.told.push(Told::Freed { pin, keys, rests });
        }
    }

    /// The engine that held a session's transaction has it no more.
    pub fn transaction_lost(&mut self, id: SessionId) {
        let Some(inside) = self.inside(id) else { return };
        // A unit that is out still has its own end to come.
        inside.session.lose();
        inside.pin = None;
        let keys = std::mem::take(&mut inside.holds);
        self.told.push(Told::Freed { pin: None, keys, rests: true });
    }

    pub(super) fn let_go(&mut self, ticket: Ticket) -> Option<(SessionId, Running)> {
        let id = self.tickets.remove(&ticket)?;
        let running = self.inside(id)?.running.take()?;
        self.held -= running.parts.first().map_or(0, |p| p.raw.len());
        Some((id, running))
    }

    /// Part of an answer goes on. True if the client is behind with it.
    pub fn pass(&mut self, ticket: Ticket, bytes: &[u8], whole: bool) -> bool {
        let Some(&id) = self.tickets.get(&ticket) else { return false };
        let Some(peer) = self.peers.get_mut(&id) else { return false };
        peer.link.output().extend_from_slice(bytes);
        if let Stage::In(inside) = &mut peer.stage {
            if let Some(running) = &mut inside.running {
                (running.begun, running.cut) = (true, !whole);
            }
        }
        self.dirty.insert(id);
        let behind = peer.link.unsent() > self.buffer;
        if behind {
            self.halted.insert(id);
        }
        behind
    }

    /// A unit has its final answer, an engine's.
    pub fn answer(
        &mut self,
        now: Micros,
        ticket: Ticket,
        bytes: &[u8],
        done: &UnitOutcome,
        pin: Option<(usize, ServerId)>,
    ) {
        let Some((id, running)) = self.let_go(ticket) else { return };
        let Some(peer) = self.peers.get_mut(&id) else { return };
        peer.link.output().extend_from_slice(bytes);
        peer.heard = now;
        let Stage::In(inside) = &mut peer.stage else { return };
        inside.session.done(&running.parts, done, &mut self.catalogue, &self.bounds);
        inside.pin = pin;
        if done.status == b'I' && !inside.holds.is_empty() {
            let keys = std::mem::take(&mut inside.holds);
            self.told.push(Told::Freed { pin: None, keys, rests: false });
        }
        self.dirty.insert(id);
        self.ready.push(id);
    }

    /// A unit has its final answer, the front's own, or the engine's on why it does not run.
    pub fn fail(&mut self, now: Micros, ticket: Ticket, why: &ClientError, said: Option<&[u8]>) {
        let Some((id, running)) = self.let_go(ticket) else { return };
        let Some(peer) = self.peers.get_mut(&id) else { return };
        peer.heard = now;
        let Stage::In(inside) = &mut peer.stage else { return };
        let out = peer.link.output();
        if running.cut {
            // Within a message nothing can be said: the end of the connection tells that it is not whole.
            peer.ends = true;
        } else {
            let mut own = Vec::new();
            inside.session.fails(&running.parts, why, &mut own);
            match said.and_then(|said| Some((said, wire::header(&own).ok()??.len))) {
                Some((said, len)) => {
                    out.extend_from_slice(said);
                    out.extend_from_slice(&own[len..]);
                }
                None => out.extend_from_slice(&own),
            }
            inside.skipping = inside.session.is_in_unit();
        }
        let cut = running.cut;
        self.lost(id, running.ran);
        if cut {
            self.leave(id);
        }
        self.dirty.insert(id);
        self.ready.push(id);
    }
}
