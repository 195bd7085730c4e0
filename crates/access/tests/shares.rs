//! Limits over the whole fleet: never more than N statements in any window of T, whatever happens
//! to fronts and messages; and the cost of a limit whose traffic is all at one front.

#[path = "common/faults.rs"]
mod faults;
#[path = "shares/sim.rs"]
mod sim;

use hallmux_access::LeaseTerms;
use sim::{terms, Sim, Tallies, DRIFT_PPM};

const RUNS: u64 = 40; // randomized runs of 90 s
const LIMITS: [(u32, i64); 4] = [
    (20, 2_000_000),
    (100, 10_000_000),
    (3, 5_000_000),
    (50, 1_000_000),
];

fn run_with_faults(seed: u64, terms_override: Option<(usize, LeaseTerms)>) -> Sim {
    let (most, window) = LIMITS[seed as usize % LIMITS.len()];
    let mut sim = Sim::new(seed, 5, most, window, terms_override);
    sim.faults = true;
    sim.run(90_000_000);
    sim
}

#[test]
fn no_window_has_more_statements_than_the_limit() {
    let mut all = Tallies::default();
    for seed in 0..RUNS {
        let sim = run_with_faults(seed, None);
        let (most, at) = sim.max_in_window();
        let (limit, tallies) = (&sim.limit, &sim.tallies);
        assert!(
            most <= limit.max_statements as usize,
            "seed {seed}: {most} from {at} on, of {limit:?}"
        );
        for (to, from) in [
            (&mut all.cuts, tallies.cuts),
            (&mut all.stalls, tallies.stalls),
            (&mut all.restarts, tallies.restarts),
            (&mut all.began, tallies.began),
            (&mut all.rejected, tallies.rejected),
        ] {
            *to += from;
        }
    }
    println!("{all:?}");
    assert!(
        all.cuts > RUNS && all.stalls > RUNS && all.restarts > RUNS && all.rejected > RUNS,
        "{all:?}"
    );
    assert!(all.began > 100 * RUNS, "{all:?}");
}

#[test]
fn the_check_detects_a_share_revoked_before_its_lease_has_ended() {
    let early = LeaseTerms {
        length: 200_000,
        drift_ppm: DRIFT_PPM,
    };
    let broken = (0..RUNS).filter(|seed| {
        let sim = run_with_faults(*seed, Some((0, early)));
        sim.max_in_window().0 > sim.limit.max_statements as usize
    });
    assert!(broken.count() > 0);
}

/// Runs all traffic at one of 40 fronts; returns the used share of the limit, and the tallies.
fn run_at_one_front(offered: f64) -> (f64, Tallies) {
    let mut sim = Sim::new(1, 40, 1_000, 10_000_000, None);
    sim.fronts[7].statements_per_second = offered * 100.0;
    sim.run(30_000_000);
    let before = sim.tallies.clone();
    sim.run(60_000_000);
    let began = sim.tallies.began - before.began;
    (began as f64 / 6_000.0, sim.tallies)
}

#[test]
fn one_front_of_forty_with_all_traffic_uses_nearly_the_whole_limit() {
    for offered in [0.5, 0.9, 1.5] {
        let (used, tallies) = run_at_one_front(offered);
        let messages_per_statement = tallies.messages as f64 / tallies.began as f64;
        println!("offered {offered} of the limit: used {used:.3}, {messages_per_statement:.4} messages a hit, {tallies:?}");
        assert!(used >= offered.min(1.0) * 0.95, "{used}");
        assert!(messages_per_statement < 0.1, "{messages_per_statement}");
        // The window is enforced with a margin for clock drift and executions in flight.
        assert!(
            tallies.needless_rejections <= tallies.rejected / 10,
            "{tallies:?}"
        );
    }
}

#[test]
fn shares_move_to_the_front_with_the_traffic() {
    let mut sim = Sim::new(3, 40, 1_000, 10_000_000, None);
    for n in 0..40 {
        sim.fronts[n].statements_per_second = 2.25;
    }
    sim.run(40_000_000);
    let first = sim.tallies.clone();
    sim.run(40_000_000);
    let spread = sim.tallies.clone();
    println!("{first:?}");
    // All traffic moves to one front at once.
    sim.fronts
        .iter_mut()
        .for_each(|front| front.statements_per_second = 0.0);
    sim.fronts[39].statements_per_second = 90.0;
    sim.run(40_000_000);
    println!("{:?}, then {:?}", spread, sim.tallies);
    let late = sim
        .begin_times
        .iter()
        .filter(|at| **at > 100_000_000)
        .count();
    println!("{late} of 1800");
    assert!(late >= 1_700, "{late}");
    assert!(sim.max_in_window().0 <= 1_000);
}

#[test]
fn the_share_of_a_lost_front_is_revoked() {
    let mut sim = Sim::new(5, 3, 100, 5_000_000, None);
    let fleet = terms();
    sim.fronts[0].statements_per_second = 40.0;
    sim.run(20_000_000);
    sim.stall_forever(0);
    sim.fronts[1].statements_per_second = 40.0;
    let lost = sim.now;
    // A read by the other fronts, the lost front's lease, and the window in which it may have spent
    // tokens.
    sim.run(2 * fleet.length + fleet.blocked_for() + 6_000_000 + 2_000_000);
    let before = sim.begin_times.len();
    sim.run(40_000_000);
    assert!(
        sim.begin_times.len() - before >= 650,
        "{} since {lost}",
        sim.begin_times.len() - before
    );
    assert!(sim.max_in_window().0 <= 100);
}
