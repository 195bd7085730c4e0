//! Replacement of members of a shard: a member that lost its disk, or that was silent for too long,
//! is replaced by a membership change once the new member has caught up.

use crate::members::ReplicaId;
use crate::peer::Peer;
use crate::{FrontId, Micros};

/// Microseconds that a replacement may take in addition to the time for its snapshot at the given
/// rate.
pub(crate) const REPLACEMENT_TIMEOUT: Micros = 10_000_000;
/// Maximum microseconds since the last packet of a front for it to become a member.
pub(crate) const MAX_SILENCE: Micros = 3_000_000;

/// A replacement of a member in progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Repair {
    pub leaving: ReplicaId,
    pub joining: ReplicaId,
    pub config: u32,
    /// The log index of the snapshot that the new member has received.
    pub caught_up_index: Option<u64>,
    /// Whether the replica is moved for balance, with no replica missing.
    pub is_move: bool,
    pub deadline: Micros,
}

impl Repair {
    pub fn new(
        now: Micros,
        leaving: ReplicaId,
        joining: ReplicaId,
        config: u32,
        bytes: usize,
        rate: u32,
    ) -> Repair {
        let deadline = now + REPLACEMENT_TIMEOUT + Repair::duration(bytes, rate);
        Repair {
            leaving,
            joining,
            config,
            caught_up_index: None,
            is_move: false,
            deadline,
        }
    }

    /// Microseconds allowed for sending so many bytes at the given rate: twice the time without any
    /// loss.
    pub fn duration(bytes: usize, rate: u32) -> Micros {
        bytes as Micros * 2_000_000 / Micros::from(rate.max(1))
    }

    /// Whether to abort the replacement: it took too long, or the shard's configuration or the new
    /// member has changed.
    pub fn must_abort(&self, now: Micros, config: u32, joining: Option<&Peer>) -> bool {
        let has_same_disk = joining.is_some_and(|peer| peer.disk == self.joining.disk);
        self.deadline <= now || self.config != config || !has_same_disk
    }

    /// The members after the replacement.
    pub fn next(&self, members: &[ReplicaId]) -> Vec<ReplicaId> {
        let mut next: Vec<ReplicaId> = members
            .iter()
            .copied()
            .filter(|member| *member != self.leaving)
            .collect();
        next.push(self.joining);
        next.sort_unstable();
        next
    }
}

/// A member that has to be replaced.
pub(crate) struct MissingMember {
    pub leaving: ReplicaId,
    /// The same front with its new disk, if it is up: it becomes the new member.
    pub returned: Option<ReplicaId>,
}

/// The member to replace next: one whose front came back with another disk before one that is
/// silent. `since` is when this front became the shard's leader; `wait_until` gives the time until
/// which a front last seen at the given time is waited for.
pub(crate) fn missing_member(
    now: Micros,
    since: Micros,
    wait_until: impl Fn(FrontId, Micros) -> Micros,
    members: &[ReplicaId],
    local: FrontId,
    peer: impl Fn(FrontId) -> Option<Peer>,
) -> Option<MissingMember> {
    let mut silent = None;
    for member in members.iter().filter(|member| member.front != local) {
        let known_peer = peer(member.front);
        if let Some(peer) = known_peer.filter(|peer| peer.disk != member.disk) {
            // The front has lost its Paxos promises, so it joins as a new member. If it has no
            // disk, another front does.
            let returned = ReplicaId {
                front: member.front,
                disk: peer.disk,
            };
            let is_up = peer.disk != 0 && now - peer.last_seen < MAX_SILENCE;
            return Some(MissingMember {
                leaving: *member,
                returned: is_up.then_some(returned),
            });
        }
        let last = known_peer.map_or(since, |peer| peer.last_seen.max(since));
        if silent.is_none() && wait_until(member.front, last) <= now {
            silent = Some(MissingMember {
                leaving: *member,
                returned: None,
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
            peer(*front).filter(|peer| peer.disk != 0 && now - peer.last_seen < MAX_SILENCE)?;
        Some(ReplicaId {
            front: *front,
            disk: peer.disk,
        })
    })
}
