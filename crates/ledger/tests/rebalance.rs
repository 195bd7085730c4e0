//! Shards follow the members: fronts join and are lost, zones go away and come back, and requests
//! are answered meanwhile.

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

/// The holders of each shard in the latest configuration that any running front holds.
fn holders(fleet: &Fleet) -> BTreeMap<u16, BTreeSet<usize>> {
    let mut latest: BTreeMap<u16, (u32, BTreeSet<usize>)> = BTreeMap::new();
    for n in (0..fleet.fronts.len()).filter(|n| fleet.is_up(*n)) {
        for ReplicaStatus { shard, config, .. } in
            fleet.fronts[n].ledger.iter().flat_map(Ledger::replicas)
        {
            let fronts = latest.entry(shard).or_default();
            if fronts.0 < config {
                *fronts = (config, BTreeSet::new());
            }
            if fronts.0 == config {
                fronts.1.insert(n);
            }
        }
    }
    latest
        .into_iter()
        .map(|(shard, (_, fronts))| (shard, fronts))
        .collect()
}

fn max_load(fleet: &Fleet) -> usize {
    let holders_now = holders(fleet);
    (0..fleet.fronts.len())
        .map(|n| {
            holders_now
                .values()
                .filter(|fronts| fronts.contains(&n))
                .count()
        })
        .max()
        .unwrap_or(0)
}

fn start_fleet(fronts: usize, members: usize, shards: u16, seed: u64) -> Fleet {
    let mut fleet = Fleet::new(fronts, 3, shards, seed);
    fleet.setup.members.truncate(members);
    (
        fleet.setup.max_moving_percent,
        fleet.setup.zone_repair_after,
    ) = (50, 40 * SECOND);
    (fleet.setup.repair_bytes_per_s, fleet.setup.max_shard_bytes) = (65_536, 32_768);
    fleet.setup.clock_skew_ms = 200;
    fleet.restart_with_empty_disks(members);
    assert!(fleet.run_until(10 * SECOND, Fleet::is_fully_replicated));
    fleet
}

/// Reports the actual health of all fronts to each front, as gossip does.
fn report_health(fleet: &mut Fleet) {
    let (up, away): (Vec<usize>, Vec<usize>) =
        (0..fleet.fronts.len()).partition(|n| fleet.is_up(*n));
    fleet.set_health(&up, &away);
}

/// Submits writes continuously; returns the numbers of unreachable and of all requests.
fn run_under_load(
    fleet: &mut Fleet,
    seconds: i64,
    mut each: impl FnMut(&mut Fleet),
) -> (usize, usize) {
    let until = fleet.now + seconds * SECOND;
    let (mut k, mut submitted) = (0, Vec::new());
    while fleet.now < until {
        k += 1;
        let n = k % fleet.fronts.len();
        if fleet.is_up(n) {
            // The value identifies the request.
            let (key, value) = (
                format!("r{}", k % 40),
                1_000 + fleet.history.requests.len() as u64,
            );
            submitted.push((
                n,
                fleet.fronts[n].incarnation,
                fleet.submit(n, &key, put(value)),
            ));
        }
        fleet.run(fleet.now + 50_000);
        report_health(fleet);
        each(fleet);
    }
    fleet.run(fleet.now + SECOND);
    let is_unreachable = |(n, incarnation, number): &&(usize, u64, u64)| {
        fleet.history.outcome(*n, *incarnation, *number) == Some(&Outcome::Unreachable)
    };
    (
        submitted.iter().filter(is_unreachable).count(),
        submitted.len(),
    )
}

fn assert_no_violations(fleet: &mut Fleet) {
    for k in 0..40 {
        let n = (0..fleet.fronts.len()).find(|n| fleet.is_up(*n)).unwrap();
        fleet.request_until_answered(n, &format!("r{k}"), Operation::Read);
    }
    let violations = fleet.history.violations();
    assert!(violations.is_empty(), "{violations:#?}");
}

#[test]
fn joining_fronts_take_their_share_without_unanswered_requests_or_a_second_start_of_a_shard() {
    let mut fleet = start_fleet(9, 4, 16, 1);
    for k in 0..40 {
        fleet.request_until_answered(0, &format!("r{k}"), put(k));
    }
    // The list names five more fronts; the new fronts read it before the others.
    fleet.setup.members = Fleet::members(9);
    (4..9).for_each(|n| fleet.start(n));
    fleet.run(fleet.now + 5 * SECOND);
    assert!(holders(&fleet)
        .values()
        .all(|fronts| fronts.iter().all(|n| *n < 4)));
    fleet.set_members(Fleet::members(9));
    let mut max_moving = 0;
    let (unreachable, submitted) = run_under_load(&mut fleet, 150, |fleet| {
        max_moving = max_moving.max(fleet.moving_replicas());
    });
    let (holders_now, max_load) = (holders(&fleet), max_load(&fleet));
    println!(
        "max load {max_load} of fair share {:.1}, {max_moving} moved at once, {unreachable} of {submitted} unreachable",
        48.0 / 9.0
    );
    assert!(
        holders_now.values().all(|fronts| fronts
            .iter()
            .map(|n| n % 3)
            .collect::<BTreeSet<_>>()
            .len()
            == 3),
        "{holders_now:?}"
    );
    assert!(
        max_load <= 6 && (1..=8).contains(&max_moving),
        "{max_load} {max_moving} {holders_now:?}"
    );
    assert_eq!(unreachable, 0, "of {submitted}");
    assert_no_violations(&mut fleet);
}

#[test]
fn a_returning_zone_causes_no_rebuild_and_an_absent_one_is_replaced_after_its_delay() {
    let mut fleet = start_fleet(8, 8, 12, 2);
    run_under_load(&mut fleet, 80, |_| {});
    let settled = holders(&fleet);
    let zone: Vec<usize> = (0..8).filter(|n| n % 3 == 1).collect();
    for stays_away in [false, true] {
        zone.iter().for_each(|n| fleet.kill(*n));
        // Longer than `repair_after` (5 s), shorter than `zone_repair_after` (40 s).
        run_under_load(&mut fleet, 30, |_| {});
        let without: BTreeMap<u16, BTreeSet<usize>> = settled
            .iter()
            .map(|(s, fronts)| (*s, fronts.iter().filter(|n| *n % 3 != 1).copied().collect()))
            .collect();
        assert_eq!(
            holders(&fleet),
            without,
            "replicas were rebuilt although the zone may come back"
        );
        if !stays_away {
            // The fronts come back one after the other, and none is replaced meanwhile.
            for n in &zone {
                fleet.start(*n);
                run_under_load(&mut fleet, 1, |_| {});
            }
            assert_eq!(holders(&fleet), settled);
        }
    }
    run_under_load(&mut fleet, 60, |_| {});
    let holders_now = holders(&fleet);
    assert!(
        holders_now
            .values()
            .all(|fronts| fronts.len() == 3 && fronts.iter().all(|n| n % 3 != 1)),
        "{holders_now:?}"
    );
    assert_no_violations(&mut fleet);
}
