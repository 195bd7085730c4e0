//! Randomly drawn fleets, as real processes, on machines with faults; the rules are checked on the
//! records.

use std::process::Command;

#[test]
fn fronts_violate_no_rule_when_clocks_step_and_system_calls_fail() {
    // Sequential: each run starts up to four processes for 20 s.
    for seed in ["1", "10"] {
        let out = Command::new(env!("CARGO_BIN_EXE_hallmux-lab"))
            .args(["prove", "soak", "--seed", seed])
            .output();
        let out = out.expect("hallmux-lab starts");
        let (stdout, stderr) = (
            String::from_utf8_lossy(&out.stdout),
            String::from_utf8_lossy(&out.stderr),
        );
        assert!(
            out.status.success() && stdout.contains(": pass "),
            "{stdout}\n{stderr}"
        );
    }
}
