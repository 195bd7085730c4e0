//! Which of its members is to lead each shard: spread so that no front leads over 1.25 times its
//! fair part, where that is a whole shard more than the part. Follows from the placement alone,
//! which is the same on all fronts.

use std::collections::BTreeMap;

use crate::FrontId;

/// Hundredths of a front's fair part that it leads at most.
const MAX_SHARE_PERCENT: usize = 125;

/// An assignment of leaders under way: a bipartite matching of shards to fronts with bounded loads,
/// by augmenting paths.
struct Assignment<'a> {
    /// The fronts that hold each shard.
    placed: &'a [Vec<FrontId>],
    /// The leader of each shard, so far.
    leaders: Vec<Option<FrontId>>,
    /// The shards that each front leads, so far.
    led: BTreeMap<FrontId, Vec<usize>>,
    /// Shards that a front may lead at most.
    bound: usize,
}

impl Assignment<'_> {
    /// Finds a leader for the shard; a front that leads as many as it may (those asked so far)
    /// passes one of its shards on to another of that shard's members.
    fn find_leader(&mut self, shard: usize, asked: &mut Vec<FrontId>) -> bool {
        let placed = self.placed;
        let members = &placed[shard];
        let has_room = |front: &&FrontId| self.led.get(*front).map_or(0, Vec::len) < self.bound;
        let free = members
            .iter()
            .find(|front| has_room(front) && !asked.contains(front));
        if let Some(front) = free {
            self.assign(*front, shard);
            return true;
        }
        for front in members {
            if asked.contains(front) {
                continue;
            }
            asked.push(*front);
            for other in self.led.get(front).cloned().unwrap_or_default() {
                self.unassign(*front, other);
                if self.find_leader(other, asked) {
                    self.assign(*front, shard);
                    return true;
                }
                self.assign(*front, other);
            }
        }
        false
    }

    fn assign(&mut self, front: FrontId, shard: usize) {
        self.leaders[shard] = Some(front);
        self.led.entry(front).or_default().push(shard);
    }

    fn unassign(&mut self, front: FrontId, shard: usize) {
        self.led
            .entry(front)
            .or_default()
            .retain(|led| *led != shard);
    }
}

/// Who is to lead each shard, of the fronts that hold it; `fronts` hold shards in all.
pub(crate) fn preferred_leaders(placed: &[Vec<FrontId>], fronts: usize) -> Vec<Option<FrontId>> {
    let (shards, fronts) = (placed.len(), fronts.max(1));
    let bound = (shards * MAX_SHARE_PERCENT / 100 / fronts).max(shards.div_ceil(fronts));
    let mut assignment = Assignment {
        placed,
        leaders: vec![None; shards],
        led: BTreeMap::new(),
        bound,
    };
    for (shard, members) in placed.iter().enumerate() {
        // Where too few fronts hold them, some lead more.
        while !members.is_empty() && !assignment.find_leader(shard, &mut Vec::new()) {
            assignment.bound += 1;
        }
    }
    assignment.leaders
}

#[cfg(test)]
#[path = "leader_placement_tests.rs"]
mod tests;
