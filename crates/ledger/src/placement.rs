//! Which shard a key belongs to, and the order in which fronts are preferred for a shard's
//! replicas.

use hallmux_hash::fnv1a;

use crate::{FrontId, Key, Member};

/// A hash that must be the same in every build: FNV-1a followed by a finalizing mixer, as FNV-1a's
/// high bits are poorly distributed.
pub(crate) fn hash(bytes: impl Iterator<Item = u8>) -> u64 {
    let fnv = fnv1a(bytes);
    let mixed = (fnv ^ (fnv >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    mixed ^ (mixed >> 33)
}

/// The shard of a key.
pub fn shard_of(key: &Key, shards: u16) -> u16 {
    let bytes = [key.kind as u8].into_iter().chain(key.name.bytes());
    (hash(bytes) % u64::from(shards.max(1))) as u16
}

/// All members in the order in which they are preferred for a shard (rendezvous hashing):
/// repeatedly the member with the highest hash among the zones not represented yet. Once every zone
/// is represented, all zones are considered again.
pub(crate) fn ranked(members: &[Member], shard: u16) -> Vec<FrontId> {
    let weight = |front: FrontId| hash(front.to_be_bytes().into_iter().chain(shard.to_be_bytes()));
    let mut remaining: Vec<&Member> = members.iter().collect();
    remaining.sort_by_key(|member| (std::cmp::Reverse(weight(member.front)), member.front));
    let (mut ranked, mut zones) = (Vec::new(), Vec::new());
    while !remaining.is_empty() {
        let position = remaining
            .iter()
            .position(|member| !zones.contains(&member.zone.as_str()));
        match position {
            Some(position) => {
                let member = remaining.remove(position);
                zones.push(member.zone.as_str());
                ranked.push(member.front);
            }
            None => zones.clear(),
        }
    }
    ranked
}

#[cfg(test)]
#[path = "placement_tests.rs"]
mod tests;
