//! `prove promises --only disks`: replicas of ledger entries on disk. A machine is lost with its
//! disk at each step of an entry, a different front each time, with the repair between. Then the
//! disk of a front that owns shards becomes slow, and the disk of another rejects all writes.

use std::path::PathBuf;
use std::time::Instant;

use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::common::{fault, print_run};
use super::shape;
use crate::record::account::Run;
use crate::record::judge::judge;
use crate::rig::fleet::{play, Fleet, FleetHooks};
use crate::rig::member::MemberOptions;
use crate::rig::scenario::{Class, Fault, FaultKind, FleetShape, Load, Scenario, Step};

const FIRST_LOSS_MS: u64 = 2_500; // milliseconds of load before the first loss
/// Milliseconds from one loss to the next; the repair takes place between.
const SLOT_MS: u64 = 7_000;
/// Milliseconds without a sign of a disk until its replicas are rebuilt.
const REPAIR_AFTER_MS: u64 = 1_500;
const SYNC_DELAY_MS: u64 = 2_000; // duration of a sync on the slow disk
const LOAD_AFTER_MS: u64 = 3_000;
const MAX_SECONDS: u64 = 60;
/// Percentage of the statements that need a ledger entry that must run; with fewer, most were
/// rejected.
const MIN_RUN_PERCENT: i64 = 50;
const LOSS_STEPS: [Step; 4] = [Step::Taken, Step::Copying, Step::Began, Step::Kept];

/// Injects the faults of owners' disks.
struct Disks {
    /// Faults of the disks of fronts that own shards, still to be injected, in order of time.
    owner_faults: Vec<Fault>,
    played: Vec<Fault>,
    /// For each slow or full disk, how many log lines of its front report the fault.
    log_line_counts: Vec<(FaultKind, usize)>,
}

impl FleetHooks for Disks {
    fn poll(&mut self, fleet: &Fleet, since: i64) -> Vec<Fault> {
        let is_due = self
            .owner_faults
            .first()
            .is_some_and(|f| f.at_ms as i64 * 1000 <= since);
        if !is_due {
            return Vec::new();
        }
        // A front whose disk was slow may hold no replicas any more, as others replaced it.
        let already_faulted: Vec<usize> = self.played.iter().map(|fault| fault.front).collect();
        let Some(front) = fleet.busiest_sender(&already_faulted) else {
            return Vec::new();
        };
        let fault = Fault {
            front,
            ..self.owner_faults.remove(0)
        };
        self.played.push(fault.clone());
        vec![fault]
    }

    fn on_load_ended(&mut self, fleet: &Fleet) {
        for fault in &self.played {
            let text = match fault.what {
                FaultKind::DiskFull => "keeps no copies there any more",
                _ => "a commit took",
            };
            self.log_line_counts
                .push((fault.what, fleet.members[fault.front].log_lines(text).len()));
        }
    }
}

/// Draws the scenario of a seed, and the faults of owners' disks.
fn draw(seed: u64, small: bool) -> (Scenario, Vec<Fault>) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed ^ 0x6469_736b);
    let fronts = 5;
    let mut steps = LOSS_STEPS.to_vec();
    steps.shuffle(&mut rng);
    if small {
        steps.truncate(1);
    }
    let mut loss_order: Vec<usize> = (0..fronts).collect();
    loss_order.shuffle(&mut rng);
    let mut at = FIRST_LOSS_MS;
    let mut faults = Vec::new();
    for (step, front) in steps.iter().zip(loss_order) {
        // The machine is down for less than the repair delay, or for longer.
        let loss = fault(
            FaultKind::LoseDisk,
            at + rng.random_range(0..300),
            rng.random_range(500..2_500),
        );
        faults.push(Fault {
            front,
            step: Some(*step),
            ..loss
        });
        at += SLOT_MS;
    }
    let slow = Fault {
        delay_ms: SYNC_DELAY_MS,
        ..fault(FaultKind::DiskSlow, at, 4_500)
    };
    let full = fault(FaultKind::DiskFull, at + SLOT_MS, 2_500);
    let owner_faults = vec![slow, full];
    let end_ms = at + 2 * SLOT_MS + LOAD_AFTER_MS;
    let (keys, work_ms) = (rng.random_range(20..30), rng.random_range(60..140));
    let keyed = Class {
        share: 2.0,
        asks_again: 2,
        ..shape::keyed(keys, work_ms)
    };
    let once = Class {
        asks_again: 2,
        ..shape::non_idempotent(rng.random_range(30..90))
    };
    let scenario = Scenario {
        seed: Some(seed),
        seconds: end_ms.div_ceil(1_000),
        fleet: FleetShape {
            clocks_apart_ms: 400,
            ..shape::fleet(fronts)
        },
        load: Load {
            per_second: 50,
            work_ms: 10,
            timeout_ms: 4_000,
            memory_mb: 0,
        },
        engine: shape::engines(),
        faults,
        classes: vec![
            Class {
                share: 3.0,
                ..Class::idempotent("lookup", 500)
            },
            keyed,
            once,
        ],
    };
    (scenario, owner_faults)
}

/// Temporary folder of the run for the control files of disk faults; removed on drop.
struct TempFolder(PathBuf);

impl Drop for TempFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Runs a seed; returns whether it passed and the tallies of its result line.
pub fn run(seed: u64, small: bool) -> Result<(bool, String), String> {
    let began = Instant::now();
    let (mut scenario, owner_faults) = draw(seed, small);
    let name = format!("hallmux-disks-{}-{seed}", std::process::id());
    let folder = TempFolder(std::env::temp_dir().join(name));
    std::fs::create_dir_all(&folder.0).map_err(|e| e.to_string())?;
    let member_options = (0..scenario.fleet.fronts).map(|front| {
        let drill = folder.0.join(format!("drill{front}"));
        let ledger = format!(
            ", shards: 4, repair_after_ms: {REPAIR_AFTER_MS}, drill: '{}'",
            drill.display()
        );
        MemberOptions {
            ledger,
            disk_fault_file: Some(drill),
            ..MemberOptions::default()
        }
    });
    let fleet = Fleet::start_with(&scenario, seed, member_options.collect(), None)?;
    let planned = owner_faults.len();
    let mut disks = Disks {
        owner_faults,
        played: Vec::new(),
        log_line_counts: Vec::new(),
    };
    let (account, pids) = play(fleet, &scenario, seed, &mut disks)?;
    let steps = scenario.faults.len() as i64;
    scenario.faults.extend(disks.played.clone());
    let mut run = judge(&scenario, &account, pids);
    check_coverage(&mut run, &disks, (planned, steps), &scenario);
    let seconds = began.elapsed().as_secs();
    if seconds >= MAX_SECONDS {
        run.violations
            .entry("run")
            .or_default()
            .push(format!("the run took {seconds} s"));
    }
    Ok(print_run(
        &run,
        &format!("fronts={} seconds={seconds}", scenario.fleet.fronts),
    ))
}

/// Adds violations if the run exercised too little to mean anything.
fn check_coverage(
    run: &mut Run,
    disks: &Disks,
    (planned, steps): (usize, i64),
    scenario: &Scenario,
) {
    let tally = |key: &str| run.tallies.get(key).copied().unwrap_or(0);
    let (promised, ran) = (
        tally("promised") - tally("asked_again"),
        tally("promised_runs"),
    );
    let played = tally("steps_played");
    let mut add = |what: String| run.violations.entry("run").or_default().push(what);
    if played < steps {
        add(format!("{played} of {steps} fronts died at their step"));
    }
    if disks.played.len() < planned {
        add(format!(
            "{} of {planned} slow or full disks were injected",
            disks.played.len()
        ));
    }
    for (what, lines) in disks
        .log_line_counts
        .iter()
        .filter(|(_, lines)| *lines == 0)
    {
        add(format!(
            "{what:?}: {lines} log lines of the front report it"
        ));
    }
    if promised < scenario.seconds as i64 * 5 || ran * 100 < promised * MIN_RUN_PERCENT {
        add(format!(
            "{ran} of {promised} statements that need a ledger entry ran"
        ));
    }
}

#[cfg(test)]
#[path = "disks_tests.rs"]
mod tests;
