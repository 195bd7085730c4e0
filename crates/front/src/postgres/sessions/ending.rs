//! How sessions end: by themselves, for having stood still, to make room, with the front.

use hallmux_dispatcher::Micros;
use hallmux_postgres::client_error::ClientError;
use hallmux_postgres::session::Transaction;

use super::{Peer, Sessions, Stage, Told};
use crate::postgres::servers::SessionId;

const AT_REST: Micros = 1_000_000; // microseconds after which a resting session lets go of its buffers
const GRACE: Micros = 2_000_000; // microseconds that an idle transaction has left once the front ends
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
    fn dismiss(&mut self, id: SessionId, why: &ClientError) {
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
        let mut over: Vec<(SessionId, Option<ClientError>)> = Vec::new();
        for (id, peer) in &mut self.peers {
            match &peer.stage {
                Stage::Entering(_) if peer.heard + self.start_up <= now => over.push((*id, None)),
                Stage::Entering(_) => {}
                Stage::In(inside) => {
                    let idle = inside.running.is_none() && !peer.ends;
                    let open = inside.session.transaction.is_held();
                    let stands = now - peer.heard;
                    if idle && open && stands >= self.transaction_idle {
                        over.push((*id, Some(ClientError::IdleTransactionTimeout)));
                    } else if idle && open && shut.is_some_and(|since| since + GRACE <= now) {
                        over.push((*id, Some(ClientError::ShuttingDown)));
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
        let Some((_, _, id)) = self.peers.iter().filter_map(rank).min() else { return false };
        self.dismiss(id, &ClientError::ShuttingDown);
        if let Some(peer) = self.peers.get_mut(&id) {
            // Its last word goes as far as the network takes it at once.
            let _ = peer.link.flush();
        }
        self.end(id);
        true
    }

    /// Closes the sessions that have nothing out and no transaction open.
    pub fn close_idle(&mut self) {
        let idle = |(id, p): (&SessionId, &Peer)| match &p.stage {
            Stage::Entering(_) => Some(*id),
            Stage::In(inside) => {
                let rests = inside.running.is_none() && !inside.session.transaction.is_held() && !p.ends;
                (rests && !inside.session.is_in_unit() && p.link.input.is_empty()).then_some(*id)
            }
        };
        let idle: Vec<SessionId> = self.peers.iter().filter_map(idle).collect();
        idle.into_iter().for_each(|id| self.dismiss(id, &ClientError::ShuttingDown));
    }
}
