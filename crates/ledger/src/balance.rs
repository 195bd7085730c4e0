//! Decides which fronts hold the replicas of each shard: rendezvous hashing with bounded loads
//! (after Mirrokni, Thorup and Zadimoghaddam's consistent hashing with bounded loads). The
//! placement depends on the set of members only, not on the order of the list, so all fronts with
//! the same list compute the same placement.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use crate::placement::hash;
use crate::{FrontId, Member};

/// Maximum load of a front in percent of its fair share, where that is at least a whole replica
/// more than the share.
const MAX_SHARE_PERCENT: u64 = 125;
/// Fractions of a replica to which levels are resolved.
const LEVEL_STEPS: u64 = 1 << 20;

/// The zones of the members.
struct Zones<'a> {
    names: Vec<&'a str>,
    /// Number of fronts in each zone.
    fronts: Vec<u64>,
    /// Maximum number of replicas of one shard in a zone.
    max_per_zone: u64,
}

fn zones(members: &[Member], replication_factor: u64) -> Zones<'_> {
    let mut counts: BTreeMap<&str, u64> = BTreeMap::new();
    members
        .iter()
        .for_each(|member| *counts.entry(member.zone.as_str()).or_default() += 1);
    let fronts: Vec<u64> = counts.values().copied().collect();
    let capacity = |max_per_zone: u64| {
        fronts
            .iter()
            .map(|fronts| (*fronts).min(max_per_zone))
            .sum::<u64>()
    };
    let max_per_zone = (1..=replication_factor)
        .find(|max_per_zone| capacity(*max_per_zone) >= replication_factor)
        .unwrap_or(replication_factor);
    Zones {
        names: counts.into_keys().collect(),
        fronts,
        max_per_zone,
    }
}

/// The number of replicas that each zone is to hold: as even per front as the spread of a shard's
/// replicas over different zones permits.
fn zone_quotas(zones: &Zones, replication_factor: u64, shards: u64) -> Vec<u64> {
    let base_quotas: Vec<u64> = zones
        .fronts
        .iter()
        .map(|fronts| shards * (*fronts).min(zones.max_per_zone - 1))
        .collect();
    let remaining = (shards * replication_factor).saturating_sub(base_quotas.iter().sum());
    let quotas_at = |level: u64| -> Vec<u64> {
        let quota = |(fronts, base_quotas): (&u64, &u64)| {
            let capacity = if *fronts >= zones.max_per_zone {
                shards
            } else {
                0
            };
            (level * fronts / LEVEL_STEPS)
                .saturating_sub(*base_quotas)
                .min(capacity)
        };
        zones.fronts.iter().zip(&base_quotas).map(quota).collect()
    };
    let (mut low, mut high) = (0, (shards * replication_factor + 1) * LEVEL_STEPS);
    while low < high {
        let middle = (low + high) / 2;
        if quotas_at(middle).iter().sum::<u64>() >= remaining {
            high = middle;
        } else {
            low = middle + 1;
        }
    }
    quotas_at(low)
        .iter()
        .zip(&base_quotas)
        .map(|(quota, base_quota)| quota + base_quota)
        .collect()
}

/// A placement in progress.
struct Placement<'a> {
    members: &'a [Member],
    /// The zone of each member.
    zone: Vec<usize>,
    /// The number of further replicas that each member may hold.
    capacity: Vec<u64>,
    /// The members that hold each shard.
    holders: Vec<Vec<usize>>,
    /// Current maximum number of replicas of a shard in one zone.
    level: usize,
}

impl Placement<'_> {
    /// Whether the member may hold a replica of the shard if the replica of `excluded` is ignored.
    fn fits(&self, shard: usize, excluded: Option<usize>, candidate: usize) -> bool {
        let other_holders = self.holders[shard]
            .iter()
            .filter(|holder| Some(**holder) != excluded);
        let (mut in_zone, mut is_holder) = (0, false);
        for holder in other_holders {
            in_zone += usize::from(self.zone[*holder] == self.zone[candidate]);
            is_holder |= *holder == candidate;
        }
        !is_holder && in_zone < self.level
    }

    /// Makes room for a shard that no zone with free capacity can take: moves a replica of another
    /// shard to a member with free capacity and gives its place to this shard.
    fn swap(&mut self, shard: usize) -> bool {
        let members_with_capacity: Vec<usize> = (0..self.members.len())
            .filter(|candidate| self.capacity[*candidate] > 0)
            .collect();
        for candidate in
            (0..self.members.len()).filter(|candidate| self.fits(shard, None, *candidate))
        {
            for other in 0..self.holders.len() {
                let Some(position) = self.holders[other]
                    .iter()
                    .position(|holder| *holder == candidate)
                else {
                    continue;
                };
                if let Some(to) = members_with_capacity
                    .iter()
                    .find(|to| self.fits(other, Some(candidate), **to))
                {
                    self.holders[other][position] = *to;
                    self.capacity[*to] -= 1;
                    self.holders[shard].push(candidate);
                    return true;
                }
            }
        }
        false
    }

    /// Places replicas, in the order of the pairs, until each shard has `target` of them. The load
    /// bounds are exceeded only for shards that can't be placed otherwise.
    fn fill(&mut self, pairs: &[Pair], target: usize) {
        for bounded in [true, false] {
            for Pair { shard, member, .. } in pairs {
                let has_room = self.capacity[*member] > 0 || !bounded;
                if has_room
                    && self.holders[*shard].len() < target
                    && self.fits(*shard, None, *member)
                {
                    self.holders[*shard].push(*member);
                    self.capacity[*member] = self.capacity[*member].saturating_sub(1);
                }
            }
            if bounded {
                for shard in 0..self.holders.len() {
                    while self.holders[shard].len() < target && self.swap(shard) {}
                }
            }
        }
    }
}

/// The rendezvous weight of a front for a shard; the smallest is preferred.
type Weight = (Reverse<u64>, FrontId);

fn weight(shard: usize, front: FrontId) -> Weight {
    (
        Reverse(hash(
            front
                .to_be_bytes()
                .into_iter()
                .chain((shard as u16).to_be_bytes()),
        )),
        front,
    )
}

/// A shard and a member that could hold it; ordered by weight.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Pair {
    weight: Weight,
    shard: usize,
    member: usize,
}

/// All pairs of a shard and a member, the most preferred first.
fn ordered_pairs(members: &[Member], shards: u16) -> Vec<Pair> {
    let pair = |shard, member: usize| Pair {
        weight: weight(shard, members[member].front),
        shard,
        member,
    };
    let shards = 0..usize::from(shards);
    let mut pairs: Vec<Pair> = shards
        .flat_map(|shard| (0..members.len()).map(move |member| pair(shard, member)))
        .collect();
    pairs.sort_unstable();
    pairs
}

/// The fronts that are to hold each shard, the most preferred first; fewer than
/// `replication_factor` if there are fewer members.
pub(crate) fn placed(
    members: &[Member],
    replication_factor: usize,
    shards: u16,
) -> Vec<Vec<FrontId>> {
    let (count, all) = (replication_factor.min(members.len()), u64::from(shards));
    if count == 0 {
        return vec![Vec::new(); usize::from(shards)];
    }
    let zones = zones(members, count as u64);
    let zone_quotas = zone_quotas(&zones, count as u64, all);
    let zone_of = |member: &Member| {
        zones
            .names
            .binary_search(&member.zone.as_str())
            .unwrap_or_default()
    };
    let zone: Vec<usize> = members.iter().map(zone_of).collect();
    // A front's share is its zone's quota divided by the zone's fronts, at least one whole replica.
    let max_replicas = |zone: &usize| {
        let (quota, fronts) = (zone_quotas[*zone], zones.fronts[*zone]);
        (quota * MAX_SHARE_PERCENT / (100 * fronts)).max(quota.div_ceil(fronts))
    };
    let capacity = zone.iter().map(max_replicas).collect();
    let pairs = ordered_pairs(members, shards);
    let mut placement = Placement {
        members,
        zone,
        capacity,
        holders: vec![Vec::new(); usize::from(shards)],
        level: 0,
    };
    for level in 1..=zones.max_per_zone {
        placement.level = level as usize;
        // A zone gets another replica of a shard only once each zone that can has as many.
        let target = zones
            .fronts
            .iter()
            .map(|fronts| (*fronts).min(level))
            .sum::<u64>() as usize;
        placement.fill(&pairs, target.min(count));
    }
    let ordered = |(shard, mut holders): (usize, Vec<usize>)| {
        holders.sort_by_key(|member| weight(shard, members[*member].front));
        holders
            .into_iter()
            .map(|member| members[member].front)
            .collect()
    };
    placement
        .holders
        .into_iter()
        .enumerate()
        .map(ordered)
        .collect()
}

#[cfg(test)]
#[path = "balance_tests.rs"]
mod tests;
