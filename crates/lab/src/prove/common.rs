//! What the runs of the replicated ledger share: a fault with default parameters, and the output of
//! a run.

use crate::record::account::Run;
use crate::rig::scenario::{Fault, FaultKind};

const MAX_PRINTED_VIOLATIONS: usize = 8; // violations printed of each rule

/// Creates a fault of a kind and time (in milliseconds), all other parameters at their defaults.
pub fn fault(what: FaultKind, at_ms: u64, for_ms: u64) -> Fault {
    let (zone, front, delay_ms, percent) = (0, 0, 0, 0);
    Fault {
        what,
        at_ms,
        for_ms,
        zone,
        front,
        second: None,
        step: None,
        delay_ms,
        percent,
        told: true,
    }
}

/// Prints the table, violations and injected faults; returns whether the run passed and the tallies
/// of its result line.
pub(super) fn print_run(run: &Run, more: &str) -> (bool, String) {
    print_violations(run);
    for (fault, from, to) in &run.played {
        eprintln!("played {from} to {to}: {fault:?}");
    }
    print_pids(run, more)
}

/// Prints the table of a run, and the first violations of each rule.
pub(super) fn print_violations(run: &Run) {
    eprint!("{}", run.table);
    for (rule, found) in &run.violations {
        for what in found.iter().take(MAX_PRINTED_VIOLATIONS) {
            eprintln!("{rule}: {what}");
        }
    }
}

/// Prints the process ids of a run; returns whether it passed and the tallies of its result line.
pub(super) fn print_pids(run: &Run, more: &str) -> (bool, String) {
    let pids: Vec<String> = run.pids.iter().map(u32::to_string).collect();
    println!("pids {}", pids.join(","));
    let violations: usize = run.violations.values().map(Vec::len).sum();
    (
        run.passed(),
        format!("{} {more} violations={violations}", run.line()),
    )
}
