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
use crate::repair::{Repair, MAX_SILENCE, REPLACEMENT_TIMEOUT};
use crate::shard_view::ShardView;
use crate::{ClockReading, Error, FrontId, Member, Micros, Setup};

/// A change of a shard's members.
struct MemberChange {
    leaving: ReplicaId,
    joining: FrontId,
}

/// A move of a replica for balance.
pub(crate) struct Move {
    pub leaving: ReplicaId,
    pub joining: ReplicaId,
    /// When the move is aborted.
    pub deadline: Micros,
}

/// The next change towards the target fronts.
fn next_change(
    target_fronts: &[FrontId],
    members: &[ReplicaId],
    local: FrontId,
) -> Option<MemberChange> {
    let joining = target_fronts
        .iter()
        .find(|front| members.iter().all(|member| member.front != **front))?;
    // The leader moves last, as it drives the other changes.
    let mut leaving: Vec<&ReplicaId> = members
        .iter()
        .filter(|member| !target_fronts.contains(&member.front))
        .collect();
    leaving.sort_by_key(|member| (member.front == local, member.front));
    Some(MemberChange {
        leaving: **leaving.first()?,
        joining: *joining,
    })
}

/// The microseconds for which a shard may still move, by the Unix clock; None outside of its
/// group's window.
fn move_window(setup: &Setup, shard: u16, wall_ms: u64) -> Option<Micros> {
    let groups = 100_u64.div_ceil(u64::from(setup.max_moving_percent.clamp(1, 100)));
    let length = (window_length(setup) / 1_000).max(1) as u64;
    let (window, offset) = (wall_ms / length, wall_ms % length);
    // Windows keep a margin of the clock skew, so that those of two groups do not overlap.
    let is_open = window % groups == u64::from(shard) % groups && offset >= setup.clock_skew_ms;
    is_open.then(|| (length - offset).saturating_sub(setup.clock_skew_ms) as Micros * 1_000)
}

/// The length of a window in microseconds: enough to copy the largest shard.
fn window_length(setup: &Setup) -> Micros {
    let skew_margin = 2_000 * setup.clock_skew_ms as Micros;
    skew_margin
        + REPLACEMENT_TIMEOUT
        + Repair::duration(setup.max_shard_bytes, setup.repair_bytes_per_s)
}

impl Ledger {
    /// Applies a changed member list of the operator. Bootstraps in progress continue with the new
    /// list, but none are started for shards newly placed on this front. Fails without any change
    /// if the list can't be used.
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
        self.away.placement_outdated = true;
        self.next_maintenance = at.steady;
        Ok(())
    }

    /// Applies the health of fronts, as far as the caller knows it; fronts in neither list keep
    /// their state.
    pub fn set_health(&mut self, at: ClockReading, up: &[FrontId], away: &[FrontId]) {
        up.iter().for_each(|front| {
            self.away
                .mark_returned(at.steady, &self.setup.members, *front)
        });
        away.iter()
            .for_each(|front| _ = self.away.since.entry(*front).or_insert(at.steady));
    }

    /// Recomputes the placement of all shards if necessary, on all fronts that are present or still
    /// waited for.
    pub(crate) fn update_placement(&mut self, now: Micros) {
        let moves_enabled = self.setup.max_moving_percent > 0;
        let is_gone = |front: &FrontId, since: &Micros| {
            moves_enabled && self.away.wait_until(&self.setup, *front, *since) <= now
        };
        let since = self.away.since.iter();
        let declared_gone: BTreeSet<FrontId> = since
            .filter(|(front, at)| is_gone(front, at))
            .map(|(f, _)| *f)
            .collect();
        if declared_gone == self.away.declared_gone
            && !std::mem::take(&mut self.away.placement_outdated)
        {
            return;
        }
        let present = self
            .setup
            .members
            .iter()
            .filter(|member| !declared_gone.contains(&member.front));
        let present: Vec<Member> = present.cloned().collect();
        let first = |view: &ShardView| {
            view.ranked
                .iter()
                .take(self.setup.replication_factor)
                .copied()
                .collect()
        };
        let placed = match moves_enabled {
            true => placed(&present, self.setup.replication_factor, self.setup.shards),
            false => self.shards.iter().map(first).collect(),
        };
        let leaders = preferred_leaders(&placed, present.len());
        for (view, (target_fronts, leader)) in
            self.shards.iter_mut().zip(placed.into_iter().zip(leaders))
        {
            view.preferred_leader = leader;
            view.target_fronts = if moves_enabled {
                target_fronts
            } else {
                Vec::new()
            };
        }
        self.away.declared_gone = declared_gone;
    }

    pub(crate) fn place_initially(&mut self, now: Micros) {
        self.away.placement_outdated = true;
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
        if self.setup.max_moving_percent == 0
            || view.target_fronts.len() < self.setup.replication_factor
        {
            return None;
        }
        let MemberChange { leaving, joining } =
            next_change(&view.target_fronts, &replica.members, self.local.front)?;
        let remaining = move_window(&self.setup, shard, self.wall_ms(at, shard))?;
        let required = REPLACEMENT_TIMEOUT
            + Repair::duration(replica.state.bytes(), self.setup.repair_bytes_per_s);
        let busy = self.shards.iter().any(|view| view.repair.is_some());
        if remaining < required || busy || self.away.is_away(joining) {
            return None;
        }
        let peer = self
            .peers
            .get(&joining)
            .filter(|peer| peer.disk != 0 && now - peer.last_seen < MAX_SILENCE);
        let Some(peer) = peer else {
            self.probe(at, joining, shard);
            return None;
        };
        Some(Move {
            leaving,
            joining: ReplicaId {
                front: joining,
                disk: peer.disk,
            },
            deadline: now + required,
        })
    }
}

#[cfg(test)]
#[path = "rebalance_tests.rs"]
mod tests;
