//! Tests of the faults in a process that has the library preloaded.

use std::process::Command;
use std::time::{SystemTime, UNIX_EPOCH};

use hallmux_machine_faults::{Library, MachineFaults};

const HOUR_S: i64 = 3_600;

fn unix_s() -> i64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap()
        .as_secs() as i64
}

#[test]
fn wall_clock_is_stepped_only_in_the_process_with_faults() {
    let directory =
        std::env::temp_dir().join(format!("hallmux-machine-faults-{}", std::process::id()));
    std::fs::create_dir_all(&directory).unwrap();
    let library = Library::compile(&directory.join("faults.so")).unwrap();
    let faults = MachineFaults::new(&library, &directory.join("control"), 1).unwrap();
    let date = || {
        let output = Command::new("date")
            .arg("+%s")
            .envs(faults.environment())
            .output()
            .unwrap();
        String::from_utf8(output.stdout)
            .unwrap()
            .trim()
            .parse::<i64>()
            .unwrap()
    };
    let before = unix_s();
    assert!((before..=unix_s()).contains(&date()));
    faults.set_wall_clock_offset(-HOUR_S * 1_000_000).unwrap();
    let before = unix_s();
    assert!((before - HOUR_S..=unix_s() - HOUR_S).contains(&date()));
    std::fs::remove_dir_all(directory).unwrap();
}
