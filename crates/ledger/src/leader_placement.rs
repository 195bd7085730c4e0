//! Decides which member is to lead each shard, such that no front leads more than 1.25 times its
//! fair share, where that is at least a whole shard more than the share. The result depends on the
//! placement only, which is the same on all fronts.

use std::collections::BTreeMap;

use crate::FrontId;

/// Maximum number of led shards in percent of a front's fair share.
const MAX_SHARE_PERCENT: usize = 125;

/// An assignment of leaders in progress: a bipartite matching of shards to fronts with bounded
/// loads, by augmenting paths.
struct Assignment<'a> {
    /// The fronts that hold each shard.
    placed: &'a [Vec<FrontId>],
    /// The leader of each shard, as far as assigned.
    leaders: Vec<Option<FrontId>>,
    /// The shards that each front leads, as far as assigned.
    led: BTreeMap<FrontId, Vec<usize>>,
    /// Maximum number of shards that a front may lead.
    max_led: usize,
}

impl Assignment<'_> {
    /// Finds a leader for the shard. A front at its limit passes one of its shards on to another
    /// member of that shard; `visited` are the fronts already tried.
    fn find_leader(&mut self, shard: usize, visited: &mut Vec<FrontId>) -> bool {
        let placed = self.placed;
        let members = &placed[shard];
        let has_room = |front: &&FrontId| self.led.get(*front).map_or(0, Vec::len) < self.max_led;
        let free = members
            .iter()
            .find(|front| has_room(front) && !visited.contains(front));
        if let Some(front) = free {
            self.assign(*front, shard);
            return true;
        }
        for front in members {
            if visited.contains(front) {
                continue;
            }
            visited.push(*front);
            for other in self.led.get(front).cloned().unwrap_or_default() {
                self.unassign(*front, other);
                if self.find_leader(other, visited) {
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

/// The preferred leader of each shard among the fronts that hold it; None for a shard without any.
/// `fronts` is the number of fronts that hold shards.
pub(crate) fn preferred_leaders(placed: &[Vec<FrontId>], fronts: usize) -> Vec<Option<FrontId>> {
    let (shards, fronts) = (placed.len(), fronts.max(1));
    let max_led = (shards * MAX_SHARE_PERCENT / 100 / fronts).max(shards.div_ceil(fronts));
    let mut assignment = Assignment {
        placed,
        leaders: vec![None; shards],
        led: BTreeMap::new(),
        max_led,
    };
    for (shard, members) in placed.iter().enumerate() {
        // If too few fronts hold the shards, some lead more than the limit.
        while !members.is_empty() && !assignment.find_leader(shard, &mut Vec::new()) {
            assignment.max_led += 1;
        }
    }
    assignment.leaders
}

#[cfg(test)]
#[path = "leader_placement_tests.rs"]
mod tests;
