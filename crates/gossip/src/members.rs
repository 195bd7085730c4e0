//! Membership after SWIM (Das, Gupta, Motivala) with Lifeguard's refinements (Dadgar, Phillips, Currey):
//! members are probed one after another, directly and then indirectly; a suspicion expires the sooner the
//! more peers share it; and a front that suspects itself of being slow stretches its own timeouts first. The
//! view is bounded: of a larger fleet it holds a sample.

mod probing;
mod update_queue;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use crate::message::{Health, MemberUpdate, Probe};
use crate::{Micros, PeerId};

use probing::{Probing, Relay};
use update_queue::UpdateQueue;

const MIN_SUSPICION: Micros = 2_000_000; // microseconds: four probe periods, for a refutation to come through
const MAX_SUSPICION_FACTOR: f64 = 6.0; // times that, while no other front suspects the member
const CONFIRMATIONS: usize = 3; // other fronts whose suspicion brings the timeout down to the minimum
/// Highest local health score: timeouts are stretched ninefold; Lifeguard's value.
const MAX_LOCAL_HEALTH: u32 = 8;
/// Microseconds that the dead are held, so that stale updates don't revive them.
const RECLAIM_AFTER: Micros = 30_000_000;
const MAX_MEMBERS: usize = 128; // of the view; some twenty would do for updates, more make probes rarer
/// Of new members, one in so many displaces one of a full view, so that views stay mixed.
const DISPLACE_ONE_IN: usize = 8;
const MAX_INCARNATION_LEAP: u64 = 1 << 40; // milliseconds, some thirty years: a larger step is a forgery
const HASH_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15; // 2^64 over the golden ratio: Fibonacci hashing of ids

struct Member {
    address: SocketAddr,
    incarnation: u64,
    health: Health,
    since: Micros,
    /// Other fronts that suspect it too.
    confirmed: BTreeSet<PeerId>,
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
    own: PeerId,
    address: SocketAddr,
    incarnation: u64,
    left: bool,
    seeds: Vec<SocketAddr>,
    members: BTreeMap<PeerId, Member>,
    /// Members in the order in which they are probed next; the last comes first.
    probe_order: Vec<PeerId>,
    /// Lifeguard's local health score: 0 is healthy; timeouts grow with it.
    local_health: u32,
    probing: Option<Probing>,
    period_ends: Micros,
    next_number: u32,
    relays: BTreeMap<u32, Relay>,
    updates: UpdateQueue,
    /// The member repeated last where no update was left to pass on.
    last_repeated: PeerId,
}

impl Members {
    /// `incarnation` has to grow with each start of this front: Unix milliseconds do, where the clock is
    /// right.
    pub fn new(
        own: PeerId,
        address: SocketAddr,
        incarnation: u64,
        seeds: Vec<SocketAddr>,
    ) -> Members {
        Members {
            own,
            address,
            incarnation,
            left: false,
            seeds,
            members: BTreeMap::new(),
            probe_order: Vec::new(),
            local_health: 0,
            probing: None,
            period_ends: 0,
            next_number: 0,
            relays: BTreeMap::new(),
            updates: UpdateQueue::default(),
            last_repeated: 0,
        }
    }

    /// The update on this front itself; it goes with every datagram.
    pub fn own_update(&self) -> MemberUpdate {
        let health = if self.left {
            Health::Left
        } else {
            Health::Alive
        };
        MemberUpdate {
            member: self.own,
            address: self.address,
            incarnation: self.incarnation,
            health,
        }
    }

    /// Members that are alive or only suspected, with their addresses.
    pub fn up(&self) -> impl Iterator<Item = (PeerId, SocketAddr)> + '_ {
        self.members
            .iter()
            .filter(|(_, m)| m.is_up())
            .map(|(id, m)| (*id, m.address))
    }

    /// The health of a member; None if it is not in the view.
    pub fn health(&self, id: PeerId) -> Option<Health> {
        self.members.get(&id).map(|m| m.health)
    }

    /// The size of the view, without this front.
    pub fn size(&self) -> FleetSize {
        let known = self
            .members
            .values()
            .filter(|m| m.health != Health::Left)
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
        self.left = true;
    }

    /// How long a member is suspected before it counts as dead: the shorter, the more others suspect it.
    fn suspicion_timeout(&self, confirmed: usize) -> Micros {
        let size = ((self.members.len() + 1) as f64).log10().max(1.0);
        let least = MIN_SUSPICION as f64 * size;
        let share = ((confirmed + 1) as f64).ln() / ((CONFIRMATIONS + 1) as f64).ln();
        (least * (MAX_SUSPICION_FACTOR - (MAX_SUSPICION_FACTOR - 1.0) * share.min(1.0))) as Micros
    }

    /// Declares expired suspects dead, and forgets those that have been dead or gone for long.
    fn expire(&mut self, now: Micros) {
        let over = |m: &Member| {
            m.health == Health::Suspect
                && now - m.since >= self.suspicion_timeout(m.confirmed.len())
        };
        let over: Vec<MemberUpdate> = (self.members.iter())
            .filter(|(_, m)| over(m))
            .map(|(id, m)| m.update(*id, Health::Dead))
            .collect();
        over.into_iter()
            .for_each(|update| self.apply(now, self.own, update));
        let reclaimed = |m: &Member| {
            matches!(m.health, Health::Dead | Health::Left) && now - m.since >= RECLAIM_AFTER
        };
        self.members.retain(|_, m| !reclaimed(m));
    }

    /// Applies an update that `by` has sent: a peer, or this front itself. Updates that supersede nothing are
    /// ignored, but for suspicions, which confirm one another.
    pub fn apply(&mut self, now: Micros, by: PeerId, update: MemberUpdate) {
        if update.member == self.own {
            return self.refute(update);
        }
        let MemberUpdate {
            member: id,
            address,
            incarnation,
            health,
        } = update;
        let confirmed = BTreeSet::new();
        match self.members.get_mut(&id) {
            None if health == Health::Alive => {
                if self.members.len() >= MAX_MEMBERS && !self.displaces(id) {
                    return;
                }
                self.members.insert(
                    id,
                    Member {
                        address,
                        incarnation,
                        health,
                        since: now,
                        confirmed,
                    },
                );
                let place = (id % (self.probe_order.len() as u64 + 1)) as usize;
                self.probe_order.insert(place, id);
            }
            None => return,
            Some(m) => {
                if incarnation.saturating_sub(m.incarnation) >= MAX_INCARNATION_LEAP {
                    return;
                }
                // A restart after a death known here is announced by the restarted front itself.
                let supersedes = incarnation > m.incarnation
                    || incarnation == m.incarnation && health > m.health;
                if !supersedes {
                    if incarnation == m.incarnation
                        && health == Health::Suspect
                        && m.health == health
                        && by != self.own
                    {
                        m.confirmed.insert(by);
                        if m.confirmed.len() <= CONFIRMATIONS {
                            self.updates.spread(update);
                        }
                    }
                    return;
                }
                if health == Health::Alive {
                    m.address = address;
                }
                (m.incarnation, m.health, m.since, m.confirmed) =
                    (incarnation, health, now, confirmed);
            }
        }
        self.updates.spread(update);
    }

    /// Answers an update on this front itself: whatever differs from its own is refuted under a higher
    /// incarnation.
    fn refute(&mut self, update: MemberUpdate) {
        let MemberUpdate {
            address,
            incarnation,
            health,
            ..
        } = update;
        let wrong = health != Health::Alive || address != self.address;
        let leap = incarnation.saturating_sub(self.incarnation);
        if !self.left
            && leap < MAX_INCARNATION_LEAP
            && (incarnation > self.incarnation || incarnation == self.incarnation && wrong)
        {
            self.incarnation = incarnation + 1;
            let own = self.own_update();
            self.updates.spread(own);
            if health == Health::Suspect {
                self.local_health = (self.local_health + 1).min(MAX_LOCAL_HEALTH);
            }
        }
    }

    /// Whether a newcomer takes the place of one of a full view; derived from the ids, so that views differ.
    fn displaces(&mut self, id: PeerId) -> bool {
        let mixed = (id ^ self.own).wrapping_mul(HASH_MULTIPLIER) >> 32;
        if !(mixed as usize).is_multiple_of(DISPLACE_ONE_IN) {
            return false;
        }
        let displaced = self
            .members
            .iter()
            .max_by_key(|(other, _)| (**other ^ id).wrapping_mul(HASH_MULTIPLIER));
        let Some(displaced) = displaced.map(|(id, _)| *id) else {
            return false;
        };
        self.members.remove(&displaced);
        self.probe_order.retain(|other| *other != displaced);
        self.updates.forget(displaced);
        true
    }

    /// Updates for a datagram, at most `most` beside those on the receiver: those passed on least come first,
    /// and before all what its receiver is said to be, so that it can refute it.
    pub fn pass_on(&mut self, to: SocketAddr, most: usize) -> Vec<MemberUpdate> {
        let mut picked: Vec<MemberUpdate> = (self.members.iter())
            .filter(|(_, m)| m.address == to && m.health != Health::Alive)
            .map(|(id, m)| m.update(*id, m.health))
            .collect();
        self.updates.pick(self.members.len(), most, &mut picked);
        // The remaining places repeat members one after another (anti-entropy): it makes good what updates
        // missed.
        for _ in picked.len()..most.min(self.members.len()) {
            let after = self
                .members
                .range(self.last_repeated.wrapping_add(1)..)
                .next();
            let Some((id, m)) = after.or_else(|| self.members.iter().next()) else {
                break;
            };
            self.last_repeated = *id;
            if !picked.iter().any(|r| r.member == *id) {
                picked.push(m.update(*id, m.health));
            }
        }
        picked
    }
}
