//! Unit tests of the `rebalance` module.

use super::*;

#[test]
fn a_zone_that_is_away_as_a_whole_is_waited_for_longer_and_anew_once_it_comes_back() {
    let member = |front| Member {
        front,
        zone: format!("z{}", front % 3),
    };
    let mut setup = Setup::new("f", 1, 1, 1, (0..9).map(member).collect());
    (setup.repair_after, setup.zone_after) = (10, 100);
    let mut away = Away::default();
    away.since.extend([(0, 5), (3, 6)]);
    assert_eq!(away.wait_until(&setup, 0, 5), 15);
    away.since.insert(6, 7);
    assert_eq!(
        (away.wait_until(&setup, 0, 5), away.wait_until(&setup, 1, 5)),
        (105, 15)
    );
    away.returned(80, &setup.members, 3);
    assert_eq!(
        (away.wait_until(&setup, 0, 5), away.is_away(3)),
        (90, false)
    );
}

#[test]
fn no_more_than_the_share_of_shards_moves_at_once_and_each_has_a_turn() {
    let setup = Setup {
        moves_percent: 25,
        ..Setup::new("f", 1, 1, 1, Vec::new())
    };
    let mut had = BTreeSet::new();
    for wall_ms in (0..5 * window_length(&setup) as u64 / 1_000).step_by(100) {
        let now: Vec<u16> = (0..16)
            .filter(|shard| move_window(&setup, *shard, wall_ms).is_some())
            .collect();
        assert!(now.len() <= 4);
        had.extend(now);
    }
    assert_eq!(had.len(), 16);
}
