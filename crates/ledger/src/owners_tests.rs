//! Unit tests of the `owners` module.

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
