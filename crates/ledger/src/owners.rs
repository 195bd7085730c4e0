//! Which of its members is to own each shard: spread so that no front owns over 1.25 times its fair part, where that is
//! a whole shard more than the part. Follows from the placement alone, which is the same on all fronts.

use std::collections::BTreeMap;

use crate::FrontId;

/// Hundredths of a front's fair part that it owns at most.
const MOST: usize = 125;

struct Owning<'a> {
    placed: &'a [Vec<FrontId>],
    owner: Vec<Option<FrontId>>,
    owned: BTreeMap<FrontId, Vec<usize>>,
    room: usize,
}

impl Owning<'_> {
    /// Finds the shard an owner; one that has no room (those asked so far) passes a shard on to another of its members.
    fn finds(&mut self, shard: usize, asked: &mut Vec<FrontId>) -> bool {
        let placed = self.placed;
        let of = &placed[shard];
        let room = |front: &&FrontId| self.owned.get(*front).map_or(0, Vec::len) < self.room;
        let roomy = of.iter().find(|front| room(front) && !asked.contains(front));
        if let Some(front) = roomy {
            self.takes(*front, shard);
            return true;
        }
        for front in of {
            if asked.contains(front) {
                continue;
            }
            asked.push(*front);
            for other in self.owned.get(front).cloned().unwrap_or_default() {
                self.leaves(*front, other);
                if self.finds(other, asked) {
                    self.takes(*front, shard);
                    return true;
                }
                self.takes(*front, other);
            }
        }
        false
    }

    fn takes(&mut self, front: FrontId, shard: usize) {
        self.owner[shard] = Some(front);
        self.owned.entry(front).or_default().push(shard);
    }

    fn leaves(&mut self, front: FrontId, shard: usize) {
        self.owned.entry(front).or_default().retain(|owned| *owned != shard);
    }
}

/// Who is to own each shard, of the fronts that keep it; `fronts` keep shards in all.
pub(crate) fn owners(placed: &[Vec<FrontId>], fronts: usize) -> Vec<Option<FrontId>> {
    let (shards, fronts) = (placed.len(), fronts.max(1));
    let (room, owned) = ((shards * MOST / 100 / fronts).max(shards.div_ceil(fronts)), BTreeMap::new());
    let mut owning = Owning { placed, owner: vec![None; shards], owned, room };
    for (shard, of) in placed.iter().enumerate() {
        // Where too few fronts keep them, some own more.
        while !of.is_empty() && !owning.finds(shard, &mut Vec::new()) {
            owning.room += 1;
        }
    }
    owning.owner
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::balance::placed;
    use crate::placement::ranked;
    use crate::Member;

    #[test]
    fn no_front_owns_over_its_part_and_a_quarter_however_copies_are_placed() {
        for (fronts, shards) in [(3, 16), (5, 16), (5, 64), (9, 64), (40, 256), (300, 1_024), (300, 64)] {
            let members: Vec<Member> =
                (1..=fronts as u64).map(|front| Member { front, zone: format!("z{}", front % 3) }).collect();
            let unbounded: Vec<_> = (0..shards).map(|n| ranked(&members, n)[..3].to_vec()).collect();
            for placed in [unbounded, placed(&members, 3, shards)] {
                let owners = owners(&placed, fronts);
                let mut owned = BTreeMap::<FrontId, usize>::new();
                for (owner, of) in owners.iter().zip(&placed) {
                    let owner = owner.expect("each shard has an owner");
                    assert!(of.contains(&owner));
                    *owned.entry(owner).or_default() += 1;
                }
                let most = owned.values().max().copied().unwrap_or(0);
                let shards = usize::from(shards);
                let bound = (shards * MOST / 100 / fronts).max(shards.div_ceil(fronts));
                println!("{fronts} fronts, {shards} shards: at most {most}, bound {bound}");
                assert!(most <= bound, "{fronts} fronts, {shards} shards: {most} over {bound}");
            }
        }
    }

    #[test]
    fn where_one_front_keeps_all_it_owns_all() {
        assert_eq!(owners(&[vec![7], vec![7], vec![]], 3), [Some(7), Some(7), None]);
    }
}
