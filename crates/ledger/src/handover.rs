//! A front that leaves hands over what it leads before it goes: it names an heir, which takes over the log at once with
//! a ballot of its own, as after an election but without the wait for one. What waits here is asked again there.

use std::collections::BTreeSet;

use crate::formats::FIRST_EXPLICIT_FORMAT;
use crate::ledger::Ledger;
use crate::messages::LedgerMessage;
use crate::repair::Peer;
use crate::replica::Replica;
use crate::state::ReplicaId;
use crate::transport::Pace;
use crate::{FrontId, Micros, Moment};

const AGAIN: Micros = 150_000; // microseconds until another is named: some round trips and a sync
const FRESH: Micros = 1_000_000; // microseconds since a member was heard for it to be an heir: three heartbeats

const STAYS: u64 = 2_000_000; // microseconds that a front is there, and a shard has one leader, before that one yields
const APART: Micros = 500_000; // microseconds between shards that a front yields

impl Peer {
    /// It has been there for a while, by its Unix clock and this one's.
    fn stays(&self, at: Moment) -> bool {
        at.wall_ms.saturating_sub(self.incarnation) >= STAYS / 1_000
    }
}

/// A front that is to end.
pub(crate) struct Leaving {
    look_at: Micros,
    turn: usize,
}

impl Ledger {
    /// This front is to end: it leads nothing from now on that another can own.
    pub fn goes(&mut self, at: Moment) {
        if self.leaving.is_none() {
            self.leaving = Some(Leaving { look_at: at.steady, turn: 0 });
            self.hand_on(at);
            self.settle(at);
        }
    }

    /// Whether it still leads what others could own.
    pub fn hands_over(&self) -> bool {
        let more = |view: &&crate::shard_view::ShardView| view.members().len() > 1;
        let owned = self.shards.iter().filter_map(|view| view.replica.as_ref().zip(Some(view)));
        owned.filter(|(_, view)| more(view)).any(|(replica, _)| replica.is_leader())
    }

    pub(crate) fn hand_on(&mut self, at: Moment) {
        let now = at.steady;
        let Some(leaving) = self.leaving.as_mut().filter(|leaving| leaving.look_at <= now) else { return };
        leaving.look_at = now + AGAIN;
        let turn = leaving.turn;
        leaving.turn += 1;
        for view in &self.shards {
            let Some(replica) = view.replica.as_ref().filter(|replica| replica.is_leader()) else {
                continue;
            };
            let fresh = |peer: &Peer| peer.disk != 0 && now - peer.at < FRESH;
            let here = |front: &FrontId| self.peers.get(front).is_some_and(fresh);
            let others = replica.members.iter().map(|member| member.front);
            let mut heirs: Vec<FrontId> = others
                .filter(|front| {
                    *front != self.own.front
                        && here(front)
                        && !self.away.is_away(*front)
                        && !self.is_leaving(*front)
                })
                .filter(|front| self.transport.common_format(*front) >= 2)
                .collect();
            // Who is wanted most first; the next where that one does not take it, as it may leave itself.
            let wanted = |front: &FrontId| view.wanted.iter().position(|wanted| wanted == front);
            // One that has just come may not know yet who leads the shard.
            let young = |front: &FrontId| self.peers.get(front).is_none_or(|peer| !peer.stays(at));
            heirs.sort_by_key(|front| (young(front), view.preferred_leader != Some(*front), wanted(front)));
            let Some(heir) = heirs.get(turn % heirs.len().max(1)) else { continue };
            let message = LedgerMessage::TransferLeadership { shard: replica.shard, config: replica.config };
            self.transport.send(at, *heir, &message, Pace::Fast);
        }
        let members = self.shards.iter().filter_map(|view| view.replica.as_ref());
        let members = members.flat_map(|replica| replica.members.iter().map(|member| member.front));
        let members: BTreeSet<FrontId> = members.filter(|front| *front != self.own.front).collect();
        for to in members
            .into_iter()
            .filter(|to| self.transport.common_format(*to) >= FIRST_EXPLICIT_FORMAT)
            .collect::<Vec<_>>()
        {
            self.transport.send(at, to, &LedgerMessage::ShuttingDown, Pace::Fast);
        }
    }

    /// Another has said in this life of its that it is to end.
    fn is_leaving(&self, front: FrontId) -> bool {
        let peer = self.peers.get(&front).map(|peer| peer.incarnation);
        self.leavers.get(&front).is_some_and(|life| Some(*life) == peer)
    }

    /// Leaves a shard to the member that is to lead it, once that one has been there for a while: a front that ended and
    /// came back gets its part again.
    pub(crate) fn yields(&mut self, at: Moment, shard: u16) {
        let (now, own) = (at.steady, self.own.front);
        let Some(view) = self.shards.get(usize::from(shard)) else { return };
        let Some((replica, since)) = view.replica.as_ref().zip(view.leader_since) else { return };
        let busy = view.repair.is_some() || self.leaving.is_some() || now < self.yields_at;
        let Some(to) = view.preferred_among(&replica.members).filter(|to| *to != own && !busy) else {
            return;
        };
        let there = |peer: &Peer| {
            let member = ReplicaId { front: to, disk: peer.disk };
            peer.stays(at) && now - peer.at < FRESH && replica.members.contains(&member)
        };
        let there = self.peers.get(&to).is_some_and(there) && !self.away.is_away(to) && !self.is_leaving(to);
        if there && now - since >= STAYS as Micros && self.transport.common_format(to) >= 2 {
            self.yields_at = now + APART;
            let message = LedgerMessage::TransferLeadership { shard, config: replica.config };
            self.transport.send(at, to, &message, Pace::Fast);
        }
    }

    /// Whether a shard that this front keeps would have no majority without it, as others of its members are away: an
    /// end had better wait for them. Of two that leave at once the one with the lower id does not wait for the other.
    pub fn is_needed(&self, at: Moment) -> bool {
        let here = |member: &ReplicaId| {
            let peer = self.peers.get(&member.front).filter(|peer| peer.disk == member.disk);
            let fresh = peer.is_some_and(|peer| at.steady - peer.at < FRESH);
            fresh && (!self.is_leaving(member.front) || member.front > self.own.front)
        };
        let needed = |replica: &Replica| {
            let (majority, others) = (replica.members.len() / 2 + 1, replica.members.len() - 1);
            let there =
                replica.members.iter().filter(|member| member.front != self.own.front && here(member));
            majority <= others && there.count() < majority
        };
        self.shards.iter().filter_map(|view| view.replica.as_ref()).any(needed)
    }

    /// The leader of a shard leaves it to this front.
    pub(crate) fn inherits(&mut self, from: FrontId, shard: u16, config: u32) {
        if self.leaving.is_some() {
            return;
        }
        let view = self.shards.get_mut(usize::from(shard));
        let replica = view.and_then(|view| view.replica.as_mut());
        if let Some(replica) = replica.filter(|r| r.config == config && r.leader() == Some(from)) {
            replica.campaign();
            self.tallies.inherited += 1;
            self.touched.insert(shard);
        }
    }

    /// When it next looks whether all is handed over.
    pub(crate) fn hands_on_at(&self) -> Micros {
        self.leaving.as_ref().map_or(Micros::MAX, |leaving| leaving.look_at)
    }
}
