//! Moves replicas as fronts join and are lost, to the fronts that all members prefer for each shard
//! according to the same list. A move is an ordinary membership change, so the shard keeps
//! answering. Shards move in groups by time window, so that only the configured share of them moves
//! at once, and at the rate for rebuilding replicas. A zone that is entirely away is waited for
//! longer, as its fronts may all come back at once.

use std::collections::BTreeSet;

use crate::balance::placed;
use crate::leader_placement::preferred_leaders;
use crate::ledger::Ledger;
use crate::members::ReplicaId;
use crate::placement::ranked;
use crate::repair::{Repair, HEARD_WITHIN, REPLACEMENT_TIMEOUT};
use crate::shard_view::ShardView;
use crate::{ClockReading, Error, FrontId, Member, Micros, Setup};

/// A change of a shard's members.
struct MemberChange {
    out: ReplicaId,
    into: FrontId,
}

/// A move of a replica for balance.
pub(crate) struct Move {
    pub out: ReplicaId,
    pub into: ReplicaId,
    /// When the move is aborted.
    pub ends: Micros,
}

/// The next change towards the target fronts.
fn next_change(wanted: &[FrontId], members: &[ReplicaId], own: FrontId) -> Option<MemberChange> {
    let into = wanted
        .iter()
        .find(|front| members.iter().all(|member| member.front != **front))?;
    // The leader moves last, as it drives the other changes.
    let mut out: Vec<&ReplicaId> = members
        .iter()
        .filter(|member| !wanted.contains(&member.front))
        .collect();
    out.sort_by_key(|member| (member.front == own, member.front));
    Some(MemberChange {
        out: **out.first()?,
        into: *into,
    })
}

/// The microseconds for which a shard may still move, by the Unix clock; None outside of its
/// group's window.
fn move_window(setup: &Setup, shard: u16, wall_ms: u64) -> Option<Micros> {
    let groups = 100_u64.div_ceil(u64::from(setup.max_moving_percent.clamp(1, 100)));
    let length = (window_length(setup) / 1_000).max(1) as u64;
    let (number, into) = (wall_ms / length, wall_ms % length);
    // Windows keep a margin of the clock skew, so that those of two groups do not overlap.
    let on = number % groups == u64::from(shard) % groups && into >= setup.clock_skew_ms;
    on.then(|| (length - into).saturating_sub(setup.clock_skew_ms) as Micros * 1_000)
}

/// The length of a window in microseconds: enough to copy the largest shard.
fn window_length(setup: &Setup) -> Micros {
    let apart = 2_000 * setup.clock_skew_ms as Micros;
    apart + REPLACEMENT_TIMEOUT + Repair::duration(setup.max_shard_bytes, setup.repair_bytes_per_s)
}

impl Ledger {
    /// Applies a changed member list of the operator. A front that has not started its shards yet
    /// also uses the new list. Fails without any change if the list can't be used.
    pub fn set_members(&mut self, at: ClockReading, members: Vec<Member>) -> Result<(), Error> {
        let setup = Setup {
            members,
            ..self.setup.clone()
        };
        setup.check()?;
        if setup.members == self.setup.members {
            return Ok(());
        }
        self.setup = setup;
        for (shard, view) in (0..).zip(&mut self.shards) {
            view.ranked = ranked(&self.setup.members, shard);
        }
        self.away.stale = true;
        self.maintain_at = at.steady;
        Ok(())
    }

    /// Applies the health of fronts, as far as the caller knows it; fronts in neither list keep
    /// their state.
    pub fn set_health(&mut self, at: ClockReading, up: &[FrontId], away: &[FrontId]) {
        up.iter()
            .for_each(|front| self.away.returned(at.steady, &self.setup.members, *front));
        away.iter()
            .for_each(|front| _ = self.away.since.entry(*front).or_insert(at.steady));
    }

    /// Recomputes the placement of all shards if necessary, on all fronts that are present or still
    /// waited for.
    pub(crate) fn update_placement(&mut self, now: Micros) {
        let moves = self.setup.max_moving_percent > 0;
        let due = |front: &FrontId, since: &Micros| {
            moves && self.away.wait_until(&self.setup, *front, *since) <= now
        };
        let since = self.away.since.iter();
        let gone: BTreeSet<FrontId> = since
            .filter(|(front, at)| due(front, at))
            .map(|(f, _)| *f)
            .collect();
        if gone == self.away.gone && !std::mem::take(&mut self.away.stale) {
            return;
        }
        let here = self
            .setup
            .members
            .iter()
            .filter(|member| !gone.contains(&member.front));
        let here: Vec<Member> = here.cloned().collect();
        let first = |view: &ShardView| {
            view.ranked
                .iter()
                .take(self.setup.replication_factor)
                .copied()
                .collect()
        };
        let placed = match moves {
            true => placed(&here, self.setup.replication_factor, self.setup.shards),
            false => self.shards.iter().map(first).collect(),
        };
        let leaders = preferred_leaders(&placed, here.len());
        for (view, (wanted, leader)) in self.shards.iter_mut().zip(placed.into_iter().zip(leaders))
        {
            view.preferred_leader = leader;
            view.wanted = if moves { wanted } else { Vec::new() };
        }
        self.away.gone = gone;
    }

    pub(crate) fn place_initially(&mut self, now: Micros) {
        self.away.stale = true;
        self.update_placement(now);
    }

    /// Treats a member that was silent for longer than the wait limit as gone, whatever gossip
    /// reports.
    pub(crate) fn declare_gone(&mut self, now: Micros, front: FrontId) {
        let ago = self.setup.zone_repair_after.max(self.setup.repair_after);
        self.away.since.insert(front, now.saturating_sub(ago));
        self.update_placement(now);
    }

    /// The next move of a replica, for a shard that this front leads and that has no missing
    /// replica, if the shard's window is open.
    pub(crate) fn next_move(&mut self, at: ClockReading, shard: u16) -> Option<Move> {
        let now = at.steady;
        let view = self.shards.get(usize::from(shard))?;
        let replica = view.replica.as_ref()?;
        if self.setup.max_moving_percent == 0 || view.wanted.len() < self.setup.replication_factor {
            return None;
        }
        let MemberChange { out, into } =
            next_change(&view.wanted, &replica.members, self.own.front)?;
        let left = move_window(&self.setup, shard, self.wall_ms(at, shard))?;
        let takes = REPLACEMENT_TIMEOUT
            + Repair::duration(replica.state.bytes(), self.setup.repair_bytes_per_s);
        let busy = self.shards.iter().any(|view| view.repair.is_some());
        if left < takes || busy || self.away.is_away(into) {
            return None;
        }
        let peer = self
            .peers
            .get(&into)
            .filter(|peer| peer.disk != 0 && now - peer.heard_at < HEARD_WITHIN);
        let Some(peer) = peer else {
            self.probe(at, into, shard);
            return None;
        };
        Some(Move {
            out,
            into: ReplicaId {
                front: into,
                disk: peer.disk,
            },
            ends: now + takes,
        })
    }
}

#[cfg(test)]
#[path = "rebalance_tests.rs"]
mod tests;
