//! Drawn fleets on machines that misbehave, as real processes: the rules hold by the record.

use std::process::Command;

#[test]
fn fronts_keep_the_rules_on_machines_whose_clocks_and_system_calls_fail() {
    // One after the other: each is up to four processes for 20 s.
    for seed in ["1", "10"] {
        let out = Command::new(env!("CARGO_BIN_EXE_hallmux-lab"))
            .args(["prove", "soak", "--seed", seed])
            .output();
        let out = out.expect("the lab runs");
        let (said, found) = (
            String::from_utf8_lossy(&out.stdout),
            String::from_utf8_lossy(&out.stderr),
        );
        assert!(
            out.status.success() && said.contains(": pass "),
            "{said}\n{found}"
        );
    }
}
