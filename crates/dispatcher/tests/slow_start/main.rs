//! Simulates fleets of dispatchers and checks that an engine in slow start receives from all
//! processes together at most the N calls that the settings allow, plus a margin for random
//! arrivals, whatever the processes know of each other and of their own earlier incarnations.
//!
//! The bound is applied strictly: N follows from the engine's capacity at the start of the window,
//! its lowest in the window. Everything sent to the engine counts, including calls that are
//! refused, rejected, or sent before their process knew of the start.

mod fleet;
mod parameters;

use fleet::{Fleet, SentCall};
use parameters::{call_bound, Arrival, Behaviour, Demand, Parameters, Random, SECOND, START};

const FLEET_SIZES: [usize; 6] = [1, 2, 3, 5, 12, 30];
const SEEDS: u64 = 3; // one in three draws short statements
const SEEDS_FOR_RARE_FAULTS: u64 = 12; // for cases that break the bound rarely
const CRASHES_PER_WINDOW: i64 = 6; // of each process, during two windows

/// The window that uses most of its bound: the share of the bound, the calls in the window, and the
/// calls allowed.
fn fullest_window(parameters: &Parameters, sent_calls: &[SentCall]) -> (f64, f64, f64) {
    let (mut worst, mut first, mut calls_inside) = ((0.0, 0.0, 0.0), 0, 0.0);
    for sent in sent_calls {
        calls_inside += sent.calls;
        while sent_calls[first].at <= sent.at - parameters.window {
            calls_inside -= sent_calls[first].calls;
            first += 1;
        }
        let allowed = parameters.allowed_calls((sent.at - parameters.window).max(START));
        let share = calls_inside / call_bound(allowed);
        worst = if share > worst.0 {
            (share, calls_inside, allowed)
        } else {
            worst
        };
    }
    worst
}

/// Simulates each fleet size with each seed and asserts the bound. Prints the fullest window of
/// each fleet size and the share of the allowed calls that was used. The name also seeds the random
/// draws.
fn assert_bound(name: &str, seeds: u64, change: impl Fn(&mut Parameters, &mut Random)) {
    let mut violations = Vec::new();
    for processes in FLEET_SIZES {
        let (mut worst, mut used, mut answered) = ((0.0, 0.0, 0.0), 0.0, 0);
        for seed in 0..seeds {
            let name_hash = name
                .bytes()
                .fold(0, |hash: u64, byte| hash.wrapping_mul(31) + u64::from(byte));
            let mut random = Random::new((name_hash % 1_000_000 + seed) * 100 + processes as u64);
            let mut parameters = Parameters::draw(&mut random, processes, seed % 3 > 0);
            change(&mut parameters, &mut random);
            let (calls_by_engine, answers) = Fleet::new(&parameters, random.next_u64()).run();
            answered += answers;
            for sent_calls in &calls_by_engine {
                let found = fullest_window(&parameters, sent_calls);
                worst = if found.0 > worst.0 { found } else { worst };
                used += sent_calls.iter().map(|call| call.calls).sum::<f64>()
                    / parameters.total_allowed_calls()
                    / calls_by_engine.len() as f64;
                if found.0 > 1.0 {
                    let unaware = sent_calls.iter().filter(|call| !call.knew_start).count();
                    let (calls, allowed) = (found.1, found.2);
                    violations.push(format!(
                        "seed {seed}, {calls:.1} of {allowed:.1}, {unaware} unaware: {parameters:?}"
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
        violations.is_empty(),
        "{name}: {} violations\n{}",
        violations.len(),
        violations.join("\n")
    );
}

/// Lets each process learn of the start at a random time within `seconds`.
fn learn_within(parameters: &mut Parameters, random: &mut Random, seconds: i64) {
    parameters
        .learned_after
        .iter_mut()
        .for_each(|learned_after| *learned_after = random.below(seconds * SECOND));
}

/// Restarts each process once or twice, all at one time or one after another.
fn add_restarts(parameters: &mut Parameters, random: &mut Random, at_once: bool) {
    let first = START + random.choose(&[10_000, 200_000, SECOND, parameters.warm_up_time / 3]);
    let gap = random.choose(&[200_000, SECOND, parameters.window]);
    for process_index in 0..parameters.processes {
        let delay = if at_once { 0 } else { random.below(2 * SECOND) };
        let downtime = random.choose(&[0, 50_000, 300_000]);
        parameters
            .restarts
            .push((process_index, first + delay, downtime));
        if random.unit() < 0.5 {
            parameters
                .restarts
                .push((process_index, first + delay + downtime + gap, downtime));
        }
    }
}

#[test]
fn bound_holds_for_a_new_engine_that_all_processes_learn_of_at_once() {
    assert_bound("new", SEEDS, |_, _| {});
}

#[test]
fn bound_holds_for_a_new_engine_that_processes_learn_of_at_different_times() {
    assert_bound("told apart", SEEDS, |parameters, random| {
        learn_within(parameters, random, 7)
    });
}

#[test]
fn bound_holds_for_a_burst_that_begins_near_the_start() {
    assert_bound("burst", SEEDS, |parameters, random| {
        parameters.demand = Demand::Burst(random.choose(&[0, 100_000, SECOND]))
    });
}

#[test]
fn bound_holds_for_a_burst_on_an_idle_fleet_during_warm_up() {
    assert_bound("late burst", SEEDS, |parameters, random| {
        parameters.demand = Demand::Burst(2 * SECOND + random.below(parameters.warm_up_time / 2));
    });
}

#[test]
fn bound_holds_when_all_processes_restart_at_once() {
    assert_bound("restart at once", SEEDS, |parameters, random| {
        add_restarts(parameters, random, true)
    });
}

#[test]
fn bound_holds_when_processes_restart_with_an_old_engine_list() {
    assert_bound("restart, old list", SEEDS, |parameters, random| {
        learn_within(parameters, random, 7);
        parameters.has_stale_list = true;
        add_restarts(parameters, random, true);
    });
}

#[test]
fn bound_holds_when_processes_restart_one_after_another() {
    assert_bound("restart apart", SEEDS, |parameters, random| {
        add_restarts(parameters, random, false)
    });
}

#[test]
fn bound_holds_when_processes_crash_repeatedly_during_a_burst() {
    assert_bound(
        "crash again and again",
        SEEDS_FOR_RARE_FAULTS,
        |parameters, random| {
            parameters.demand = Demand::Burst(0);
            let first = START + random.choose(&[10_000, 200_000, SECOND]);
            let lifetime = parameters.window / CRASHES_PER_WINDOW;
            for process_index in 0..parameters.processes {
                let delay = random.below(lifetime / 4);
                (0..2 * CRASHES_PER_WINDOW).for_each(|n| {
                    parameters.restarts.push((
                        process_index,
                        first + delay + n * lifetime,
                        lifetime / 20,
                    ))
                });
            }
        },
    );
}

#[test]
fn bound_holds_for_an_engine_that_rejects_every_execution() {
    assert_bound("turns away", SEEDS, |parameters, _| {
        parameters.behaviour = Behaviour::Rejects
    });
}

#[test]
fn bound_holds_for_an_engine_that_is_silent_for_seconds() {
    assert_bound("silent", SEEDS, |parameters, _| {
        parameters.behaviour = Behaviour::Silent
    });
}

#[test]
fn bound_holds_for_an_engine_that_refuses_connections_for_seconds() {
    assert_bound("refuses", SEEDS, |parameters, _| {
        parameters.behaviour = Behaviour::RefusesConnections
    });
}

#[test]
fn bound_holds_for_an_engine_that_returns_under_its_id() {
    assert_bound("comes back", SEEDS, |parameters, random| {
        parameters.arrival = Arrival::Relisted;
        learn_within(parameters, random, 7);
    });
}

#[test]
fn bound_holds_for_several_engines_that_start_together() {
    assert_bound("several", SEEDS, |parameters, random| {
        parameters.cold_engines = 3;
        parameters.behaviour = random.choose(&[Behaviour::Answers, Behaviour::Rejects]);
        learn_within(parameters, random, 2);
    });
}

#[test]
fn bound_holds_for_long_statements_among_short_ones() {
    assert_bound(
        "long and short",
        SEEDS_FOR_RARE_FAULTS,
        |parameters, random| {
            parameters.long_share = 0.15;
            parameters.demand =
                random.choose(&[Demand::Steady, Demand::Burst(0), Demand::Burst(3 * SECOND)]);
        },
    );
}

#[test]
fn bound_holds_for_statements_without_a_work_estimate() {
    assert_bound("untold work", SEEDS, |parameters, random| {
        parameters.has_estimates = false;
        if random.unit() < 0.5 {
            add_restarts(parameters, random, true);
        }
    });
}

#[test]
fn bound_holds_for_a_burst_without_work_estimates() {
    assert_bound("untold burst", SEEDS, |parameters, random| {
        parameters.has_estimates = false;
        parameters.demand = Demand::Burst(random.choose(&[0, SECOND, 3 * SECOND]));
    });
}

#[test]
fn bound_holds_when_all_conditions_are_combined() {
    assert_bound("all together", SEEDS, |parameters, random| {
        parameters.has_estimates = random.unit() < 0.7;
        parameters.arrival = random.choose(&[Arrival::New, Arrival::Relisted]);
        parameters.behaviour = random.choose(&[
            Behaviour::Answers,
            Behaviour::Rejects,
            Behaviour::Silent,
            Behaviour::RefusesConnections,
        ]);
        parameters.demand =
            random.choose(&[Demand::Steady, Demand::Burst(0), Demand::Burst(3 * SECOND)]);
        learn_within(parameters, random, 7);
        parameters.has_stale_list = random.unit() < 0.5;
        let at_once = random.unit() < 0.5;
        add_restarts(parameters, random, at_once);
    });
}

#[test]
fn bound_holds_for_an_engine_that_stops_and_restarts_unannounced() {
    assert_bound("unannounced", SEEDS, |parameters, random| {
        parameters.arrival = Arrival::Unannounced;
        learn_within(parameters, random, 7);
    });
}
