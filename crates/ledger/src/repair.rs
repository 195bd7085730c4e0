//! Copies that are missing: a member that lost its disk, or that nobody has heard for long, is replaced by a change of
//! the shard's members, once the one that takes its place has caught up.

use crate::state::ReplicaId;
use crate::{FrontId, Micros};

/// Microseconds that taking in a new member may take beside the time its copy takes by the budget.
pub(crate) const PATIENCE: Micros = 10_000_000;
pub(crate) const HEARD: Micros = 3_000_000; // microseconds since a front was heard for it to be taken in

/// What is known of another front.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Peer {
    pub at: Micros,
    pub incarnation: u64,
    /// 0: it keeps nothing.
    pub disk: u64,
    pub wall_ms: u64,
}

/// A member that is to be replaced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Repair {
    pub out: ReplicaId,
    pub into: ReplicaId,
    pub config: u32,
    /// Entries that the copy holds, once it is there.
    pub caught: Option<u64>,
    /// None is missing: it is for balance.
    pub moves: bool,
    pub ends: Micros,
}

impl Repair {
    pub fn new(now: Micros, out: ReplicaId, into: ReplicaId, config: u32, bytes: usize, rate: u32) -> Repair {
        let ends = now + PATIENCE + Repair::takes(bytes, rate);
        Repair { out, into, config, caught: None, moves: false, ends }
    }

    /// Microseconds within which so much is copied at the budget's rate, lost packets and all.
    pub fn takes(bytes: usize, rate: u32) -> Micros {
        bytes as Micros * 2_000_000 / Micros::from(rate.max(1))
    }

    /// Whether it can't go on.
    pub fn is_over(&self, now: Micros, config: u32, into: Option<&Peer>) -> bool {
        let here = into.is_some_and(|peer| peer.disk == self.into.disk);
        self.ends <= now || self.config != config || !here
    }

    pub fn next(&self, members: &[ReplicaId]) -> Vec<ReplicaId> {
        let mut next: Vec<ReplicaId> = members.iter().copied().filter(|member| *member != self.out).collect();
        next.push(self.into);
        next.sort_unstable();
        next
    }
}

/// A member that has to be replaced, and by whom where that is known already.
pub(crate) fn missing(
    now: Micros,
    since: Micros,
    waits: impl Fn(FrontId, Micros) -> Micros,
    members: &[ReplicaId],
    own: FrontId,
    peer: impl Fn(FrontId) -> Option<Peer>,
) -> Option<(ReplicaId, Option<ReplicaId>)> {
    let mut silent = None;
    for member in members.iter().filter(|member| member.front != own) {
        let heard = peer(member.front);
        match heard {
            // Back with another disk: it remembers nothing, and is taken in as a new member. Without any: another is.
            Some(peer) if peer.disk != member.disk => {
                let back = ReplicaId { front: member.front, disk: peer.disk };
                return Some((*member, Some(back).filter(|back| back.disk != 0 && now - peer.at < HEARD)));
            }
            heard => {
                let last = heard.map_or(since, |peer| peer.at.max(since));
                if waits(member.front, last) <= now {
                    silent = silent.or(Some((*member, None)));
                }
            }
        }
    }
    silent
}

/// Whoever is wanted most of those that are here and keep no copy yet.
pub(crate) fn spare(
    now: Micros,
    ranked: &[FrontId],
    members: &[ReplicaId],
    peer: impl Fn(FrontId) -> Option<Peer>,
) -> Option<ReplicaId> {
    let mut free = ranked.iter().filter(|front| members.iter().all(|member| member.front != **front));
    free.find_map(|front| {
        let peer = peer(*front).filter(|peer| peer.disk != 0 && now - peer.at < HEARD)?;
        Some(ReplicaId { front: *front, disk: peer.disk })
    })
}
