//! How a shard is created: it starts once each front that it is placed on has durably agreed to
//! start it with the same replicas. A front whose shard has started never agrees to others, and the
//! disk of a later incarnation replaces the one before and never the other way round: so no two
//! fronts start a shard with different members.

use std::collections::BTreeMap;

use crate::members::{ReplicaId, ReplicaIncarnation};
use crate::FrontId;

/// What another front has said about starting the shard.
struct Offer {
    from: ReplicaIncarnation,
    /// With whom it has agreed to start.
    agreed: Vec<ReplicaId>,
}

/// A shard that this front is placed on and that has yet to start.
#[derive(Default)]
pub(crate) struct Bootstrap {
    offers: BTreeMap<FrontId, Offer>,
    /// With whom this front has agreed to start.
    agreed: Vec<ReplicaIncarnation>,
    /// Another front says that the shard has started already.
    started: bool,
}

/// What a front has to do next for a shard that has yet to start.
pub(crate) enum Step {
    /// Nothing, until more is heard.
    Wait,
    /// Agree to start with these: durably, before others are told.
    Agree(Vec<ReplicaIncarnation>),
    /// Start with these members.
    Start(Vec<ReplicaId>),
}

fn ids(replicas: &[ReplicaIncarnation]) -> Vec<ReplicaId> {
    replicas.iter().map(|replica| replica.id).collect()
}

impl Bootstrap {
    /// Goes on from what this front has agreed to in an earlier incarnation.
    pub fn new(agreed: Vec<ReplicaIncarnation>) -> Bootstrap {
        Bootstrap {
            agreed,
            ..Bootstrap::default()
        }
    }

    pub fn agreed(&self) -> &[ReplicaIncarnation] {
        &self.agreed
    }

    /// Another front says with whom it has agreed to start; passed over if it is of an earlier
    /// incarnation than is known.
    pub fn record_offer(&mut self, from: ReplicaIncarnation, agreed: &[ReplicaIncarnation]) {
        let front = from.id.front;
        let own = self.agreed.iter().find(|before| before.id.front == front);
        let before = self.offers.get(&front).map(|offer| &offer.from).or(own);
        if before.is_none_or(|before| before.incarnation <= from.incarnation) {
            self.offers.insert(
                front,
                Offer {
                    from,
                    agreed: ids(agreed),
                },
            );
        }
    }

    /// A member holds the shard already: a front that has yet to start it is taken in as a new
    /// member instead.
    pub fn set_started(&mut self) {
        self.started = true;
    }

    /// Of all fronts that may hold shards, those that have said nothing of this one yet. A front
    /// that joins the list later may be placed only with others like it: so each has to say that it
    /// knows of no start.
    pub fn unheard(&self, own: FrontId, members: &[FrontId]) -> Vec<FrontId> {
        let others = members
            .iter()
            .filter(|front| **front != own && !self.offers.contains_key(front));
        others.copied().collect()
    }

    /// What to do now for a shard that is placed on the fronts `placed`, of all `members` that may
    /// hold shards.
    pub fn next_step(
        &mut self,
        own: ReplicaIncarnation,
        placed: &[FrontId],
        members: &[FrontId],
    ) -> Step {
        if self.started || !self.unheard(own.id.front, members).is_empty() {
            return Step::Wait;
        }
        let replica = |front: &FrontId| {
            if *front == own.id.front {
                return Some(own);
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
        let mut others = placed.iter().filter(|front| **front != own.id.front);
        let all = others.all(|front| {
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
