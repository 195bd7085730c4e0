//! Applies membership updates to the view: later updates supersede earlier ones, suspicions confirm
//! one another, and wrong updates on the local front are refuted.

use std::collections::BTreeSet;

use crate::message::{Health, MemberUpdate};
use crate::{Micros, PeerId};

use super::{Member, Members, MAX_CONFIRMATIONS, MAX_LOCAL_HEALTH_SCORE, MAX_MEMBERS};

/// One in this many new members displaces a member of a full view, so that views remain random
/// samples.
const DISPLACEMENT_RATIO: usize = 8;
/// Milliseconds, about thirty years: an incarnation that increases by more is forged.
const MAX_INCARNATION_STEP_MS: u64 = 1 << 40;
/// 2^64 divided by the golden ratio, for Fibonacci hashing of ids.
const HASH_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

impl Members {
    /// Applies an update sent by `reporter`, a peer or the local front. Updates that do not
    /// supersede the known state are ignored, except for suspicions, which confirm one another.
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
        // A member that restarts after being declared dead announces a higher incarnation itself.
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

    /// Adds a front to the view if it is alive and the view has room or another member is
    /// displaced.
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

    /// Counts another front's suspicion of a member that is already suspected here.
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

    /// Refutes an update on the local front that differs from its own state, under a higher
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

    /// Removes a member of a full view in favour of the new one, for one in `DISPLACEMENT_RATIO`
    /// new members. False if no member was removed. Decided by a hash of the ids, so that the views
    /// of fronts differ.
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
