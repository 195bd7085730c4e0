//! How membership updates change the view: later ones supersede earlier ones, suspicions confirm one another,
//! and wrong updates on this front itself are refuted.

use std::collections::BTreeSet;

use crate::message::{Health, MemberUpdate};
use crate::{Micros, PeerId};

use super::{Member, Members, CONFIRMATIONS, MAX_LOCAL_HEALTH, MAX_MEMBERS};

/// Of new members, one in so many displaces one of a full view, so that views stay mixed.
const DISPLACE_ONE_IN: usize = 8;
/// Milliseconds, some thirty years: a larger step of an incarnation is a forgery.
const MAX_INCARNATION_LEAP: u64 = 1 << 40;
/// 2^64 over the golden ratio: Fibonacci hashing of ids.
const HASH_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

impl Members {
    /// Applies an update that `by` has sent: a peer, or this front itself. Updates that supersede nothing are
    /// ignored, but for suspicions, which confirm one another.
    pub fn apply(&mut self, now: Micros, by: PeerId, update: MemberUpdate) {
        if update.member == self.own {
            return self.refute(update);
        }
        let Some(member) = self.members.get_mut(&update.member) else {
            return self.introduce(now, update);
        };
        let leap = update.incarnation.saturating_sub(member.incarnation);
        if leap >= MAX_INCARNATION_LEAP {
            return;
        }
        // A restart after a death known here is announced by the restarted front itself.
        let same_incarnation = update.incarnation == member.incarnation;
        let supersedes = update.incarnation > member.incarnation
            || same_incarnation && update.health > member.health;
        if !supersedes {
            if same_incarnation {
                self.confirm_suspicion(by, update);
            }
            return;
        }
        if update.health == Health::Alive {
            member.address = update.address;
        }
        member.incarnation = update.incarnation;
        member.health = update.health;
        member.since = now;
        member.confirmed.clear();
        self.updates.spread(update);
    }

    /// Takes a front that was not in the view into it, if it is alive and there is a place for it.
    fn introduce(&mut self, now: Micros, update: MemberUpdate) {
        if update.health != Health::Alive {
            return;
        }
        let id = update.member;
        if self.members.len() >= MAX_MEMBERS && !self.displaces(id) {
            return;
        }
        let member = Member {
            address: update.address,
            incarnation: update.incarnation,
            health: update.health,
            since: now,
            confirmed: BTreeSet::new(),
        };
        self.members.insert(id, member);
        let place = (id % (self.probe_order.len() as u64 + 1)) as usize;
        self.probe_order.insert(place, id);
        self.updates.spread(update);
    }

    /// Another front suspects a member that is suspected here too.
    fn confirm_suspicion(&mut self, by: PeerId, update: MemberUpdate) {
        let Some(member) = self.members.get_mut(&update.member) else {
            return;
        };
        let suspected = member.health == Health::Suspect && update.health == Health::Suspect;
        if !suspected || by == self.own {
            return;
        }
        member.confirmed.insert(by);
        if member.confirmed.len() <= CONFIRMATIONS {
            self.updates.spread(update);
        }
    }

    /// Answers an update on this front itself: whatever differs from its own is refuted under a higher
    /// incarnation.
    fn refute(&mut self, update: MemberUpdate) {
        let leap = update.incarnation.saturating_sub(self.incarnation);
        if self.left || leap >= MAX_INCARNATION_LEAP {
            return;
        }
        let differs = update.health != Health::Alive || update.address != self.address;
        let is_wrong = update.incarnation > self.incarnation
            || update.incarnation == self.incarnation && differs;
        if !is_wrong {
            return;
        }
        self.incarnation = update.incarnation + 1;
        let own = self.own_update();
        self.updates.spread(own);
        if update.health == Health::Suspect {
            self.local_health = (self.local_health + 1).min(MAX_LOCAL_HEALTH);
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
            .keys()
            .copied()
            .max_by_key(|other| (other ^ id).wrapping_mul(HASH_MULTIPLIER));
        let Some(displaced) = displaced else {
            return false;
        };
        self.members.remove(&displaced);
        self.probe_order.retain(|other| *other != displaced);
        self.updates.forget(displaced);
        true
    }
}
