//! Unit tests of the `leader_placement` module.

use super::*;
use crate::balance::placed;
use crate::placement::ranked;
use crate::Member;

#[test]
fn no_front_leads_more_than_125_percent_of_its_share_for_any_placement() {
    for (fronts, shards) in [
        (3, 16),
        (5, 16),
        (5, 64),
        (9, 64),
        (40, 256),
        (300, 1_024),
        (300, 64),
    ] {
        let members: Vec<Member> = (1..=fronts as u64)
            .map(|front| Member {
                front,
                zone: format!("z{}", front % 3),
            })
            .collect();
        let unbounded: Vec<_> = (0..shards)
            .map(|n| ranked(&members, n)[..3].to_vec())
            .collect();
        for placed in [unbounded, placed(&members, 3, shards)] {
            let leaders = preferred_leaders(&placed, fronts);
            let mut led = BTreeMap::<FrontId, usize>::new();
            for (leader, of) in leaders.iter().zip(&placed) {
                let leader = leader.expect("each shard has a leader");
                assert!(of.contains(&leader));
                *led.entry(leader).or_default() += 1;
            }
            let max_led = led.values().max().copied().unwrap_or(0);
            let shards = usize::from(shards);
            let bound = (shards * MAX_SHARE_PERCENT / 100 / fronts).max(shards.div_ceil(fronts));
            println!("{fronts} fronts, {shards} shards: at most {max_led}, bound {bound}");
            assert!(
                max_led <= bound,
                "{fronts} fronts, {shards} shards: {max_led} over {bound}"
            );
        }
    }
}

#[test]
fn the_only_holder_of_all_shards_leads_them_all() {
    assert_eq!(
        preferred_leaders(&[vec![7], vec![7], vec![]], 3),
        [Some(7), Some(7), None]
    );
}
