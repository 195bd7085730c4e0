//! Replacement of members of a shard: a member that lost its disk, or that was silent for too long,
//! is replaced by a membership change once the new member has caught up.

use crate::members::ReplicaId;
use crate::peer::Peer;
use crate::{FrontId, Micros};

/// Microseconds that a replacement may take in addition to the time for its snapshot at the given
/// rate.
pub(crate) const REPLACEMENT_TIMEOUT: Micros = 10_000_000;
/// Maximum microseconds since the last packet of a front for it to become a member.
pub(crate) const HEARD_WITHIN: Micros = 3_000_000;

/// A replacement of a member in progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Repair {
    pub out: ReplicaId,
    pub into: ReplicaId,
    pub config: u32,
    /// The log index of the snapshot that the new member has received.
    pub caught_up: Option<u64>,
    /// Whether the replica is moved for balance, with no replica missing.
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

    /// Microseconds allowed for sending so many bytes at the given rate: twice the time without any
    /// loss.
    pub fn duration(bytes: usize, rate: u32) -> Micros {
        bytes as Micros * 2_000_000 / Micros::from(rate.max(1))
    }

    /// Whether to abort the replacement: it took too long, or the shard's configuration or the new
    /// member has changed.
    pub fn is_over(&self, now: Micros, config: u32, into: Option<&Peer>) -> bool {
        let here = into.is_some_and(|peer| peer.disk == self.into.disk);
        self.ends <= now || self.config != config || !here
    }

    /// The members after the replacement.
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
    /// The same front with its new disk, if it is up: it becomes the new member.
    pub back: Option<ReplicaId>,
}

/// The member to replace next: one whose front came back with another disk before one that is
/// silent. `since` is when this front became the shard's leader; `wait_until` gives the time until
/// which a front last seen at the given time is waited for.
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
            // The front has lost its Paxos promises, so it joins as a new member. If it has no
            // disk, another front does.
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

/// The most preferred front that is up and holds no replica yet.
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
