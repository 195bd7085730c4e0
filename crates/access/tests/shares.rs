//! Limits over the whole fleet: never more than N in any window of T, whatever happens to fronts and messages; and what
//! a limit costs where all its traffic is at one front.

#[path = "common/faults.rs"]
mod faults;
#[path = "shares/sim.rs"]
mod sim;

use hallmux_access::LeaseTerms;
use sim::{terms, Sim, Tallies, DRIFT_PPM};

const RUNS: u64 = 40; // drawn runs of 90 s
const LIMITS: [(u32, i64); 4] = [
    (20, 2_000_000),
    (100, 10_000_000),
    (3, 5_000_000),
    (50, 1_000_000),
];

fn drawn(seed: u64, odd: Option<(usize, LeaseTerms)>) -> Sim {
    let (most, window) = LIMITS[seed as usize % LIMITS.len()];
    let mut sim = Sim::new(seed, 5, most, window, odd);
    sim.faults = true;
    sim.run(90_000_000);
    sim
}

#[test]
fn never_more_than_the_limit_begin_in_any_window() {
    let mut all = Tallies::default();
    for seed in 0..RUNS {
        let sim = drawn(seed, None);
        let (most, at) = sim.most();
        let (limit, tallies) = (&sim.limit, &sim.tallies);
        assert!(
            most <= limit.most as usize,
            "seed {seed}: {most} from {at} on, of {limit:?}"
        );
        for (to, from) in [
            (&mut all.cuts, tallies.cuts),
            (&mut all.stalls, tallies.stalls),
            (&mut all.restarts, tallies.restarts),
            (&mut all.began, tallies.began),
            (&mut all.refused, tallies.refused),
        ] {
            *to += from;
        }
    }
    println!("{all:?}");
    assert!(
        all.cuts > RUNS && all.stalls > RUNS && all.restarts > RUNS && all.refused > RUNS,
        "{all:?}"
    );
    assert!(all.began > 100 * RUNS, "{all:?}");
}

#[test]
fn a_share_taken_back_before_its_lease_has_ended_breaks_the_limit_and_the_check_sees_it() {
    let early = LeaseTerms {
        length: 200_000,
        drift_ppm: DRIFT_PPM,
    };
    let broken = (0..RUNS).filter(|seed| {
        let sim = drawn(*seed, Some((0, early)));
        sim.most().0 > sim.limit.most as usize
    });
    assert!(broken.count() > 0);
}

/// All traffic at one front of 40: the share of the limit that is used, and what it costs.
fn at_one(offered: f64) -> (f64, Tallies) {
    let mut sim = Sim::new(1, 40, 1_000, 10_000_000, None);
    sim.fronts[7].asked = offered * 100.0;
    sim.run(30_000_000);
    let before = sim.tallies.clone();
    sim.run(60_000_000);
    let began = sim.tallies.began - before.began;
    (began as f64 / 6_000.0, sim.tallies)
}

#[test]
fn one_front_of_forty_uses_nearly_all_of_the_limit_when_all_traffic_is_there() {
    for offered in [0.5, 0.9, 1.5] {
        let (used, tallies) = at_one(offered);
        let a_hit = tallies.messages as f64 / tallies.began as f64;
        println!("offered {offered} of the limit: used {used:.3}, {a_hit:.4} messages a hit, {tallies:?}");
        assert!(used >= offered.min(1.0) * 0.95, "{used}");
        assert!(a_hit < 0.1, "{a_hit}");
        // The window is measured a little longer, for clocks and for what is on its way.
        assert!(tallies.not_needed <= tallies.refused / 10, "{tallies:?}");
    }
}

#[test]
fn shares_move_to_where_the_traffic_goes() {
    let mut sim = Sim::new(3, 40, 1_000, 10_000_000, None);
    for n in 0..40 {
        sim.fronts[n].asked = 2.25;
    }
    sim.run(40_000_000);
    let first = sim.tallies.clone();
    sim.run(40_000_000);
    let spread = sim.tallies.clone();
    println!("{first:?}");
    // From one moment to the next all of it comes to one front.
    sim.fronts.iter_mut().for_each(|front| front.asked = 0.0);
    sim.fronts[39].asked = 90.0;
    sim.run(40_000_000);
    println!("{:?}, then {:?}", spread, sim.tallies);
    let late = sim.began.iter().filter(|at| **at > 100_000_000).count();
    println!("{late} of 1800");
    assert!(late >= 1_700, "{late}");
    assert!(sim.most().0 <= 1_000);
}

#[test]
fn a_lost_front_has_its_share_taken_back() {
    let mut sim = Sim::new(5, 3, 100, 5_000_000, None);
    let fleet = terms();
    sim.fronts[0].asked = 40.0;
    sim.run(20_000_000);
    sim.lose(0);
    sim.fronts[1].asked = 40.0;
    let lost = sim.now;
    // A look of the others, the lost front's lease, and the window that it may have spent.
    sim.run(2 * fleet.length + fleet.blocked_for() + 6_000_000 + 2_000_000);
    let before = sim.began.len();
    sim.run(40_000_000);
    assert!(
        sim.began.len() - before >= 650,
        "{} since {lost}",
        sim.began.len() - before
    );
    assert!(sim.most().0 <= 100);
}
