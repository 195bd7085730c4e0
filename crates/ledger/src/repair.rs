//! Replacing members of a shard: one that lost its disk, or that was not heard for long, is replaced by a membership
//! change, once the new member has caught up.

use crate::members::ReplicaId;
use crate::peer::Peer;
use crate::{FrontId, Micros};

/// Microseconds that a replacement may take beside the time that its snapshot takes at the given rate.
pub(crate) const REPLACEMENT_TIMEOUT: Micros = 10_000_000;
pub(crate) const HEARD_WITHIN: Micros = 3_000_000; // microseconds since a front was heard at most for it to become a member

/// A replacement of a member that is under way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Repair {
    pub out: ReplicaId,
    pub into: ReplicaId,
    pub config: u32,
    /// The index of the snapshot that the new member has taken in.
    pub caught_up: Option<u64>,
    /// No replica is missing: one moves for balance.
    pub moves: bool,
    pub ends: Micros,
}

impl Repair {
    pub fn new(
        now: Micros,
        out: ReplicaId,
        into: ReplicaId,
        config: u32,
        bytes: usize,
        rate: u32,
    ) -> Repair {
        let ends = now + REPLACEMENT_TIMEOUT + Repair::duration(bytes, rate);
        Repair {
            out,
            into,
            config,
            caught_up: None,
            moves: false,
            ends,
        }
    }

    /// Microseconds within which so many bytes are sent at the given rate, lost packets included.
    pub fn duration(bytes: usize, rate: u32) -> Micros {
        bytes as Micros * 2_000_000 / Micros::from(rate.max(1))
    }

    /// Whether it has to be given up: it took too long, or the shard or the new member has changed.
    pub fn is_over(&self, now: Micros, config: u32, into: Option<&Peer>) -> bool {
        let here = into.is_some_and(|peer| peer.disk == self.into.disk);
        self.ends <= now || self.config != config || !here
    }

    /// The members after it.
    pub fn next(&self, members: &[ReplicaId]) -> Vec<ReplicaId> {
        let mut next: Vec<ReplicaId> = members
            .iter()
            .copied()
            .filter(|member| *member != self.out)
            .collect();
        next.push(self.into);
        next.sort_unstable();
        next
    }
}

/// A member that has to be replaced.
pub(crate) struct MissingMember {
    pub out: ReplicaId,
    /// By the same front with another disk, where that is up.
    pub back: Option<ReplicaId>,
}

/// The member that has to be replaced next: one whose front came back with another disk before one that is silent.
/// `since` is when this front began to lead the shard, `waits` until when a front that was last heard then is waited for.
pub(crate) fn missing_member(
    now: Micros,
    since: Micros,
    waits: impl Fn(FrontId, Micros) -> Micros,
    members: &[ReplicaId],
    own: FrontId,
    peer: impl Fn(FrontId) -> Option<Peer>,
) -> Option<MissingMember> {
    let mut silent = None;
    for member in members.iter().filter(|member| member.front != own) {
        let heard = peer(member.front);
        if let Some(peer) = heard.filter(|peer| peer.disk != member.disk) {
            // It has forgotten its promises, and becomes a new member. Without a disk: another does.
            let back = ReplicaId {
                front: member.front,
                disk: peer.disk,
            };
            let is_up = peer.disk != 0 && now - peer.heard_at < HEARD_WITHIN;
            return Some(MissingMember {
                out: *member,
                back: is_up.then_some(back),
            });
        }
        let last = heard.map_or(since, |peer| peer.heard_at.max(since));
        if silent.is_none() && waits(member.front, last) <= now {
            silent = Some(MissingMember {
                out: *member,
                back: None,
            });
        }
    }
    silent
}

/// The most preferred front of those that are up and hold no replica yet.
pub(crate) fn spare_front(
    now: Micros,
    ranked: &[FrontId],
    members: &[ReplicaId],
    peer: impl Fn(FrontId) -> Option<Peer>,
) -> Option<ReplicaId> {
    let mut free = ranked
        .iter()
        .filter(|front| members.iter().all(|member| member.front != **front));
    free.find_map(|front| {
        let peer =
            peer(*front).filter(|peer| peer.disk != 0 && now - peer.heard_at < HEARD_WITHIN)?;
        Some(ReplicaId {
            front: *front,
            disk: peer.disk,
        })
    })
}
