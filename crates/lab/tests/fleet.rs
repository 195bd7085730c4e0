//! Several front processes through the rig, with faults between them; each run is checked on its record.

use std::collections::HashMap;
use std::process::Command;

/// Plays a scenario of `crates/lab/fleet` and gives the tallies of its last line, after asserting that it passed
/// and left no process behind.
fn play(name: &str, seed: u64) -> HashMap<String, i64> {
    let scenario = format!("{}/fleet/{name}.toml", env!("CARGO_MANIFEST_DIR"));
    let out = Command::new(env!("CARGO_BIN_EXE_hallmux-lab"))
        .args(["fleet", &scenario, "--seed", &seed.to_string()])
        .output()
        .expect("the lab runs");
    let text = String::from_utf8_lossy(&out.stdout).to_string();
    let last = text.lines().last().unwrap_or_default().to_string();
    assert!(
        out.status.success() && last.contains(": pass "),
        "{name}: {text}\n{}",
        String::from_utf8_lossy(&out.stderr)
    );
    let pids = text.lines().find_map(|l| l.strip_prefix("pids ")).expect("the fronts' ids are told");
    for pid in pids.split(',') {
        let program = std::fs::read(format!("/proc/{pid}/cmdline")).unwrap_or_default();
        assert!(
            !String::from_utf8_lossy(&program).contains("hallmux-front"),
            "{name}: front {pid} was left behind"
        );
    }
    let pairs = last.split(' ').filter_map(|word| word.split_once('='));
    pairs.map(|(k, v)| (k.to_string(), v.parse().unwrap_or(-1))).collect()
}

#[test]
fn a_lost_zone_is_left_and_every_statement_gets_its_final_answer() {
    let t = play("zone-lost", 1);
    assert_eq!((t["unanswered"], t["faults_played"]), (0, 1));
    assert!(t["zone_lost_sent"] > 0, "the loss was played while statements went there: {t:?}");
    // Each front leaves alone today, by its own time-outs: within the loss of three seconds.
    assert!(t["zone_lost_last_sent_ms"] < 3_000, "{t:?}");
}

#[test]
fn a_front_that_alone_lost_its_link_answers_everything() {
    let t = play("link-cut", 2);
    assert_eq!((t["unanswered"], t["faults_played"]), (0, 1));
    assert!(t["link_cut_last_sent_ms"] < 3_000, "{t:?}");
}

#[test]
fn a_stalled_front_and_one_killed_mid_work_leave_the_rest_whole() {
    let t = play("stall-kill", 3);
    assert_eq!(t["faults_played"], 2);
    // Only what was out at the stopped or killed front may go without an answer.
    assert!(t["unanswered"] <= t["excused"], "{t:?}");
    assert!(t["completed"] * 10 >= t["statements"] * 9, "{t:?}");
}

#[test]
fn fronts_that_gossip_leave_a_lost_zone_and_answer_everything() {
    let t = play("zone-lost-gossip", 4);
    assert_eq!((t["unanswered"], t["faults_played"]), (0, 1));
    assert!(t["zone_lost_sent"] > 0 && t["zone_lost_last_sent_ms"] < 3_000, "{t:?}");
}

#[test]
fn a_front_cut_off_alone_does_not_lead_the_others_out_of_the_zone() {
    let t = play("link-cut-gossip", 5);
    assert_eq!((t["unanswered"], t["faults_played"]), (0, 1));
    // Five fronts of six, some 50 statements a second, about half into the zone for three seconds.
    assert!(t["link_cut_others_sent"] >= 20, "{t:?}");
}

#[test]
fn a_zone_that_comes_back_cold_is_used_again_within_what_its_engines_bear() {
    let t = play("zone-return", 6);
    assert_eq!((t["unanswered"], t["faults_played"]), (0, 1));
    assert!(t["returned_sent"] > 0, "the zone was not used again: {t:?}");
    assert!(t["return_peak_over_bound_pct"] <= 100, "{t:?}");
}
