//! How a shard begins: once each of the fronts that it is placed on has lastingly agreed to begin with the same disks.
//! One that has begun never agrees to others again, and a disk that comes later than the one it replaces is only ever
//! followed, never gone back from: so no two begin with different ones.

use std::collections::BTreeMap;

use crate::state::Keeper;
use crate::words::Born;
use crate::FrontId;

#[derive(Default)]
pub(crate) struct Birth {
    /// What each other says of itself, and with whom it would begin.
    heard: BTreeMap<FrontId, (Born, Vec<Keeper>)>,
    /// With whom this front has agreed to begin.
    agreed: Vec<Born>,
    /// One says that the shard has begun already.
    begun: bool,
}

pub(crate) enum Next {
    Waits,
    /// Agree to begin with these: lasting before it is told.
    Agree(Vec<Born>),
    Begin(Vec<Keeper>),
}

fn keepers(with: &[Born]) -> Vec<Keeper> {
    with.iter().map(|born| born.keeper).collect()
}

impl Birth {
    pub fn new(agreed: Vec<Born>) -> Birth {
        Birth { agreed, ..Birth::default() }
    }

    pub fn agreed(&self) -> &[Born] {
        &self.agreed
    }

    pub fn heard(&mut self, born: Born, with: &[Born]) {
        let front = born.keeper.front;
        let agreed = self.agreed.iter().find(|before| before.keeper.front == front);
        let before = self.heard.get(&front).map(|(before, _)| before).or(agreed);
        if before.is_none_or(|before| before.incarnation <= born.incarnation) {
            self.heard.insert(front, (born, keepers(with)));
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
        if self.begun || !self.unheard(own.keeper.front, members).is_empty() {
            return Next::Waits;
        }
        let born = |front: &FrontId| {
            if *front == own.keeper.front {
                return Some(own);
            }
            self.heard.get(front).map(|(born, _)| *born)
        };
        let Some(mut with) = placed.iter().map(born).collect::<Option<Vec<Born>>>() else {
            return Next::Waits;
        };
        with.sort_unstable_by_key(|born| born.keeper);
        let wanted = keepers(&with);
        if keepers(&self.agreed) != wanted {
            self.agreed.clone_from(&with);
            return Next::Agree(with);
        }
        let mut others = placed.iter().filter(|front| **front != own.keeper.front);
        let all = others.all(|front| self.heard.get(front).is_some_and(|(_, with)| *with == wanted));
        if all {
            Next::Begin(wanted)
        } else {
            Next::Waits
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn born(front: FrontId, disk: u64, incarnation: u64) -> Born {
        Born { keeper: Keeper { front, disk }, incarnation }
    }

    #[test]
    fn one_that_joins_later_begins_nothing_where_a_front_that_it_is_not_placed_with_has_begun() {
        let mut birth = Birth::default();
        let (own, placed, members) = (born(6, 60, 5), [6, 7], [1, 6, 7]);
        birth.heard(born(7, 70, 5), &[born(6, 60, 5), born(7, 70, 5)]);
        assert!(matches!(birth.next(own, &placed, &members), Next::Waits));
        assert_eq!(birth.unheard(6, &members), [1]);
        birth.heard(born(1, 10, 5), &[]);
        assert!(matches!(birth.next(own, &placed, &members), Next::Agree(_)));
        birth.has_begun();
        assert!(matches!(birth.next(own, &placed, &members), Next::Waits));
    }

    #[test]
    fn all_must_agree_and_an_earlier_disk_never_comes_back() {
        let mut birth = Birth::default();
        let (own, placed) = (born(1, 10, 5), [1, 2, 3]);
        assert!(matches!(birth.next(own, &placed, &placed), Next::Waits));
        birth.heard(born(2, 20, 5), &[]);
        birth.heard(born(3, 30, 5), &[]);
        let Next::Agree(with) = birth.next(own, &placed, &placed) else { panic!() };
        birth.heard(born(2, 20, 5), &with);
        assert!(matches!(birth.next(own, &placed, &placed), Next::Waits));
        // The third has lost its disk meanwhile: what was agreed with the first disk no longer counts.
        birth.heard(born(3, 31, 6), &[]);
        let Next::Agree(later) = birth.next(own, &placed, &placed) else { panic!() };
        birth.heard(born(3, 30, 5), &with);
        birth.heard(born(2, 20, 5), &later);
        assert!(matches!(birth.next(own, &placed, &placed), Next::Waits));
        birth.heard(born(3, 31, 6), &later);
        assert!(matches!(birth.next(own, &placed, &placed), Next::Begin(keepers) if keepers.len() == 3));
        // Come back itself, with what it agreed to: the earlier disk counts for nothing.
        let mut again = Birth::new(later.clone());
        again.heard(born(2, 20, 5), &later);
        again.heard(born(3, 30, 5), &with);
        assert!(matches!(again.next(own, &placed, &placed), Next::Waits));
    }
}
