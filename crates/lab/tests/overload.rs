//! Fleets of real fronts under overload and through a release, and the same in simulated time: budgets over the fleet.

use std::collections::HashMap;
use std::process::Command;
use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};

/// Plays a scenario of `crates/lab/fleet`, changed as told, and gives the tallies of its last line.
fn play(name: &str, change: &[(&str, &str)], more: &[&str]) -> HashMap<String, i64> {
    let path = format!("{}/fleet/{name}.toml", env!("CARGO_MANIFEST_DIR"));
    let mut text = std::fs::read_to_string(path).expect("the scenario");
    for (from, to) in change {
        assert!(text.contains(from), "{name} has no {from}");
        text = text.replace(from, to);
    }
    static FILES: AtomicUsize = AtomicUsize::new(0);
    let number = FILES.fetch_add(1, Relaxed);
    let file = std::env::temp_dir().join(format!("hallmux-{}-{number}-{name}.toml", std::process::id()));
    std::fs::write(&file, text).expect("a file");
    let out = Command::new(env!("CARGO_BIN_EXE_hallmux-lab"))
        .args(["fleet", &file.to_string_lossy(), "--seed", "1"])
        .args(more)
        .output()
        .expect("the lab runs");
    let _ = std::fs::remove_file(&file);
    let text = String::from_utf8_lossy(&out.stdout).to_string();
    let last = text.lines().last().unwrap_or_default().to_string();
    assert!(out.status.success() && last.contains(": pass "), "{name}: {text}");
    let pairs = last.split(' ').filter_map(|word| word.split_once('='));
    pairs.map(|(k, v)| (k.to_string(), v.parse().unwrap_or(-1))).collect()
}

const ON: &str = "connections_per_second = 20, probes_per_second = 20";
const OFF: &str = "connections_per_second = 0, probes_per_second = 0";

#[test]
fn seven_in_ten_processes_started_anew_at_once_connect_within_the_budget() {
    let t = play("release", &[], &[]);
    assert_eq!(t["faults_played"], 1, "{t:?}");
    assert!(t["unanswered"] <= t["excused"], "{t:?}");
    // Twenty a second into each engine; the fronts' shares come to half of it, the rest is chance.
    assert!((1..=20).contains(&t["released_connections_most_s"]), "{t:?}");
}

#[test]
fn in_simulated_time_a_release_is_a_herd_without_the_budgets_and_none_with_them() {
    let sized = ["--simulated", "--fronts", "20"];
    let (off, on) = (play("release", &[(ON, OFF)], &sized), play("release", &[], &sized));
    // The fronts that start anew connect to engines at once, or one after the other.
    assert!(on["released_connections_most_s"] <= 20 && off["released_connections_most_s"] > 20, "{on:?}");
    assert!(on["released_probes_most_s"] < off["released_probes_most_s"], "{off:?}\n{on:?}");
    assert!(on["released_in_time_pct"] >= 90, "{on:?}");
}

#[test]
fn under_overload_processes_ask_engines_little_more_than_once_for_each_statement() {
    let t = play("overload-one", &[], &[]);
    assert!(t["refused"] > 0 && t["completed"] > 0, "{t:?}");
    // The aim is 110; fronts that are starved of CPU are turned away more. The budget of further executions bounds it.
    assert!((100..=150).contains(&t["attempts_over_first_pct"]), "{t:?}");
}
