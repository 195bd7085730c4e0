//! On which fronts the copies of all shards are to lie: rendezvous hashing with bounded loads (after Mirrokni, Thorup
//! and Zadimoghaddam's consistent hashing with bounded loads). Follows from the list of members alone, in whatever
//! order it is given: all that have the same list come to the same.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use crate::placement::hash;
use crate::{FrontId, Member};

/// Hundredths of a front's fair part that it holds at most, where that is a whole copy more than the part.
const MOST: u64 = 125;
const FINE: u64 = 1 << 20; // parts of a copy that levels are found to

/// Of the zones, those with fronts that are to hold copies.
struct Zones<'a> {
    names: Vec<&'a str>,
    fronts: Vec<u64>,
    /// Copies of a shard that a zone may hold at most.
    most: u64,
}

fn zones(members: &[Member], copies: u64) -> Zones<'_> {
    let mut counts: BTreeMap<&str, u64> = BTreeMap::new();
    members.iter().for_each(|member| *counts.entry(member.zone.as_str()).or_default() += 1);
    let fronts: Vec<u64> = counts.values().copied().collect();
    let room = |most: u64| fronts.iter().map(|fronts| (*fronts).min(most)).sum::<u64>();
    let most = (1..=copies).find(|most| room(*most) >= copies).unwrap_or(copies);
    Zones { names: counts.into_keys().collect(), fronts, most }
}

/// How many copies each zone is to hold: as even for its fronts as different zones for a shard's copies permit.
fn parts(zones: &Zones, copies: u64, shards: u64) -> Vec<u64> {
    let base: Vec<u64> = zones.fronts.iter().map(|fronts| shards * (*fronts).min(zones.most - 1)).collect();
    let left = (shards * copies).saturating_sub(base.iter().sum());
    let at = |level: u64| -> Vec<u64> {
        let part = |(fronts, base): (&u64, &u64)| {
            let room = if *fronts >= zones.most { shards } else { 0 };
            (level * fronts / FINE).saturating_sub(*base).min(room)
        };
        zones.fronts.iter().zip(&base).map(part).collect()
    };
    let (mut low, mut high) = (0, (shards * copies + 1) * FINE);
    while low < high {
        let middle = (low + high) / 2;
        if at(middle).iter().sum::<u64>() >= left {
            high = middle;
        } else {
            low = middle + 1;
        }
    }
    at(low).iter().zip(&base).map(|(part, base)| part + base).collect()
}

/// A placement under way.
struct Placing<'a> {
    members: &'a [Member],
    /// The zone of each member, and how many more copies it may hold.
    zone: Vec<usize>,
    room: Vec<u64>,
    /// The members that hold each shard.
    held: Vec<Vec<usize>>,
    /// Copies of a shard that a zone may hold for now.
    level: usize,
}

impl Placing<'_> {
    fn fits(&self, shard: usize, without: Option<usize>, n: usize) -> bool {
        let of = self.held[shard].iter().filter(|held| Some(**held) != without);
        let (mut there, mut same) = (0, false);
        for held in of {
            there += usize::from(self.zone[*held] == self.zone[n]);
            same |= *held == n;
        }
        !same && there < self.level
    }

    /// A shard whose zones that are left have no room: another shard's copy there moves to where there is some.
    fn swap(&mut self, shard: usize) -> bool {
        let roomy: Vec<usize> = (0..self.members.len()).filter(|n| self.room[*n] > 0).collect();
        for n in (0..self.members.len()).filter(|n| self.fits(shard, None, *n)) {
            for other in 0..self.held.len() {
                let Some(place) = self.held[other].iter().position(|held| *held == n) else { continue };
                if let Some(to) = roomy.iter().find(|to| self.fits(other, Some(n), **to)) {
                    self.held[other][place] = *to;
                    self.room[*to] -= 1;
                    self.held[shard].push(n);
                    return true;
                }
            }
        }
        false
    }
}

/// The fronts that are to keep each shard, the one that is wanted most first; fewer where there are fewer.
pub(crate) fn placed(members: &[Member], copies: usize, shards: u16) -> Vec<Vec<FrontId>> {
    let (count, all) = (copies.min(members.len()), u64::from(shards));
    if count == 0 {
        return vec![Vec::new(); usize::from(shards)];
    }
    let zones = zones(members, count as u64);
    let parts = parts(&zones, count as u64, all);
    let place = |member: &Member| zones.names.binary_search(&member.zone.as_str()).unwrap_or_default();
    let zone: Vec<usize> = members.iter().map(place).collect();
    // A front's part is that of its zone, shared; whole copies lie on it.
    let most = |zone: &usize| {
        let (part, fronts) = (parts[*zone], zones.fronts[*zone]);
        (part * MOST / (100 * fronts)).max(part.div_ceil(fronts))
    };
    let room = zone.iter().map(most).collect();
    let weigh = |shard: usize, n: usize| {
        let front = members[n].front;
        (Reverse(hash(front.to_be_bytes().into_iter().chain((shard as u16).to_be_bytes()))), front)
    };
    let pairs = (0..usize::from(shards)).flat_map(|shard| (0..members.len()).map(move |n| (shard, n)));
    let mut pairs: Vec<_> = pairs.map(|(shard, n)| (weigh(shard, n), shard, n)).collect();
    pairs.sort_unstable();
    let mut placing = Placing { members, zone, room, held: vec![Vec::new(); usize::from(shards)], level: 0 };
    for level in 1..=zones.most {
        placing.level = level as usize;
        // Another copy in a zone only once each zone that can has as many.
        let wanted = zones.fronts.iter().map(|fronts| (*fronts).min(level)).sum::<u64>() as usize;
        let wanted = wanted.min(count);
        for bounded in [true, false] {
            for (_, shard, n) in &pairs {
                let room = placing.room[*n] > 0 || !bounded;
                if room && placing.held[*shard].len() < wanted && placing.fits(*shard, None, *n) {
                    placing.held[*shard].push(*n);
                    placing.room[*n] = placing.room[*n].saturating_sub(1);
                }
            }
            if bounded {
                for shard in 0..usize::from(shards) {
                    while placing.held[shard].len() < wanted && placing.swap(shard) {}
                }
            }
        }
    }
    let ordered = |(shard, mut held): (usize, Vec<usize>)| {
        held.sort_by_key(|n| weigh(shard, *n));
        held.into_iter().map(|n| members[n].front).collect()
    };
    placing.held.into_iter().enumerate().map(ordered).collect()
}

#[cfg(test)]
#[path = "balance_tests.rs"]
mod tests;
