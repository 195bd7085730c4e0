//! Moves replicas as fronts join and are lost, to the fronts that all members, by the same list, prefer for each shard. A move
//! is a change of a shard's members like any other: the shard answers on. Shards move in turns, so that only a stated
//! share of them is under way at once, and at the rate for rebuilding replicas. A zone that is away as a whole is waited
//! for longer, as it may come back at once.

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
    /// When it is given up.
    pub ends: Micros,
}

/// The next change towards the fronts that are wanted.
fn next_change(wanted: &[FrontId], members: &[ReplicaId], own: FrontId) -> Option<MemberChange> {
    let into = wanted
        .iter()
        .find(|front| members.iter().all(|member| member.front != **front))?;
    // The leader goes last: it is the one that sees to the others.
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

/// How long a shard may still move, by the Unix clock; none where it is the turn of others.
fn move_window(setup: &Setup, shard: u16, wall_ms: u64) -> Option<Micros> {
    let groups = 100_u64.div_ceil(u64::from(setup.max_moving_percent.clamp(1, 100)));
    let length = (window_length(setup) / 1_000).max(1) as u64;
    let (number, into) = (wall_ms / length, wall_ms % length);
    // Clocks are apart by so much: the turns of two groups do not meet.
    let on = number % groups == u64::from(shard) % groups && into >= setup.clock_skew_ms;
    on.then(|| (length - into).saturating_sub(setup.clock_skew_ms) as Micros * 1_000)
}

/// Microseconds of a turn: for the largest shard to be copied.
fn window_length(setup: &Setup) -> Micros {
    let apart = 2_000 * setup.clock_skew_ms as Micros;
    apart + REPLACEMENT_TIMEOUT + Repair::duration(setup.max_shard_bytes, setup.repair_bytes_per_s)
}

impl Ledger {
    /// The operator's list has changed. A front that has yet to start its shards goes on with the earlier list.
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

    /// Who is up and who is not, as far as the caller knows; of others nothing is said.
    pub fn set_health(&mut self, at: ClockReading, up: &[FrontId], away: &[FrontId]) {
        up.iter()
            .for_each(|front| self.away.returned(at.steady, &self.setup.members, *front));
        away.iter()
            .for_each(|front| _ = self.away.since.entry(*front).or_insert(at.steady));
    }

    /// Places all shards anew where that has to be: on all that are there or waited for.
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

    /// A member is silent for longer than it is waited for: it counts as gone, whatever gossip says.
    pub(crate) fn declare_gone(&mut self, now: Micros, front: FrontId) {
        let ago = self.setup.zone_repair_after.max(self.setup.repair_after);
        self.away.since.insert(front, now.saturating_sub(ago));
        self.update_placement(now);
    }

    /// The move of a replica of a shard that this front leads, and of which none is missing, once it is the shard's turn.
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
