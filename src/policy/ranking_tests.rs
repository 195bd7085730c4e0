//! Tests of the selection among engines with capacity.

use super::{RankedEngine, Ranking, RankingMode};

fn ranked(engine: usize, capacity: f64, scarce: bool) -> RankedEngine {
    RankedEngine {
        engine,
        capacity,
        cores: 8.0,
        scarce,
    }
}

fn choose(mode: RankingMode, engines: &[RankedEngine], draw: f64) -> Option<usize> {
    let mut ranking = Ranking::new(mode);
    for engine in engines {
        ranking.add(engine);
    }
    ranking.choose(draw)
}

#[test]
fn the_first_engine_with_the_most_capacity_is_chosen() {
    let engines = [
        ranked(3, 1.0, false),
        ranked(1, 2.0, false),
        ranked(2, 2.0, false),
    ];
    let chosen = choose(RankingMode::MostCapacity, &engines, 0.9);
    assert_eq!(chosen, Some(1));
    assert_eq!(choose(RankingMode::MostCapacity, &[], 0.9), None);
}

#[test]
fn a_scarce_engine_ranks_lower_by_one_thread_per_core() {
    let engines = [ranked(0, 10.0, true), ranked(1, 2.5, false)];
    let chosen = choose(RankingMode::MostCapacity, &engines, 0.0);
    assert_eq!(chosen, Some(1));
    let engines = [ranked(0, 11.0, true), ranked(1, 2.5, false)];
    let chosen = choose(RankingMode::MostCapacity, &engines, 0.0);
    assert_eq!(chosen, Some(0));
}

#[test]
fn engines_are_drawn_in_proportion_to_capacity() {
    let engines = [ranked(0, 1.0, false), ranked(1, 3.0, false)];
    let mode = RankingMode::DrawByCapacity;
    assert_eq!(choose(mode, &engines, 0.0), Some(0));
    assert_eq!(choose(mode, &engines, 0.24), Some(0));
    assert_eq!(choose(mode, &engines, 0.26), Some(1));
    assert_eq!(choose(mode, &engines, 0.99), Some(1));
}
