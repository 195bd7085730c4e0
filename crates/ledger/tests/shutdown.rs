//! Ends that wait for others of a shard's members, and owners that are spread again after fronts have ended.

mod sim;

use hallmux_ledger::{Ledger, Operation, Outcome};
use sim::{Fleet, SECOND};

const MOST: i64 = 10 * SECOND; // that an end waits, as the front does
const DOOR: i64 = 800_000; // microseconds that a front runs on at least

fn put(value: u64) -> Operation {
    Operation::Put {
        expects: None,
        ends_ms: 0,
        value: value.to_be_bytes().to_vec(),
    }
}

/// Two fronts are told to end at once, all the while asked; each comes back a second after its end. Asks that
/// nobody answered, and how long the later end took.
fn two_end(fleet: &mut Fleet, two: [usize; 2], waits: bool) -> (usize, i64) {
    let (since, first) = (fleet.now, fleet.record.ops.len());
    two.iter().for_each(|n| fleet.begin_shutdown(*n));
    let (mut back, mut took) = ([i64::MAX; 2], 0);
    while back.iter().any(|at| *at > fleet.now) {
        let value = fleet.record.ops.len() as u64;
        let n = value as usize % fleet.fronts.len();
        if fleet.is_up(n) {
            fleet.ask(n, &format!("e{}", value % 64), put(value));
        }
        fleet.run(fleet.now + 10_000);
        for (n, back) in two.into_iter().zip(&mut back) {
            let (at, ran) = (fleet.at(n), fleet.now - since);
            let needed = |ledger: &Ledger| waits && ledger.is_needed_for_quorum(at) && ran < MOST;
            let ends = ran >= DOOR
                && fleet.fronts[n]
                    .ledger
                    .as_ref()
                    .is_some_and(|ledger| !needed(ledger));
            if *back == i64::MAX && ends {
                (*back, took) = (fleet.now + SECOND, ran);
                fleet.kill(n);
            }
            if *back <= fleet.now && fleet.fronts[n].ledger.is_none() {
                fleet.start(n);
            }
        }
    }
    fleet.run(fleet.now + 2 * SECOND);
    let refused = fleet.record.ops[first..]
        .iter()
        .filter_map(|op| op.done.as_ref());
    (
        refused
            .filter(|(_, outcome)| *outcome == Outcome::Unreachable)
            .count(),
        took,
    )
}

#[test]
fn a_shutdown_waits_while_a_shard_would_have_no_quorum_without_it() {
    let mut refused = [0; 2];
    for seed in 1..=3 {
        for waits in [false, true] {
            let mut fleet = Fleet::new(6, 3, 16, seed);
            fleet.setup.repair_after = 30 * SECOND;
            fleet.start_anew(6);
            assert!(fleet.run_until(20 * SECOND, Fleet::is_whole));
            // Of two zones: they keep shards together.
            let (unreachable, took) = two_end(&mut fleet, [1, 2], waits);
            println!(
                "seed {seed}, waits: {waits}: {unreachable} unreachable, the later end took {} ms",
                took / 1_000
            );
            refused[usize::from(waits)] += unreachable;
            assert!(took < 4 * SECOND, "{took}");
            assert!(fleet.record.faults().is_empty());
        }
    }
    assert!(refused[0] > 0 && refused[1] == 0, "{refused:?}");
}

/// Shards that each front owns.
fn owned(fleet: &Fleet) -> Vec<usize> {
    let owned = |ledger: &Ledger| {
        ledger
            .replicas()
            .filter(|replica| replica.is_leader)
            .count()
    };
    fleet
        .fronts
        .iter()
        .map(|front| front.ledger.as_ref().map_or(0, owned))
        .collect()
}

fn spread(fronts: usize, shards: u16, ended: usize) {
    let mut fleet = Fleet::new(fronts, 3, shards, 9);
    fleet.setup.repair_after = 60 * SECOND;
    fleet.start_anew(fronts);
    assert!(fleet.run_until(20 * SECOND, Fleet::is_whole));
    for n in 0..ended {
        fleet.begin_shutdown(n);
        fleet.run(fleet.now + SECOND);
        fleet.kill(n);
        fleet.run(fleet.now + SECOND);
        fleet.start(n);
        fleet.run(fleet.now + SECOND);
    }
    let most = |fleet: &Fleet| owned(fleet).into_iter().max().unwrap_or(0);
    let (after, since) = (most(&fleet), fleet.now);
    // A quarter over the fair part, or the part in whole shards.
    let bound = (usize::from(shards) * 5 / 4 / fronts).max(usize::from(shards).div_ceil(fronts));
    let whole = fleet.run_until(60 * SECOND, |fleet| {
        fleet.is_whole() && most(fleet) <= bound
    });
    println!(
        "{fronts} fronts, {shards} shards, {ended} ended: at most {after} owned, then {} of {bound}, after {} ms",
        most(&fleet),
        (fleet.now - since) / 1_000
    );
    assert!(whole, "{:?}", owned(&fleet));
    fleet.run(fleet.now + 5 * SECOND);
    assert!(most(&fleet) <= bound, "{:?}", owned(&fleet));
}

#[test]
fn no_front_leads_over_its_fair_part_and_a_quarter_once_restarted_fronts_are_back() {
    spread(5, 16, 5);
    spread(5, 64, 5);
    spread(40, 128, 8);
}
