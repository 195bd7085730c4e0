//! Fleets under overload and through a mass restart, as real processes and in simulated time:
//! budgets over the fleet.

mod fleet_runner;

use fleet_runner::{play, simulated};

const ON: &str = "connections_per_second = 20, probes_per_second = 20";
const OFF: &str = "connections_per_second = 0, probes_per_second = 0";

#[test]
fn seven_in_ten_processes_restarted_at_once_connect_within_the_budget() {
    let t = play("release", 1, &[]);
    assert_eq!(t["faults_played"], 1, "{t:?}");
    assert!(t["unanswered"] <= t["excused"], "{t:?}");
    // The budget is 20 connections a second into each engine; the fronts' expected shares add up to
    // half of it, and chance does the rest.
    assert!(
        (1..=20).contains(&t["released_connections_most_s"]),
        "{t:?}"
    );
}

#[test]
fn in_simulated_time_budgets_prevent_a_thundering_herd_after_a_mass_restart() {
    let (off, on) = (
        simulated("release", 1, &[(ON, OFF)], 20),
        simulated("release", 1, &[], 20),
    );
    // Restarted fronts connect to the engines all at once without budgets, and one after the other
    // with them.
    assert!(
        on["released_connections_most_s"] <= 20 && off["released_connections_most_s"] > 20,
        "{on:?}"
    );
    assert!(
        on["released_probes_most_s"] < off["released_probes_most_s"],
        "{off:?}\n{on:?}"
    );
    assert!(on["released_in_time_pct"] >= 90, "{on:?}");
}

#[test]
fn under_overload_processes_make_few_attempts_beyond_the_first() {
    let t = play("overload-one", 1, &[]);
    assert!(t["refused"] > 0 && t["completed"] > 0, "{t:?}");
    // The aim is 110; fronts that are starved of CPU are rejected more often. The retry budget
    // bounds it.
    assert!((100..=150).contains(&t["attempts_over_first_pct"]), "{t:?}");
}
