//! Membership by SWIM (Das, Gupta, Motivala) with Lifeguard's refinements (Dadgar, Phillips,
//! Currey). Members are probed in turn, directly and then indirectly. A suspicion expires sooner
//! the more peers confirm it, and a front that may itself be slow extends its own timeouts. The
//! view is bounded: it holds a sample of a larger fleet.

mod apply;
mod probing;
mod update_queue;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use crate::message::{Health, MemberUpdate, Probe};
use crate::{Micros, PeerId};

use probing::{IndirectProbe, Probing};
use update_queue::UpdateQueue;

/// Microseconds until a suspicion with `MAX_CONFIRMATIONS` expires: four probe periods, so that a
/// refutation can arrive.
const MIN_SUSPICION: Micros = 2_000_000;
/// The suspicion timeout without confirmations, as a multiple of the minimum.
const MAX_SUSPICION_FACTOR: f64 = 6.0;
/// Number of confirming fronts that reduces the suspicion timeout to the minimum.
const MAX_CONFIRMATIONS: usize = 3;
/// Highest local health score; timeouts are multiplied by the score plus one.
const MAX_LOCAL_HEALTH_SCORE: u32 = 8;
/// Microseconds for which dead and departed members are kept, so that stale updates don't revive
/// them.
const RECLAIM_AFTER: Micros = 30_000_000;
/// Maximum number of members in the view.
const MAX_MEMBERS: usize = 128;

/// The local front's view of a member.
struct Member {
    address: SocketAddr,
    incarnation: u64,
    health: Health,
    /// When the member's current health was set.
    since: Micros,
    /// Other fronts that suspect the member too.
    confirmers: BTreeSet<PeerId>,
}

impl Member {
    /// Whether the member is alive or only suspected.
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

/// A probe or an answer to one, and its destination.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Outgoing {
    /// The address of the receiver.
    pub to: SocketAddr,
    /// The probe or answer.
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

/// The id and address of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemberAddress {
    /// The member's id.
    pub id: PeerId,
    /// The address at which the member listens.
    pub address: SocketAddr,
}

/// The number of fronts in a fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FleetSize {
    /// Fronts that have not left, whether up or dead.
    pub known: usize,
    /// Fronts that are alive or only suspected.
    pub up: usize,
}

/// The local front's view of the fleet, and its failure detector.
pub struct Members {
    local_id: PeerId,
    address: SocketAddr,
    incarnation: u64,
    has_left: bool,
    seeds: Vec<SocketAddr>,
    members: BTreeMap<PeerId, Member>,
    /// The members still to be probed in this round; the last is probed next.
    probe_order: Vec<PeerId>,
    /// Lifeguard's local health score: 0 is healthy; timeouts grow with it.
    local_health_score: u32,
    /// The current probe.
    probing: Option<Probing>,
    /// When the current probe is concluded and the next one starts.
    period_ends: Micros,
    next_number: u32,
    /// Indirect probes in progress on behalf of other fronts, by the number of the ping.
    indirect_probes: BTreeMap<u32, IndirectProbe>,
    updates: UpdateQueue,
    /// The last member whose state was repeated for anti-entropy.
    last_repeated: PeerId,
}

impl Members {
    /// Creates an empty view. `incarnation` must increase with each start of this front, as Unix
    /// milliseconds do if the clock is right.
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

    /// The update on this front itself, which every datagram carries.
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

    /// The members that are alive or only suspected.
    pub fn up(&self) -> impl Iterator<Item = MemberAddress> + '_ {
        self.members
            .iter()
            .filter(|(_, member)| member.is_up())
            .map(|(id, member)| MemberAddress {
                id: *id,
                address: member.address,
            })
    }

    /// The health of a member; None if the member is not in the view.
    pub fn health(&self, id: PeerId) -> Option<Health> {
        self.members.get(&id).map(|member| member.health)
    }

    /// The size of the view, not counting this front.
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

    /// Whether the view has its maximum size; the fleet may then have more members than the view.
    pub fn is_full(&self) -> bool {
        self.members.len() >= MAX_MEMBERS
    }

    /// The number of members in the view, of any health.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Whether the view holds no member.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Makes this front announce that it leaves, and stop probing.
    pub fn leave(&mut self) {
        self.has_left = true;
    }

    fn suspicion_expired(&self, now: Micros, member: &Member) -> bool {
        member.health == Health::Suspect
            && now - member.since >= self.suspicion_timeout(member.confirmers.len())
    }

    /// Microseconds of suspicion until a member counts as dead; fewer the more fronts confirm the
    /// suspicion.
    fn suspicion_timeout(&self, confirmations: usize) -> Micros {
        let size = ((self.members.len() + 1) as f64).log10().max(1.0);
        let minimum = MIN_SUSPICION as f64 * size;
        let share = ((confirmations + 1) as f64).ln() / ((MAX_CONFIRMATIONS + 1) as f64).ln();
        (minimum * (MAX_SUSPICION_FACTOR - (MAX_SUSPICION_FACTOR - 1.0) * share.min(1.0))) as Micros
    }

    /// Declares members dead whose suspicion expired, and removes those that have long been dead or
    /// have left.
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

    /// Picks updates for a datagram to `to`: first any update on the receiver that is not alive, so
    /// that the receiver can refute it, then further updates up to `max_updates` in total, those
    /// sent least often first.
    pub fn pick_to_send(&mut self, to: SocketAddr, max_updates: usize) -> Vec<MemberUpdate> {
        let mut selected: Vec<MemberUpdate> = self
            .members
            .iter()
            .filter(|(_, member)| member.address == to && member.health != Health::Alive)
            .map(|(id, member)| member.update(*id, member.health))
            .collect();
        self.updates
            .pick(self.members.len(), max_updates, &mut selected);
        // Any remaining space repeats the state of members in turn (anti-entropy), to repair lost
        // updates.
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
