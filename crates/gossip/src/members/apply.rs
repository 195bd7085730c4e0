//! How membership updates change the view: later ones supersede earlier ones, suspicions confirm one another,
//! and wrong updates on this front itself are refuted.

use std::collections::BTreeSet;

use crate::message::{Health, MemberUpdate};
use crate::{Micros, PeerId};

use super::{Member, Members, MAX_CONFIRMATIONS, MAX_LOCAL_HEALTH_SCORE, MAX_MEMBERS};

/// Of new members, one in so many displaces one of a full view, so that views stay mixed.
const DISPLACEMENT_RATIO: usize = 8;
/// Milliseconds, some thirty years: a larger step of an incarnation is a forgery.
const MAX_INCARNATION_STEP_MS: u64 = 1 << 40;
/// 2^64 over the golden ratio: Fibonacci hashing of ids.
const HASH_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

impl Members {
    /// Applies an update that `by` has sent: a peer, or this front itself. Updates that supersede nothing are
    /// ignored, but for suspicions, which confirm one another.
    pub fn apply(&mut self, now: Micros, reporter: PeerId, update: MemberUpdate) {
        if update.member == self.local_id {
            return self.refute(update);
        }
        let Some(member) = self.members.get_mut(&update.member) else {
            return self.add_member(now, update);
        };
        let step = update.incarnation.saturating_sub(member.incarnation);
        if step >= MAX_INCARNATION_STEP_MS {
            return;
        }
        // A restart after a death known here is announced by the restarted front itself.
        let same_incarnation = update.incarnation == member.incarnation;
        let supersedes = update.incarnation > member.incarnation
            || same_incarnation && update.health > member.health;
        if !supersedes {
            if same_incarnation {
                self.confirm_suspicion(reporter, update);
            }
            return;
        }
        if update.health == Health::Alive {
            member.address = update.address;
        }
        member.incarnation = update.incarnation;
        member.health = update.health;
        member.since = now;
        member.confirmers.clear();
        self.updates.enqueue(update);
    }

    /// Takes a front that was not in the view into it, if it is alive and there is a place for it.
    fn add_member(&mut self, now: Micros, update: MemberUpdate) {
        if update.health != Health::Alive {
            return;
        }
        let id = update.member;
        if self.members.len() >= MAX_MEMBERS && !self.displace_member(id) {
            return;
        }
        let member = Member {
            address: update.address,
            incarnation: update.incarnation,
            health: update.health,
            since: now,
            confirmers: BTreeSet::new(),
        };
        self.members.insert(id, member);
        let index = (id % (self.probe_order.len() as u64 + 1)) as usize;
        self.probe_order.insert(index, id);
        self.updates.enqueue(update);
    }

    /// Another front suspects a member that is suspected here too.
    fn confirm_suspicion(&mut self, reporter: PeerId, update: MemberUpdate) {
        let Some(member) = self.members.get_mut(&update.member) else {
            return;
        };
        let suspected = member.health == Health::Suspect && update.health == Health::Suspect;
        if !suspected || reporter == self.local_id {
            return;
        }
        member.confirmers.insert(reporter);
        if member.confirmers.len() <= MAX_CONFIRMATIONS {
            self.updates.enqueue(update);
        }
    }

    /// Answers an update on this front itself: whatever differs from its own is refuted under a higher
    /// incarnation.
    fn refute(&mut self, update: MemberUpdate) {
        let step = update.incarnation.saturating_sub(self.incarnation);
        if self.has_left || step >= MAX_INCARNATION_STEP_MS {
            return;
        }
        let differs = update.health != Health::Alive || update.address != self.address;
        let is_wrong = update.incarnation > self.incarnation
            || update.incarnation == self.incarnation && differs;
        if !is_wrong {
            return;
        }
        self.incarnation = update.incarnation + 1;
        let own_update = self.own_update();
        self.updates.enqueue(own_update);
        if update.health == Health::Suspect {
            self.local_health_score = (self.local_health_score + 1).min(MAX_LOCAL_HEALTH_SCORE);
        }
    }

    /// Whether a newcomer takes the place of one of a full view; derived from the ids, so that views differ.
    fn displace_member(&mut self, id: PeerId) -> bool {
        let hash = (id ^ self.local_id).wrapping_mul(HASH_MULTIPLIER) >> 32;
        if !(hash as usize).is_multiple_of(DISPLACEMENT_RATIO) {
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
        self.updates.remove(displaced);
        true
    }
}
