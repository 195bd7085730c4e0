//! Runs fleet scenarios of the laboratory for tests.

use std::collections::HashMap;
use std::process::Command;
use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};
use std::sync::{Condvar, Mutex, PoisonError};

/// Limit of process fleets that run at once: each is three to twelve fronts, with engines and
/// clients.
const MAX_PROCESS_FLEETS: usize = 3;
static RUNNING: (Mutex<usize>, Condvar) = (Mutex::new(0), Condvar::new());

/// A slot for a fleet of processes, released on drop.
struct FleetSlot;

impl FleetSlot {
    fn acquire() -> FleetSlot {
        let played = RUNNING.0.lock().unwrap_or_else(PoisonError::into_inner);
        let full = |played: &mut usize| *played >= MAX_PROCESS_FLEETS;
        *RUNNING
            .1
            .wait_while(played, full)
            .unwrap_or_else(PoisonError::into_inner) += 1;
        FleetSlot
    }
}

impl Drop for FleetSlot {
    fn drop(&mut self) {
        *RUNNING.0.lock().unwrap_or_else(PoisonError::into_inner) -= 1;
        RUNNING.1.notify_one();
    }
}

/// Runs a scenario of `crates/lab/fleet`, with each text of `change` replaced, in processes.
/// Asserts that it passed and left no process behind; returns the tallies of its result line.
pub fn play(name: &str, seed: u64, change: &[(&str, &str)]) -> HashMap<String, i64> {
    let _slot = FleetSlot::acquire();
    play_with(name, seed, change, &[])
}

/// The same with `fronts` fronts in simulated time.
pub fn simulated(
    name: &str,
    seed: u64,
    change: &[(&str, &str)],
    fronts: usize,
) -> HashMap<String, i64> {
    play_with(
        name,
        seed,
        change,
        &["--simulated", "--fronts", &fronts.to_string()],
    )
}

fn play_with(
    name: &str,
    seed: u64,
    change: &[(&str, &str)],
    more: &[&str],
) -> HashMap<String, i64> {
    let path = format!("{}/fleet/{name}.toml", env!("CARGO_MANIFEST_DIR"));
    let mut scenario = std::fs::read_to_string(path).expect("the scenario file is readable");
    for (from, to) in change {
        assert!(scenario.contains(from), "{name} has no {from}");
        scenario = scenario.replace(from, to);
    }
    static FILES: AtomicUsize = AtomicUsize::new(0);
    let number = FILES.fetch_add(1, Relaxed);
    let file = std::env::temp_dir().join(format!(
        "hallmux-{}-{number}-{name}.toml",
        std::process::id()
    ));
    std::fs::write(&file, scenario).expect("a temporary file is written");
    let out = Command::new(env!("CARGO_BIN_EXE_hallmux-lab"))
        .args([
            "fleet",
            &file.to_string_lossy(),
            "--seed",
            &seed.to_string(),
        ])
        .args(more)
        .output()
        .expect("hallmux-lab starts");
    let _ = std::fs::remove_file(&file);
    let text = String::from_utf8_lossy(&out.stdout).to_string();
    let last = text.lines().last().unwrap_or_default().to_string();
    assert!(
        out.status.success() && last.contains(": pass "),
        "{name}: {text}\n{}",
        String::from_utf8_lossy(&out.stderr)
    );
    let pids = text
        .lines()
        .find_map(|l| l.strip_prefix("pids "))
        .expect("the fronts' process ids are printed");
    for pid in pids.split(',').filter(|pid| !pid.is_empty()) {
        let program = std::fs::read(format!("/proc/{pid}/cmdline")).unwrap_or_default();
        assert!(
            !String::from_utf8_lossy(&program).contains("hallmux-front"),
            "{name}: front {pid} was left behind"
        );
    }
    let pairs = last.split(' ').filter_map(|word| word.split_once('='));
    pairs
        .map(|(k, v)| (k.to_string(), v.parse().unwrap_or(-1)))
        .collect()
}
