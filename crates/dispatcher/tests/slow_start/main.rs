//! A server in slow start gets from all processes together at most what the settings allow it by then and a little
//! for chance, whatever they know of each other and of their own earlier lives: fleets of dispatchers in simulated time.
//!
//! Read strictly: N goes by what the engine can do as the window begins, the least in it; all that is sent there
//! counts, also what is refused, turned away or sent before its process knew of the start.

mod fleet;
mod shape;

use fleet::{Fleet, Push};
use shape::{bound, Arrives, Chance, Deed, Demand, Shape, SECOND, START};

const FLEETS: [usize; 6] = [1, 2, 3, 5, 12, 30];
const SEEDS: u64 = 3; // of each three one with short statements
const MANY: u64 = 12; // for what breaks seldom
const CRASHES: i64 = 6; // of each process in one window, over two windows

/// The window fullest against its bound: its share of the bound, the calls in it, and those allowed.
fn fullest(shape: &Shape, pushes: &[Push]) -> (f64, f64, f64) {
    let (mut worst, mut first, mut inside) = ((0.0, 0.0, 0.0), 0, 0.0);
    for push in pushes {
        inside += push.calls;
        while pushes[first].at <= push.at - shape.fall {
            inside -= pushes[first].calls;
            first += 1;
        }
        let allowed = shape.calls((push.at - shape.fall).max(START));
        let share = inside / bound(allowed);
        worst = if share > worst.0 {
            (share, inside, allowed)
        } else {
            worst
        };
    }
    worst
}

/// Plays each fleet with each seed; prints the worst of each and how much of what is allowed was used.
fn holds(name: &str, seeds: u64, change: impl Fn(&mut Shape, &mut Chance)) {
    let mut broken = Vec::new();
    for processes in FLEETS {
        let (mut worst, mut used, mut answered) = ((0.0, 0.0, 0.0), 0.0, 0);
        for seed in 0..seeds {
            let named = name
                .bytes()
                .fold(0, |all: u64, byte| all.wrapping_mul(31) + u64::from(byte));
            let mut chance = Chance::new((named % 1_000_000 + seed) * 100 + processes as u64);
            let mut shape = Shape::draw(&mut chance, processes, seed % 3 > 0);
            change(&mut shape, &mut chance);
            let (pushed, done) = Fleet::new(&shape, chance.number()).play();
            answered += done;
            for pushes in &pushed {
                let found = fullest(&shape, pushes);
                worst = if found.0 > worst.0 { found } else { worst };
                used += pushes.iter().map(|p| p.calls).sum::<f64>()
                    / shape.calls_in_all()
                    / pushed.len() as f64;
                if found.0 > 1.0 {
                    let untold = pushes.iter().filter(|p| !p.told).count();
                    let (calls, allowed) = (found.1, found.2);
                    broken.push(format!(
                        "seed {seed}, {calls:.1} of {allowed:.1}, {untold} untold: {shape:?}"
                    ));
                }
            }
        }
        let (share, calls, allowed) = worst;
        let used = used / seeds as f64;
        println!(
            "{name}, {processes} processes: worst {share:.2} ({calls:.1} calls, N {allowed:.1}), used {used:.2}"
        );
        assert!(answered > 0, "{name}: nothing was answered");
    }
    assert!(
        broken.is_empty(),
        "{name}: {} broken\n{}",
        broken.len(),
        broken.join("\n")
    );
}

/// Each process learns of the start some time within so many seconds.
fn told_within(shape: &mut Shape, chance: &mut Chance, seconds: i64) {
    shape
        .told
        .iter_mut()
        .for_each(|told| *told = chance.within(seconds * SECOND));
}

/// All restart once or twice: at one time, or one after another.
fn restarts(shape: &mut Shape, chance: &mut Chance, together: bool) {
    let first = START + chance.one_of(&[10_000, 200_000, SECOND, shape.warm / 3]);
    let gap = chance.one_of(&[200_000, SECOND, shape.fall]);
    for p in 0..shape.processes {
        let after = if together {
            0
        } else {
            chance.within(2 * SECOND)
        };
        let away = chance.one_of(&[0, 50_000, 300_000]);
        shape.restarts.push((p, first + after, away));
        if chance.share() < 0.5 {
            shape.restarts.push((p, first + after + away + gap, away));
        }
    }
}

#[test]
fn a_new_engine_that_all_learn_of_at_once() {
    holds("new", SEEDS, |_, _| {});
}

#[test]
fn a_new_engine_that_each_learns_of_at_a_time_of_its_own() {
    holds("told apart", SEEDS, |shape, chance| {
        told_within(shape, chance, 7)
    });
}

#[test]
fn a_burst_that_begins_with_the_start() {
    holds("burst", SEEDS, |shape, chance| {
        shape.demand = Demand::Burst(chance.one_of(&[0, 100_000, SECOND]))
    });
}

#[test]
fn a_burst_upon_an_idle_fleet_while_an_engine_warms_up() {
    holds("late burst", SEEDS, |shape, chance| {
        shape.demand = Demand::Burst(2 * SECOND + chance.within(shape.warm / 2));
    });
}

#[test]
fn all_processes_restart_at_once() {
    holds("restart at once", SEEDS, |shape, chance| {
        restarts(shape, chance, true)
    });
}

#[test]
fn processes_restart_with_an_old_list() {
    holds("restart, old list", SEEDS, |shape, chance| {
        told_within(shape, chance, 7);
        shape.old_list = true;
        restarts(shape, chance, true);
    });
}

#[test]
fn processes_restart_one_after_another() {
    holds("restart apart", SEEDS, |shape, chance| {
        restarts(shape, chance, false)
    });
}

#[test]
fn processes_that_crash_again_and_again_under_a_burst() {
    holds("crash again and again", MANY, |shape, chance| {
        shape.demand = Demand::Burst(0);
        let first = START + chance.one_of(&[10_000, 200_000, SECOND]);
        let life = shape.fall / CRASHES;
        for p in 0..shape.processes {
            let after = chance.within(life / 4);
            (0..2 * CRASHES).for_each(|n| {
                shape
                    .restarts
                    .push((p, first + after + n * life, life / 20))
            });
        }
    });
}

#[test]
fn an_engine_that_turns_all_away() {
    holds("turns away", SEEDS, |shape, _| shape.deed = Deed::TurnsAway);
}

#[test]
fn an_engine_that_answers_nothing_for_seconds() {
    holds("silent", SEEDS, |shape, _| shape.deed = Deed::Silent);
}

#[test]
fn an_engine_that_refuses_connections_for_seconds() {
    holds("refuses", SEEDS, |shape, _| shape.deed = Deed::Refuses);
}

#[test]
fn an_engine_that_comes_back_under_its_id() {
    holds("comes back", SEEDS, |shape, chance| {
        shape.arrives = Arrives::Again;
        told_within(shape, chance, 7);
    });
}

#[test]
fn several_engines_that_start_together() {
    holds("several", SEEDS, |shape, chance| {
        shape.colds = 3;
        shape.deed = chance.one_of(&[Deed::Answers, Deed::TurnsAway]);
        told_within(shape, chance, 2);
    });
}

#[test]
fn long_statements_among_short_ones() {
    holds("long and short", MANY, |shape, chance| {
        shape.long = 0.15;
        shape.demand =
            chance.one_of(&[Demand::Steady, Demand::Burst(0), Demand::Burst(3 * SECOND)]);
    });
}

#[test]
fn statements_without_an_estimate_of_their_work() {
    holds("untold work", SEEDS, |shape, chance| {
        shape.told_work = false;
        if chance.share() < 0.5 {
            restarts(shape, chance, true);
        }
    });
}

#[test]
fn a_burst_of_statements_without_an_estimate() {
    holds("untold burst", SEEDS, |shape, chance| {
        shape.told_work = false;
        shape.demand = Demand::Burst(chance.one_of(&[0, SECOND, 3 * SECOND]));
    });
}

#[test]
fn everything_together() {
    holds("all together", SEEDS, |shape, chance| {
        shape.told_work = chance.share() < 0.7;
        shape.arrives = chance.one_of(&[Arrives::New, Arrives::Again]);
        shape.deed = chance.one_of(&[Deed::Answers, Deed::TurnsAway, Deed::Silent, Deed::Refuses]);
        shape.demand =
            chance.one_of(&[Demand::Steady, Demand::Burst(0), Demand::Burst(3 * SECOND)]);
        told_within(shape, chance, 7);
        shape.old_list = chance.share() < 0.5;
        let together = chance.share() < 0.5;
        restarts(shape, chance, together);
    });
}

#[test]
fn an_engine_that_falls_and_comes_back_unannounced() {
    holds("unannounced", SEEDS, |shape, chance| {
        shape.arrives = Arrives::Unannounced;
        told_within(shape, chance, 7);
    });
}
