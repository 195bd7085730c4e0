//! Creation of a shard: it starts once each front that it is placed on has durably agreed to start
//! it with the same replicas. A front whose shard has started never agrees to other replicas, and
//! the disk of a later incarnation replaces that of an earlier one but never the reverse. So no two
//! fronts start a shard with different members.

use std::collections::BTreeMap;

use crate::members::{ReplicaId, ReplicaIncarnation};
use crate::FrontId;

/// The latest offer of another front to start the shard.
struct Offer {
    from: ReplicaIncarnation,
    /// The replicas with which that front has agreed to start; empty if it has not agreed yet.
    agreed: Vec<ReplicaId>,
}

/// A shard that is placed on this front and has not started yet.
#[derive(Default)]
pub(crate) struct Bootstrap {
    offers: BTreeMap<FrontId, Offer>,
    /// The replicas with which this front has agreed to start; empty if it has not agreed yet.
    agreed: Vec<ReplicaIncarnation>,
    /// Another front reported that the shard has already started.
    started: bool,
}

/// The next step of a front for a shard that has not started yet.
pub(crate) enum Step {
    /// Wait for further messages.
    Wait,
    /// Agree to start with these replicas, and make that durable before announcing it.
    Agree(Vec<ReplicaIncarnation>),
    /// Start the shard with these members.
    Start(Vec<ReplicaId>),
}

fn ids(replicas: &[ReplicaIncarnation]) -> Vec<ReplicaId> {
    replicas.iter().map(|replica| replica.id).collect()
}

impl Bootstrap {
    /// Continues from what this front agreed to in an earlier incarnation; empty if nothing.
    pub fn new(agreed: Vec<ReplicaIncarnation>) -> Bootstrap {
        Bootstrap {
            agreed,
            ..Bootstrap::default()
        }
    }

    pub fn agreed(&self) -> &[ReplicaIncarnation] {
        &self.agreed
    }

    /// Records the replicas with which another front has agreed to start. An offer from an earlier
    /// incarnation than the latest known one is ignored.
    pub fn record_offer(&mut self, from: ReplicaIncarnation, agreed: &[ReplicaIncarnation]) {
        let front = from.id.front;
        let agreed_with = self.agreed.iter().find(|replica| replica.id.front == front);
        let latest = self
            .offers
            .get(&front)
            .map(|offer| &offer.from)
            .or(agreed_with);
        if latest.is_none_or(|latest| latest.incarnation <= from.incarnation) {
            self.offers.insert(
                front,
                Offer {
                    from,
                    agreed: ids(agreed),
                },
            );
        }
    }

    /// Records that the shard has already started elsewhere: this front does not start it, but can
    /// be added as a new member.
    pub fn set_started(&mut self) {
        self.started = true;
    }

    /// The fronts among `members` that have not made an offer for this shard yet. Fronts that join
    /// the list later could be placed only with each other, so every front that may hold shards has
    /// to state that it knows of no started shard.
    pub fn without_offer(&self, local: FrontId, members: &[FrontId]) -> Vec<FrontId> {
        let other_fronts = members
            .iter()
            .filter(|front| **front != local && !self.offers.contains_key(front));
        other_fronts.copied().collect()
    }

    /// The next step for a shard that is placed on the fronts `placed`, out of all `members` that
    /// may hold shards.
    pub fn next_step(
        &mut self,
        local: ReplicaIncarnation,
        placed: &[FrontId],
        members: &[FrontId],
    ) -> Step {
        if self.started || !self.without_offer(local.id.front, members).is_empty() {
            return Step::Wait;
        }
        let replica = |front: &FrontId| {
            if *front == local.id.front {
                return Some(local);
            }
            self.offers.get(front).map(|offer| offer.from)
        };
        let Some(mut replicas) = placed.iter().map(replica).collect::<Option<Vec<_>>>() else {
            return Step::Wait;
        };
        replicas.sort_unstable_by_key(|replica| replica.id);
        let wanted = ids(&replicas);
        if ids(&self.agreed) != wanted {
            self.agreed.clone_from(&replicas);
            return Step::Agree(replicas);
        }
        let mut other_fronts = placed.iter().filter(|front| **front != local.id.front);
        let all = other_fronts.all(|front| {
            self.offers
                .get(front)
                .is_some_and(|offer| offer.agreed == wanted)
        });
        if all {
            Step::Start(wanted)
        } else {
            Step::Wait
        }
    }
}

#[cfg(test)]
#[path = "bootstrap_tests.rs"]
mod tests;
