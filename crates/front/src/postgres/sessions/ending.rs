//! How sessions end: by themselves, for having stood still, to make room, with the front.

use hallmux_dispatcher::Micros;
use hallmux_postgres::answer::Final;
use hallmux_postgres::session::Transaction;

use super::{Peer, Sessions, Stage, Told};
use crate::postgres::servers::SessionId;

const AT_REST: Micros = 1_000_000; // microseconds after which a resting session lets go of its buffers
const GRACE: Micros = 2_000_000; // microseconds that a session without a unit out has left once the front ends
const LOOK: Micros = 200_000; // microseconds between looks at sessions that stand still

impl Sessions {
    /// A session has no more to ask: what it holds is let go; its connection ends once all has left.
    pub(super) fn leave(&mut self, id: SessionId) {
        let Some(inside) = self.inside(id) else { return };
        let ticket = inside.running.as_ref().map(|r| r.ticket);
        let ran = inside.running.as_ref().is_some_and(|r| r.ran);
        if let Some(ticket) = ticket {
            self.let_go(ticket);
            self.told.push(Told::Left(ticket));
        }
        self.lost(id, ran);
    }

    /// A connection is over.
    pub fn end(&mut self, id: SessionId) {
        self.leave(id);
        if let Some(peer) = self.peers.remove(&id) {
            self.held -= peer.link.input.len();
        }
        self.dirty.remove(&id);
        self.behind.remove(&id);
        self.stalled.remove(&id);
        self.halted.remove(&id);
    }

    /// Ends a session with a last word.
    fn dismiss(&mut self, id: SessionId, why: &Final) {
        if let Some(peer) = self.peers.get_mut(&id) {
            why.write(peer.link.output(), true);
            peer.ends = true;
            self.dirty.insert(id);
            self.leave(id);
        }
    }

    /// Ends what has stood still too long. `shut` is since when the front ends.
    pub fn expire(&mut self, now: Micros, shut: Option<Micros>) {
        if now < self.look {
            return;
        }
        self.look = now + LOOK;
        let mut over: Vec<(SessionId, Option<Final>)> = Vec::new();
        for (id, peer) in &mut self.peers {
            match &peer.stage {
                Stage::Entering(_) if peer.heard + self.start_up <= now => over.push((*id, None)),
                Stage::Entering(_) => {}
                Stage::In(inside) => {
                    let idle = inside.running.is_none() && !peer.ends;
                    let open = inside.session.transaction.is_held();
                    let stands = now - peer.heard;
                    if idle && open && stands >= self.transaction_idle {
                        over.push((*id, Some(Final::IdleTransaction)));
                    } else if idle && shut.is_some_and(|since| since + GRACE <= now) {
                        // Also one that has said half a message, or owes the Sync of a unit that failed.
                        over.push((*id, Some(Final::ShutDown)));
                    } else if peer.ends && stands >= self.start_up {
                        over.push((*id, None));
                    } else if idle && stands >= AT_REST {
                        peer.link.shrink();
                        peer.marks.shrink_to_fit();
                    }
                }
            }
        }
        for (id, why) in over {
            match why {
                Some(why) => self.dismiss(id, &why),
                None => self.end(id),
            }
        }
    }

    /// Makes room for a newcomer: of those that never came in the one that has waited longest, else of those
    /// that rest outside a transaction.
    pub fn make_room(&mut self, now: Micros) -> bool {
        let rank = |(id, p): (&SessionId, &Peer)| match &p.stage {
            Stage::Entering(_) => Some((false, p.heard, *id)),
            Stage::In(inside) => {
                let rests = inside.running.is_none()
                    && inside.session.transaction == Transaction::None
                    && p.link.input.is_empty()
                    && p.heard + AT_REST <= now;
                rests.then_some((true, p.heard, *id))
            }
        };
        let mut ranked: Vec<_> = self.peers.iter().filter_map(rank).collect();
        ranked.sort_unstable();
        let found = ranked.into_iter().map(|(.., id)| id).find(|id| self.brings_nothing(now, *id));
        let Some(id) = found else { return false };
        self.dismiss(id, &Final::ShutDown);
        if let Some(peer) = self.peers.get_mut(&id) {
            // Its last word goes as far as the network takes it at once.
            let _ = peer.link.flush();
        }
        self.end(id);
        true
    }

    /// Closes the sessions that have nothing out and no transaction open.
    pub fn close_idle(&mut self, now: Micros) {
        let idle = |(id, p): (&SessionId, &Peer)| match &p.stage {
            Stage::Entering(_) => Some(*id),
            Stage::In(inside) => {
                let rests = inside.running.is_none() && !inside.session.transaction.is_held() && !p.ends;
                (rests && !inside.session.is_within() && p.link.input.is_empty()).then_some(*id)
            }
        };
        let idle: Vec<SessionId> = self.peers.iter().filter_map(idle).collect();
        for id in idle {
            if self.brings_nothing(now, id) {
                self.dismiss(id, &Final::ShutDown);
            }
        }
    }

    /// Whether a session that is to be closed as idle brings nothing just now. Guards against a unit that came since
    /// it was last read: it is taken then, and its session stays.
    fn brings_nothing(&mut self, now: Micros, id: SessionId) -> bool {
        let held = |sessions: &Sessions| sessions.peers.get(&id).map_or(0, |p| p.link.input.len());
        let before = held(self);
        if self.read(now, id) {
            // The loop does not tell of the rest again.
            self.stalled.insert(id);
        }
        held(self) <= before
    }
}
