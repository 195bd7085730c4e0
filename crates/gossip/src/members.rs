//! Membership after SWIM (Das, Gupta, Motivala) with Lifeguard's refinements (Dadgar, Phillips, Currey):
//! members are probed one after another, directly and then indirectly; a suspicion expires the sooner the
//! more peers share it; and a front that suspects itself of being slow stretches its own timeouts first. The
//! view is bounded: of a larger fleet it holds a sample.

mod apply;
mod probing;
mod update_queue;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use crate::message::{Health, MemberUpdate, Probe};
use crate::{Micros, PeerId};

use probing::{IndirectProbe, Probing};
use update_queue::UpdateQueue;

/// Microseconds until a suspicion that enough others share expires: four probe periods, for a refutation to
/// come through.
const MIN_SUSPICION: Micros = 2_000_000;
/// Times that, while no other front suspects the member.
const MAX_SUSPICION_FACTOR: f64 = 6.0;
/// Other fronts whose suspicion brings the timeout down to the minimum.
const MAX_CONFIRMATIONS: usize = 3;
/// Highest local health score: timeouts are stretched by one more than it.
const MAX_LOCAL_HEALTH_SCORE: u32 = 8;
/// Microseconds that the dead are held, so that stale updates don't revive them.
const RECLAIM_AFTER: Micros = 30_000_000;
/// Members of the view.
const MAX_MEMBERS: usize = 128;

/// A member as this front knows it.
struct Member {
    address: SocketAddr,
    incarnation: u64,
    health: Health,
    /// When it got that health.
    since: Micros,
    /// Other fronts that suspect it too.
    confirmers: BTreeSet<PeerId>,
}

impl Member {
    /// Alive, or not yet proved dead.
    fn is_up(&self) -> bool {
        matches!(self.health, Health::Alive | Health::Suspect)
    }

    fn update(&self, member: PeerId, health: Health) -> MemberUpdate {
        MemberUpdate {
            member,
            address: self.address,
            incarnation: self.incarnation,
            health,
        }
    }
}

/// A probe to be sent, or an answer to one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Outgoing {
    /// Its receiver.
    pub to: SocketAddr,
    /// What it asks or answers.
    pub probe: Probe,
}

impl Outgoing {
    /// A message without a probe.
    pub(crate) fn without_probe(to: SocketAddr) -> Outgoing {
        Outgoing {
            to,
            probe: Probe::None,
        }
    }
}

/// A member, and where it listens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemberAddress {
    /// The front.
    pub id: PeerId,
    /// Where it listens.
    pub address: SocketAddr,
}

/// How many fronts a fleet has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FleetSize {
    /// Fronts that have not left, whether they are up or dead.
    pub known: usize,
    /// Those of them that are alive or only suspected.
    pub up: usize,
}

/// One front's view of the fleet, and its failure detector.
pub struct Members {
    local_id: PeerId,
    address: SocketAddr,
    incarnation: u64,
    has_left: bool,
    seeds: Vec<SocketAddr>,
    members: BTreeMap<PeerId, Member>,
    /// Members in the order in which they are probed next; the last comes first.
    probe_order: Vec<PeerId>,
    /// Lifeguard's local health score: 0 is healthy; timeouts grow with it.
    local_health_score: u32,
    /// The probe under way.
    probing: Option<Probing>,
    /// When the probe under way is concluded and the next one begins.
    period_ends: Micros,
    next_number: u32,
    /// Indirect probes under way for others, by the number of the ping.
    indirect_probes: BTreeMap<u32, IndirectProbe>,
    updates: UpdateQueue,
    /// The member repeated last where no update was left to pass on.
    last_repeated: PeerId,
}

impl Members {
    /// `incarnation` has to grow with each start of this front: Unix milliseconds do, where the clock is
    /// right.
    pub fn new(
        local_id: PeerId,
        address: SocketAddr,
        incarnation: u64,
        seeds: Vec<SocketAddr>,
    ) -> Members {
        Members {
            local_id,
            address,
            incarnation,
            has_left: false,
            seeds,
            members: BTreeMap::new(),
            probe_order: Vec::new(),
            local_health_score: 0,
            probing: None,
            period_ends: 0,
            next_number: 0,
            indirect_probes: BTreeMap::new(),
            updates: UpdateQueue::default(),
            last_repeated: 0,
        }
    }

    /// The update on this front itself; it goes with every datagram.
    pub fn own_update(&self) -> MemberUpdate {
        let health = if self.has_left {
            Health::Left
        } else {
            Health::Alive
        };
        MemberUpdate {
            member: self.local_id,
            address: self.address,
            incarnation: self.incarnation,
            health,
        }
    }

    /// Members that are alive or only suspected.
    pub fn up(&self) -> impl Iterator<Item = MemberAddress> + '_ {
        self.members
            .iter()
            .filter(|(_, member)| member.is_up())
            .map(|(id, member)| MemberAddress {
                id: *id,
                address: member.address,
            })
    }

    /// The health of a member; None if it is not in the view.
    pub fn health(&self, id: PeerId) -> Option<Health> {
        self.members.get(&id).map(|member| member.health)
    }

    /// The size of the view, without this front.
    pub fn size(&self) -> FleetSize {
        let known = self
            .members
            .values()
            .filter(|member| member.health != Health::Left)
            .count();
        FleetSize {
            known,
            up: self.up().count(),
        }
    }

    /// Whether the view is as large as it grows: there may be more members than it holds.
    pub fn is_full(&self) -> bool {
        self.members.len() >= MAX_MEMBERS
    }

    /// Members in the view, of any health.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Whether this front knows of no other.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// From now on this front announces that it leaves, and probes nobody.
    pub fn leave(&mut self) {
        self.has_left = true;
    }

    fn suspicion_expired(&self, now: Micros, member: &Member) -> bool {
        member.health == Health::Suspect
            && now - member.since >= self.suspicion_timeout(member.confirmers.len())
    }

    /// How long a member is suspected before it counts as dead: the shorter, the more others suspect it.
    fn suspicion_timeout(&self, confirmations: usize) -> Micros {
        let size = ((self.members.len() + 1) as f64).log10().max(1.0);
        let minimum = MIN_SUSPICION as f64 * size;
        let share = ((confirmations + 1) as f64).ln() / ((MAX_CONFIRMATIONS + 1) as f64).ln();
        (minimum * (MAX_SUSPICION_FACTOR - (MAX_SUSPICION_FACTOR - 1.0) * share.min(1.0))) as Micros
    }

    /// Declares expired suspects dead, and forgets those that have been dead or gone for long.
    fn expire(&mut self, now: Micros) {
        let expired: Vec<MemberUpdate> = self
            .members
            .iter()
            .filter(|(_, member)| self.suspicion_expired(now, member))
            .map(|(id, member)| member.update(*id, Health::Dead))
            .collect();
        for update in expired {
            self.apply(now, self.local_id, update);
        }
        self.members.retain(|_, member| {
            let is_gone = matches!(member.health, Health::Dead | Health::Left);
            !is_gone || now - member.since < RECLAIM_AFTER
        });
    }

    /// Updates for a datagram, at most `most` beside those on the receiver: those passed on least come first,
    /// and before all those on the receiver, so that it can refute them.
    pub fn pick_to_send(&mut self, to: SocketAddr, max_updates: usize) -> Vec<MemberUpdate> {
        let mut selected: Vec<MemberUpdate> = self
            .members
            .iter()
            .filter(|(_, member)| member.address == to && member.health != Health::Alive)
            .map(|(id, member)| member.update(*id, member.health))
            .collect();
        self.updates
            .pick(self.members.len(), max_updates, &mut selected);
        // The remaining places repeat members one after another (anti-entropy): it makes good what updates
        // missed.
        for _ in selected.len()..max_updates.min(self.members.len()) {
            let next = self
                .members
                .range(self.last_repeated.wrapping_add(1)..)
                .next();
            let Some((id, member)) = next.or_else(|| self.members.iter().next()) else {
                break;
            };
            self.last_repeated = *id;
            if !selected.iter().any(|update| update.member == *id) {
                selected.push(member.update(*id, member.health));
            }
        }
        selected
    }
}
