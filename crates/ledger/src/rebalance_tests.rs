//! Unit tests of the `rebalance` module.

use super::*;

#[test]
fn at_most_the_configured_share_of_shards_moves_at_once_and_each_shard_gets_a_window() {
    let setup = Setup {
        max_moving_percent: 25,
        ..Setup::new("f", 1, 1, 1, Vec::new())
    };
    let mut shards_with_window = BTreeSet::new();
    for wall_ms in (0..5 * window_length(&setup) as u64 / 1_000).step_by(100) {
        let moving: Vec<u16> = (0..16)
            .filter(|shard| move_window(&setup, *shard, wall_ms).is_some())
            .collect();
        assert!(moving.len() <= 4);
        shards_with_window.extend(moving);
    }
    assert_eq!(shards_with_window.len(), 16);
}
