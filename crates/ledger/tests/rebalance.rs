//! Shards follow the fleet: fronts join and are lost, zones go and come back, and what is asked meanwhile is answered.

mod sim;

use std::collections::{BTreeMap, BTreeSet};

use hallmux_ledger::{Ledger, Operation, Outcome, ReplicaStatus};
use sim::{Fleet, SECOND};

fn put(value: u64) -> Operation {
    Operation::Put {
        expects: None,
        ends_ms: 0,
        value: value.to_be_bytes().to_vec(),
    }
}

/// The members of each shard by the latest that any front knows, of those that are up.
fn keepers(fleet: &Fleet) -> BTreeMap<u16, BTreeSet<usize>> {
    let mut latest: BTreeMap<u16, (u32, BTreeSet<usize>)> = BTreeMap::new();
    for n in (0..fleet.fronts.len()).filter(|n| fleet.is_up(*n)) {
        for ReplicaStatus { shard, config, .. } in
            fleet.fronts[n].ledger.iter().flat_map(Ledger::replicas)
        {
            let of = latest.entry(shard).or_default();
            if of.0 < config {
                *of = (config, BTreeSet::new());
            }
            if of.0 == config {
                of.1.insert(n);
            }
        }
    }
    latest
        .into_iter()
        .map(|(shard, (_, of))| (shard, of))
        .collect()
}

fn most(fleet: &Fleet) -> usize {
    let held = keepers(fleet);
    (0..fleet.fronts.len())
        .map(|n| held.values().filter(|of| of.contains(&n)).count())
        .max()
        .unwrap_or(0)
}

fn begun(fronts: usize, members: usize, shards: u16, seed: u64) -> Fleet {
    let mut fleet = Fleet::new(fronts, 3, shards, seed);
    fleet.setup.members.truncate(members);
    (
        fleet.setup.max_moving_percent,
        fleet.setup.zone_repair_after,
    ) = (50, 40 * SECOND);
    (fleet.setup.repair_bytes_per_s, fleet.setup.max_shard_bytes) = (65_536, 32_768);
    fleet.setup.clock_skew_ms = 200;
    fleet.start_anew(members);
    assert!(fleet.run_until(10 * SECOND, Fleet::is_whole));
    fleet
}

/// What gossip would say to each front.
fn health(fleet: &mut Fleet) {
    let (up, away): (Vec<usize>, Vec<usize>) =
        (0..fleet.fronts.len()).partition(|n| fleet.is_up(*n));
    fleet.set_health(&up, &away);
}

/// Writes and reads all the time; the count of asks that nobody answered.
fn busy(fleet: &mut Fleet, seconds: i64, mut each: impl FnMut(&mut Fleet)) -> (usize, usize) {
    let until = fleet.now + seconds * SECOND;
    let (mut k, mut asked) = (0, Vec::new());
    while fleet.now < until {
        k += 1;
        let n = k % fleet.fronts.len();
        if fleet.is_up(n) {
            // Values tell their put.
            let (key, value) = (
                format!("r{}", k % 40),
                1_000 + fleet.record.ops.len() as u64,
            );
            asked.push((
                n,
                fleet.fronts[n].incarnation,
                fleet.ask(n, &key, put(value)),
            ));
        }
        fleet.run(fleet.now + 50_000);
        health(fleet);
        each(fleet);
    }
    fleet.run(fleet.now + SECOND);
    let lost = |(n, life, number): &&(usize, u64, u64)| {
        fleet.record.outcome(*n, *life, *number) == Some(&Outcome::Unreachable)
    };
    (asked.iter().filter(lost).count(), asked.len())
}

fn sound(fleet: &mut Fleet) {
    for k in 0..40 {
        let n = (0..fleet.fronts.len()).find(|n| fleet.is_up(*n)).unwrap();
        fleet.get_until_answered(n, &format!("r{k}"), Operation::Read);
    }
    let faults = fleet.record.faults();
    assert!(faults.is_empty(), "{faults:#?}");
}

#[test]
fn fronts_that_join_take_their_part_while_asks_are_answered_and_no_shard_is_started_twice() {
    let mut fleet = begun(9, 4, 16, 1);
    for k in 0..40 {
        fleet.get_until_answered(0, &format!("r{k}"), put(k));
    }
    // The list names five more; each front hears so in its own time, the new ones first.
    fleet.setup.members = Fleet::members(9);
    (4..9).for_each(|n| fleet.start(n));
    fleet.run(fleet.now + 5 * SECOND);
    assert!(keepers(&fleet).values().all(|of| of.iter().all(|n| *n < 4)));
    fleet.set_members(Fleet::members(9));
    let mut at_once = 0;
    let (unreachable, asked) = busy(&mut fleet, 150, |fleet| {
        at_once = at_once.max(fleet.moving());
    });
    let (held, most) = (keepers(&fleet), most(&fleet));
    println!(
        "most {most} of fair {:.1}, {at_once} moved at once, {unreachable} of {asked}",
        48.0 / 9.0
    );
    assert!(
        held.values()
            .all(|of| of.iter().map(|n| n % 3).collect::<BTreeSet<_>>().len() == 3),
        "{held:?}"
    );
    assert!(
        most <= 6 && (1..=8).contains(&at_once),
        "{most} {at_once} {held:?}"
    );
    assert_eq!(unreachable, 0, "of {asked}");
    sound(&mut fleet);
}

#[test]
fn a_zone_that_returns_costs_no_rebuild_and_one_that_stays_away_is_replaced_after_its_delay() {
    let mut fleet = begun(8, 8, 12, 2);
    busy(&mut fleet, 80, |_| {});
    let settled = keepers(&fleet);
    let zone: Vec<usize> = (0..8).filter(|n| n % 3 == 1).collect();
    for stays in [false, true] {
        zone.iter().for_each(|n| fleet.kill(*n));
        // Over `repair_after` (5 s), short of `zone_after` (40 s).
        busy(&mut fleet, 30, |_| {});
        let without: BTreeMap<u16, BTreeSet<usize>> = settled
            .iter()
            .map(|(s, of)| (*s, of.iter().filter(|n| *n % 3 != 1).copied().collect()))
            .collect();
        assert_eq!(
            keepers(&fleet),
            without,
            "copies were made again though the zone may come back"
        );
        if !stays {
            // One after the other comes back; nobody is replaced meanwhile.
            for n in &zone {
                fleet.start(*n);
                busy(&mut fleet, 1, |_| {});
            }
            assert_eq!(keepers(&fleet), settled);
        }
    }
    busy(&mut fleet, 60, |_| {});
    let held = keepers(&fleet);
    assert!(
        held.values()
            .all(|of| of.len() == 3 && of.iter().all(|n| n % 3 != 1)),
        "{held:?}"
    );
    sound(&mut fleet);
}
