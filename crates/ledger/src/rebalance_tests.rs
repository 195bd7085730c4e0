//! Unit tests of the `rebalance` module.

use super::*;

#[test]
fn no_more_than_the_share_of_shards_moves_at_once_and_each_has_a_turn() {
    let setup = Setup {
        max_moving_percent: 25,
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
