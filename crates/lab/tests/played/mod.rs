//! Fleets of the lab's scenarios, as tests play them.

use std::collections::HashMap;
use std::process::Command;
use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};
use std::sync::{Condvar, Mutex, PoisonError};

/// Fleets of processes that may be played at once: each is three to twelve fronts, with engines and clients.
const AT_ONCE: usize = 3;
static PLAYED: (Mutex<usize>, Condvar) = (Mutex::new(0), Condvar::new());

/// Holds one of the places for fleets of processes.
struct Place;

impl Place {
    fn take() -> Place {
        let played = PLAYED.0.lock().unwrap_or_else(PoisonError::into_inner);
        let full = |played: &mut usize| *played >= AT_ONCE;
        *PLAYED
            .1
            .wait_while(played, full)
            .unwrap_or_else(PoisonError::into_inner) += 1;
        Place
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        *PLAYED.0.lock().unwrap_or_else(PoisonError::into_inner) -= 1;
        PLAYED.1.notify_one();
    }
}

/// Plays a scenario of `crates/lab/fleet`, changed as told, in processes, and gives the tallies of its last line, after
/// asserting that it passed and left no process behind.
pub fn play(name: &str, seed: u64, change: &[(&str, &str)]) -> HashMap<String, i64> {
    let _place = Place::take();
    play_with(name, seed, change, &[])
}

/// The same with so many fronts in simulated time.
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
    let mut scenario = std::fs::read_to_string(path).expect("the scenario");
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
    std::fs::write(&file, scenario).expect("a file");
    let out = Command::new(env!("CARGO_BIN_EXE_hallmux-lab"))
        .args([
            "fleet",
            &file.to_string_lossy(),
            "--seed",
            &seed.to_string(),
        ])
        .args(more)
        .output()
        .expect("the lab runs");
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
        .expect("the fronts' ids are told");
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
