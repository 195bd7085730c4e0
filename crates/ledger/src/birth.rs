//! How a shard begins: once each of the fronts that it is placed on has lastingly agreed to begin with the same disks.
//! One that has begun never agrees to others again, and a disk that comes later than the one it replaces is only ever
//! followed, never gone back from: so no two begin with different ones.

use std::collections::BTreeMap;

use crate::messages::Born;
use crate::state::ReplicaId;
use crate::FrontId;

#[derive(Default)]
pub(crate) struct Birth {
    /// What each other says of itself, and with whom it would begin.
    heard: BTreeMap<FrontId, (Born, Vec<ReplicaId>)>,
    /// With whom this front has agreed to begin.
    agreed: Vec<Born>,
    /// One says that the shard has begun already.
    begun: bool,
}

pub(crate) enum Next {
    Waits,
    /// Agree to begin with these: lasting before it is told.
    Agree(Vec<Born>),
    Begin(Vec<ReplicaId>),
}

fn replica_ids(with: &[Born]) -> Vec<ReplicaId> {
    with.iter().map(|born| born.id).collect()
}

impl Birth {
    pub fn new(agreed: Vec<Born>) -> Birth {
        Birth { agreed, ..Birth::default() }
    }

    pub fn agreed(&self) -> &[Born] {
        &self.agreed
    }

    pub fn heard(&mut self, born: Born, with: &[Born]) {
        let front = born.id.front;
        let agreed = self.agreed.iter().find(|before| before.id.front == front);
        let before = self.heard.get(&front).map(|(before, _)| before).or(agreed);
        if before.is_none_or(|before| before.incarnation <= born.incarnation) {
            self.heard.insert(front, (born, replica_ids(with)));
        }
    }

    /// One of the members keeps the shard: whoever has yet to begin it is taken in, and never begins it.
    pub fn has_begun(&mut self) {
        self.begun = true;
    }

    /// Whom of all members nobody has heard of the shard yet. One that joins later may be placed where only others
    /// like it are: so each has to say that it knows of no beginning.
    pub fn unheard(&self, own: FrontId, members: &[FrontId]) -> Vec<FrontId> {
        let others = members.iter().filter(|front| **front != own && !self.heard.contains_key(front));
        others.copied().collect()
    }

    /// What to do now, where the shard is placed on these.
    pub fn next(&mut self, own: Born, placed: &[FrontId], members: &[FrontId]) -> Next {
        if self.begun || !self.unheard(own.id.front, members).is_empty() {
            return Next::Waits;
        }
        let born = |front: &FrontId| {
            if *front == own.id.front {
                return Some(own);
            }
            self.heard.get(front).map(|(born, _)| *born)
        };
        let Some(mut with) = placed.iter().map(born).collect::<Option<Vec<Born>>>() else {
            return Next::Waits;
        };
        with.sort_unstable_by_key(|born| born.id);
        let wanted = replica_ids(&with);
        if replica_ids(&self.agreed) != wanted {
            self.agreed.clone_from(&with);
            return Next::Agree(with);
        }
        let mut others = placed.iter().filter(|front| **front != own.id.front);
        let all = others.all(|front| self.heard.get(front).is_some_and(|(_, with)| *with == wanted));
        if all {
            Next::Begin(wanted)
        } else {
            Next::Waits
        }
    }
}

#[cfg(test)]
#[path = "birth_tests.rs"]
mod tests;
