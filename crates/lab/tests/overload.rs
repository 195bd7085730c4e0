//! Fleets of real fronts under overload and through a release, and the same in simulated time: budgets over the fleet.

mod played;

use played::{play, simulated};

const ON: &str = "connections_per_second = 20, probes_per_second = 20";
const OFF: &str = "connections_per_second = 0, probes_per_second = 0";

#[test]
fn seven_in_ten_processes_started_anew_at_once_connect_within_the_budget() {
    let t = play("release", 1, &[]);
    assert_eq!(t["faults_played"], 1, "{t:?}");
    assert!(t["unanswered"] <= t["excused"], "{t:?}");
    // Twenty a second into each engine; the fronts' shares come to half of it, the rest is chance.
    assert!(
        (1..=20).contains(&t["released_connections_most_s"]),
        "{t:?}"
    );
}

#[test]
fn in_simulated_time_a_release_is_a_herd_without_the_budgets_and_none_with_them() {
    let (off, on) = (
        simulated("release", 1, &[(ON, OFF)], 20),
        simulated("release", 1, &[], 20),
    );
    // The fronts that start anew connect to engines at once, or one after the other.
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
fn under_overload_processes_ask_engines_little_more_than_once_for_each_statement() {
    let t = play("overload-one", 1, &[]);
    assert!(t["refused"] > 0 && t["completed"] > 0, "{t:?}");
    // The aim is 110; fronts that are starved of CPU are turned away more. The budget of further executions bounds it.
    assert!((100..=150).contains(&t["attempts_over_first_pct"]), "{t:?}");
}
