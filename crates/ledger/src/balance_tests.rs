use std::collections::{BTreeMap, BTreeSet};

use super::*;

fn members(n: u64, zones: u64) -> Vec<Member> {
    (1..=n)
        .map(|n| Member {
            front: hash(n.to_be_bytes().into_iter()),
            zone: format!("z{}", n % zones),
        })
        .collect()
}

/// The number of replicas on each front, 0 included.
fn loads(members: &[Member], placed: &[Vec<FrontId>]) -> BTreeMap<FrontId, usize> {
    let mut loads: BTreeMap<FrontId, usize> =
        members.iter().map(|member| (member.front, 0)).collect();
    placed
        .iter()
        .flatten()
        .for_each(|front| *loads.get_mut(front).unwrap() += 1);
    loads
}

/// The number of replicas that `after` places on other fronts than `before`.
fn moved(before: &[Vec<FrontId>], after: &[Vec<FrontId>]) -> usize {
    let new = |(a, b): (&Vec<FrontId>, &Vec<FrontId>)| {
        b.iter().filter(|front| !a.contains(front)).count()
    };
    before.iter().zip(after).map(new).sum()
}

/// The highest load relative to the fair share of zones of equal size, and the number of replicas
/// that share a zone with another replica of their shard.
fn worst_load(members: &[Member], placed: &[Vec<FrontId>], shards: usize) -> (f64, usize) {
    let fair = (shards * 3) as f64 / members.len() as f64;
    let max_load = loads(members, placed)
        .into_values()
        .max()
        .unwrap_or_default();
    let zone: BTreeMap<FrontId, &str> =
        members.iter().map(|m| (m.front, m.zone.as_str())).collect();
    let in_same_zone = |fronts: &Vec<FrontId>| {
        3 - fronts
            .iter()
            .map(|front| zone[front])
            .collect::<BTreeSet<_>>()
            .len()
    };
    (
        max_load as f64 / fair,
        placed.iter().map(in_same_zone).sum(),
    )
}

#[test]
fn no_front_exceeds_its_bound_and_few_extra_replicas_move() {
    println!("| members | shards | worst load | joins: moved / least | leaves: moved / least |");
    for (n, shards) in [
        (5, 64),
        (9, 64),
        (20, 128),
        (40, 256),
        (100, 512),
        (300, 1_024),
    ] {
        let all = members(n, 4);
        let placed_all = placed(&all, 3, shards);
        let (load, in_same_zone) = worst_load(&all, &placed_all, shards.into());
        let fair = f64::from(shards) * 3.0 / n as f64;
        // Loads are whole replicas. Fronts of a zone that has one front more than the others hold
        // slightly fewer.
        assert!(
            load <= 1.25 || (load * fair).round() <= fair.ceil() + 1.0,
            "{n}: {load}"
        );
        assert_eq!(in_same_zone, 0, "{n} members");
        assert!(placed_all
            .iter()
            .all(|fronts| fronts.iter().collect::<BTreeSet<_>>().len() == 3));
        // Each of these members is removed from the full list, and added to it again.
        let (mut joined, mut left, mut min_moves) = (0, 0, 0);
        for changed_member in all.iter().take(8) {
            let fewer: Vec<Member> = all
                .iter()
                .filter(|m| m.front != changed_member.front)
                .cloned()
                .collect();
            let placed_fewer = placed(&fewer, 3, shards);
            joined += moved(&placed_fewer, &placed_all);
            left += moved(&placed_all, &placed_fewer);
            min_moves += loads(&all, &placed_all)[&changed_member.front];
        }
        println!("| {n} | {shards} | {load:.2} | {joined} / {min_moves} | {left} / {min_moves} |");
        assert!(
            joined < 3 * min_moves && left < 3 * min_moves,
            "{n}: {joined}, {left} of {min_moves}"
        );
    }
}

#[test]
fn placement_ignores_the_list_order_and_handles_zones_of_any_size() {
    let all = members(30, 3);
    let reversed: Vec<Member> = all.iter().rev().cloned().collect();
    assert_eq!(placed(&all, 3, 128), placed(&reversed, 3, 128));
    for sizes in [
        &[1, 1, 10][..],
        &[1, 9],
        &[12],
        &[2, 2, 2, 1],
        &[1, 1, 1, 1, 1],
        &[3, 20],
    ] {
        let zone = |(z, n): (usize, &u64)| -> Vec<Member> {
            (0..*n)
                .map(|k| Member {
                    front: (z as u64 + 1) << 8 | k,
                    zone: format!("z{z}"),
                })
                .collect()
        };
        let all: Vec<Member> = sizes.iter().enumerate().flat_map(zone).collect();
        for copies in 1..=5.min(all.len()) {
            let placed = placed(&all, copies, 64);
            let in_zones = |fronts: &Vec<FrontId>| {
                fronts.iter().map(|f| f >> 8).collect::<BTreeSet<_>>().len()
            };
            assert!(
                placed.iter().all(|fronts| fronts.len() == copies),
                "{sizes:?} {copies}"
            );
            let distinct_zones = copies.min(sizes.len());
            assert!(
                placed
                    .iter()
                    .all(|fronts| in_zones(fronts) == distinct_zones),
                "{sizes:?} {copies}"
            );
            // The load within a zone is even.
            let loads = loads(&all, &placed);
            for z in 1..=sizes.len() as u64 {
                let fronts: Vec<usize> = loads
                    .iter()
                    .filter(|(f, _)| **f >> 8 == z)
                    .map(|(_, n)| *n)
                    .collect();
                let fair = fronts.iter().sum::<usize>() as f64 / fronts.len() as f64;
                let max_load = *fronts.iter().max().unwrap_or(&0) as f64;
                assert!(
                    max_load <= (fair * 1.25).max(fair.ceil() + 1.0),
                    "{sizes:?} {copies}: {fronts:?}"
                );
            }
        }
    }
}
