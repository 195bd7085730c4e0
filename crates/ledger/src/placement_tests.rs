//! Unit tests of the `placement` module.

use super::*;
use crate::Kind;

fn members(n: u64, zones: u64) -> Vec<Member> {
    (1..=n)
        .map(|front| Member {
            front,
            zone: format!("z{}", front % zones),
        })
        .collect()
}

#[test]
fn replicas_are_in_different_zones_and_shards_are_spread() {
    let members = members(40, 4);
    let mut held = std::collections::BTreeMap::new();
    for shard in 0..256 {
        let ranked = ranked(&members, shard);
        assert_eq!(ranked.len(), 40);
        let zones: std::collections::BTreeSet<u64> =
            ranked[..3].iter().map(|front| front % 4).collect();
        assert_eq!(zones.len(), 3, "shard {shard}");
        ranked[..3]
            .iter()
            .for_each(|front| *held.entry(*front).or_insert(0) += 1);
    }
    assert!(
        held.len() == 40 && held.values().all(|n| (6..=40).contains(n)),
        "{held:?}"
    );
}

#[test]
fn removing_a_front_moves_only_its_own_replicas() {
    let all = members(12, 1);
    for shard in 0..64 {
        let original = ranked(&all, shard);
        let remaining: Vec<Member> = all.iter().filter(|m| m.front != 5).cloned().collect();
        let reduced = ranked(&remaining, shard);
        let without: Vec<FrontId> = original.into_iter().filter(|front| *front != 5).collect();
        assert_eq!(reduced, without, "shard {shard}");
    }
}

#[test]
fn a_hash_is_the_same_in_every_build() {
    assert_eq!(hash(b"abc".iter().copied()), 0xf120_aee0_1df3_0dab);
}

#[test]
fn keys_are_spread_over_shards_by_kind_and_name() {
    let mut held = [0; 16];
    for n in 0..1_600 {
        held[usize::from(shard_of(
            &Key {
                kind: Kind::Order,
                name: format!("key {n}"),
            },
            16,
        ))] += 1;
    }
    assert!(held.iter().all(|n| (60..=140).contains(n)), "{held:?}");
}
