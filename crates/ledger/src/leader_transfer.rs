//! Leader transfer: a front that shuts down asks another member of each shard that it leads to take
//! over. That member starts a ballot at once, without waiting for an election timeout, and requests
//! that were queued here are repeated there. A leader also yields a shard to the shard's preferred
//! leader, which keeps the leaders spread.

use std::collections::BTreeSet;

use crate::formats::{FIRST_EXPLICIT_FORMAT, TRANSFER_FORMAT};
use crate::ledger::{Ledger, Shutdown};
use crate::long_message::Pace;
use crate::members::ReplicaId;
use crate::messages::LedgerMessage;
use crate::peer::Peer;
use crate::replica::Replica;
use crate::shard_view::ShardView;
use crate::{ClockReading, FrontId, Micros};

/// Microseconds until another candidate is asked: enough for some round trips and a sync.
const RETRY_INTERVAL: Micros = 150_000;
/// Maximum microseconds since the last packet of a candidate: three heartbeats.
const MAX_SILENCE: Micros = 1_000_000;
/// Microseconds for which a front has run, and a leader has led, before a shard is yielded.
const SETTLING_TIME: u64 = 2_000_000;
/// Minimum microseconds between two shards that a front yields.
const YIELD_INTERVAL: Micros = 500_000;

impl Peer {
    /// Whether the peer has run for the settling time, by its Unix clock and this front's.
    fn is_settled(&self, at: ClockReading) -> bool {
        at.wall_ms.saturating_sub(self.incarnation) >= SETTLING_TIME / 1_000
    }
}

impl Ledger {
    /// Starts to shut down: from now on this front hands over every shard that another front can
    /// lead.
    pub fn begin_shutdown(&mut self, at: ClockReading) {
        if self.shutdown.is_none() {
            self.shutdown = Some(Shutdown {
                retry_at: at.steady,
                attempts: 0,
            });
            self.transfer_leadership(at);
            self.process_changes(at);
        }
    }

    /// Whether this front still leads a shard that has other members.
    pub fn leads_transferable_shard(&self) -> bool {
        let shared_shards = self.shards.iter().filter(|view| view.members().len() > 1);
        shared_shards
            .filter_map(|view| view.replica.as_ref())
            .any(Replica::is_leader)
    }

    /// Asks candidates to take over the shards that this front leads, if that is due, and announces
    /// the shutdown to all members.
    pub(crate) fn transfer_leadership(&mut self, at: ClockReading) {
        let now = at.steady;
        let Some(shutdown) = self
            .shutdown
            .as_mut()
            .filter(|shutdown| shutdown.retry_at <= now)
        else {
            return;
        };
        shutdown.retry_at = now + RETRY_INTERVAL;
        let attempt = shutdown.attempts;
        shutdown.attempts += 1;
        for view in &self.shards {
            let Some(replica) = view.replica.as_ref().filter(|replica| replica.is_leader()) else {
                continue;
            };
            let candidates = self.transfer_candidates(at, view, replica);
            let Some(candidate) = candidates.get(attempt % candidates.len().max(1)) else {
                continue;
            };
            let message = LedgerMessage::TransferLeadership {
                shard: replica.shard,
                config: replica.config,
            };
            self.transport.send(at, *candidate, &message, Pace::Fast);
        }
        self.announce_shutdown(at);
    }

    /// The members that can take over a shard, the best first. Successive attempts ask different
    /// candidates, as one that does not take over may be shutting down itself.
    fn transfer_candidates(
        &self,
        at: ClockReading,
        view: &ShardView,
        replica: &Replica,
    ) -> Vec<FrontId> {
        let is_recently_seen =
            |peer: &Peer| peer.disk != 0 && at.steady - peer.last_seen < MAX_SILENCE;
        let is_candidate = |front: &FrontId| {
            *front != self.local.front
                && self.peers.get(front).is_some_and(is_recently_seen)
                && !self.away.is_away(*front)
                && !self.is_shutting_down(*front)
                && self.transport.common_format(*front) >= TRANSFER_FORMAT
        };
        let members = replica.members.iter().map(|member| member.front);
        let mut candidates: Vec<FrontId> = members.filter(is_candidate).collect();
        let rank = |front: &FrontId| view.target_fronts.iter().position(|target| target == front);
        // A front that has just started may not know the shard's leader yet.
        let unsettled = |front: &FrontId| {
            self.peers
                .get(front)
                .is_none_or(|peer| !peer.is_settled(at))
        };
        candidates.sort_by_key(|front| {
            (
                unsettled(front),
                view.preferred_leader != Some(*front),
                rank(front),
            )
        });
        candidates
    }

    /// Announces to the other members of all shards held here that this front is shutting down.
    fn announce_shutdown(&mut self, at: ClockReading) {
        let replicas = self.shards.iter().filter_map(|view| view.replica.as_ref());
        let members =
            replicas.flat_map(|replica| replica.members.iter().map(|member| member.front));
        let other_fronts: BTreeSet<FrontId> =
            members.filter(|front| *front != self.local.front).collect();
        for to in other_fronts {
            if self.transport.common_format(to) >= FIRST_EXPLICIT_FORMAT {
                self.transport
                    .send(at, to, &LedgerMessage::ShuttingDown, Pace::Fast);
            }
        }
    }

    /// Whether another front has announced in its current incarnation that it is shutting down.
    fn is_shutting_down(&self, front: FrontId) -> bool {
        let peer = self.peers.get(&front).map(|peer| peer.incarnation);
        self.shutting_down
            .get(&front)
            .is_some_and(|incarnation| Some(*incarnation) == peer)
    }

    /// Transfers a shard to its preferred leader once that front has run for the settling time, so
    /// that a restarted front leads its share again.
    pub(crate) fn yield_leadership(&mut self, at: ClockReading, shard: u16) {
        let (now, local) = (at.steady, self.local.front);
        let Some(view) = self.shards.get(usize::from(shard)) else {
            return;
        };
        let Some((replica, since)) = view.replica.as_ref().zip(view.leader_since) else {
            return;
        };
        let busy = view.repair.is_some() || self.shutdown.is_some() || now < self.next_yield;
        let Some(to) = view
            .preferred_among(&replica.members)
            .filter(|to| *to != local && !busy)
        else {
            return;
        };
        let available = |peer: &Peer| {
            let member = ReplicaId {
                front: to,
                disk: peer.disk,
            };
            peer.is_settled(at)
                && now - peer.last_seen < MAX_SILENCE
                && replica.members.contains(&member)
        };
        let available = self.peers.get(&to).is_some_and(available)
            && !self.away.is_away(to)
            && !self.is_shutting_down(to);
        if available
            && now - since >= SETTLING_TIME as Micros
            && self.transport.common_format(to) >= TRANSFER_FORMAT
        {
            self.next_yield = now + YIELD_INTERVAL;
            let message = LedgerMessage::TransferLeadership {
                shard,
                config: replica.config,
            };
            self.transport.send(at, to, &message, Pace::Fast);
        }
    }

    /// Whether a shard held here would have no quorum without this front because other members are
    /// away; a shutdown should wait for them. Of two fronts that shut down at once, the one with
    /// the lower id does not wait for the other.
    pub fn is_needed_for_quorum(&self, at: ClockReading) -> bool {
        let is_available = |member: &ReplicaId| {
            let peer = self
                .peers
                .get(&member.front)
                .filter(|peer| peer.disk == member.disk);
            let is_recently_seen =
                peer.is_some_and(|peer| at.steady - peer.last_seen < MAX_SILENCE);
            is_recently_seen
                && (!self.is_shutting_down(member.front) || member.front > self.local.front)
        };
        let needed = |replica: &Replica| {
            let (majority, other_members) =
                (replica.members.len() / 2 + 1, replica.members.len() - 1);
            let available = replica
                .members
                .iter()
                .filter(|member| member.front != self.local.front && is_available(member));
            majority <= other_members && available.count() < majority
        };
        self.shards
            .iter()
            .filter_map(|view| view.replica.as_ref())
            .any(needed)
    }

    /// Handles the leader's request to take over a shard.
    pub(crate) fn accept_leadership(&mut self, from: FrontId, shard: u16, config: u32) {
        if self.shutdown.is_some() {
            return;
        }
        let view = self.shards.get_mut(usize::from(shard));
        let replica = view.and_then(|view| view.replica.as_mut());
        if let Some(replica) = replica.filter(|r| r.config == config && r.leader() == Some(from)) {
            replica.campaign();
            self.counters.accepted_leaderships += 1;
            self.changed_shards.insert(shard);
        }
    }

    /// When `transfer_leadership` is next due.
    pub(crate) fn transfer_due(&self) -> Micros {
        self.shutdown
            .as_ref()
            .map_or(Micros::MAX, |shutdown| shutdown.retry_at)
    }
}
