//! Shutdowns that wait for other members of a shard, and leaders that are spread again after fronts
//! were restarted.

mod sim;

use hallmux_ledger::{Ledger, Operation, Outcome};
use sim::{Fleet, SECOND};

/// Maximum microseconds that a shutdown waits, as in the front.
const MAX_SHUTDOWN_TIME: i64 = 10 * SECOND;
/// Minimum microseconds that a front keeps running after the start of its shutdown.
const MIN_SHUTDOWN_TIME: i64 = 800_000;

fn put(value: u64) -> Operation {
    Operation::Put {
        expects: None,
        ends_ms: 0,
        value: value.to_be_bytes().to_vec(),
    }
}

/// Shuts down two fronts at once under load; each restarts a second after it stopped. Returns the
/// number of unreachable requests and how long the later shutdown took.
fn shut_down_two(fleet: &mut Fleet, fronts: [usize; 2], waits_for_quorum: bool) -> (usize, i64) {
    let (since, first) = (fleet.now, fleet.history.requests.len());
    fronts.iter().for_each(|n| fleet.begin_shutdown(*n));
    let (mut restart_at, mut elapsed) = ([i64::MAX; 2], 0);
    while restart_at.iter().any(|at| *at > fleet.now) {
        let value = fleet.history.requests.len() as u64;
        let n = value as usize % fleet.fronts.len();
        if fleet.is_up(n) {
            fleet.submit(n, &format!("e{}", value % 64), put(value));
        }
        fleet.run(fleet.now + 10_000);
        for (n, restart_at) in fronts.into_iter().zip(&mut restart_at) {
            let (at, running_time) = (fleet.clock(n), fleet.now - since);
            let needed = |ledger: &Ledger| {
                waits_for_quorum
                    && ledger.is_needed_for_quorum(at)
                    && running_time < MAX_SHUTDOWN_TIME
            };
            let may_stop = running_time >= MIN_SHUTDOWN_TIME
                && fleet.fronts[n]
                    .ledger
                    .as_ref()
                    .is_some_and(|ledger| !needed(ledger));
            if *restart_at == i64::MAX && may_stop {
                (*restart_at, elapsed) = (fleet.now + SECOND, running_time);
                fleet.kill(n);
            }
            if *restart_at <= fleet.now && fleet.fronts[n].ledger.is_none() {
                fleet.start(n);
            }
        }
    }
    fleet.run(fleet.now + 2 * SECOND);
    let unreachable_counts = fleet.history.requests[first..]
        .iter()
        .filter_map(|op| op.answer.as_ref());
    (
        unreachable_counts
            .filter(|(_, outcome)| *outcome == Outcome::Unreachable)
            .count(),
        elapsed,
    )
}

#[test]
fn a_shutdown_waits_while_a_shard_would_have_no_quorum_without_it() {
    let mut unreachable_counts = [0; 2];
    for seed in 1..=3 {
        for waits_for_quorum in [false, true] {
            let mut fleet = Fleet::new(6, 3, 16, seed);
            fleet.setup.repair_after = 30 * SECOND;
            fleet.restart_with_empty_disks(6);
            assert!(fleet.run_until(20 * SECOND, Fleet::is_fully_replicated));
            // These fronts are in two zones, so they hold some shards together.
            let (unreachable, elapsed) = shut_down_two(&mut fleet, [1, 2], waits_for_quorum);
            println!(
                "seed {seed}, waits for the quorum: {waits_for_quorum}: {unreachable} unreachable, the later shutdown took {} ms",
                elapsed / 1_000
            );
            unreachable_counts[usize::from(waits_for_quorum)] += unreachable;
            assert!(elapsed < 4 * SECOND, "{elapsed}");
            assert!(fleet.history.violations().is_empty());
        }
    }
    assert!(
        unreachable_counts[0] > 0 && unreachable_counts[1] == 0,
        "{unreachable_counts:?}"
    );
}

/// The number of shards that each front leads.
fn led_shards(fleet: &Fleet) -> Vec<usize> {
    let led_shards = |ledger: &Ledger| {
        ledger
            .replicas()
            .filter(|replica| replica.is_leader)
            .count()
    };
    fleet
        .fronts
        .iter()
        .map(|front| front.ledger.as_ref().map_or(0, led_shards))
        .collect()
}

fn check_leader_spread(fronts: usize, shards: u16, restarted: usize) {
    let mut fleet = Fleet::new(fronts, 3, shards, 9);
    fleet.setup.repair_after = 60 * SECOND;
    fleet.restart_with_empty_disks(fronts);
    assert!(fleet.run_until(20 * SECOND, Fleet::is_fully_replicated));
    for n in 0..restarted {
        fleet.begin_shutdown(n);
        fleet.run(fleet.now + SECOND);
        fleet.kill(n);
        fleet.run(fleet.now + SECOND);
        fleet.start(n);
        fleet.run(fleet.now + SECOND);
    }
    let max_led = |fleet: &Fleet| led_shards(fleet).into_iter().max().unwrap_or(0);
    let (after, since) = (max_led(&fleet), fleet.now);
    // A quarter more than the fair share, or the share rounded up to whole shards.
    let bound = (usize::from(shards) * 5 / 4 / fronts).max(usize::from(shards).div_ceil(fronts));
    let is_balanced = fleet.run_until(60 * SECOND, |fleet| {
        fleet.is_fully_replicated() && max_led(fleet) <= bound
    });
    println!(
        "{fronts} fronts, {shards} shards, {restarted} restarted: at most {after} led, then {} of {bound}, after {} ms",
        max_led(&fleet),
        (fleet.now - since) / 1_000
    );
    assert!(is_balanced, "{:?}", led_shards(&fleet));
    fleet.run(fleet.now + 5 * SECOND);
    assert!(max_led(&fleet) <= bound, "{:?}", led_shards(&fleet));
}

#[test]
fn no_front_leads_more_than_125_percent_of_its_share_after_restarts() {
    check_leader_spread(5, 16, 5);
    check_leader_spread(5, 64, 5);
    check_leader_spread(40, 128, 8);
}
