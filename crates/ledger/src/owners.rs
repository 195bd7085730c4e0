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
#[path = "owners_tests.rs"]
mod tests;
