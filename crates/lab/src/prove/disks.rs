//! `prove promises --only disks`: copies of promises on disk. A machine is lost with its disk at each step of a promise
//! in turn, a different front each time with the repair between; the disk of a front that owns shards gets slow, and
//! then takes nothing at all.

use std::path::PathBuf;
use std::time::Instant;

use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::played::{end, fault};
use super::shape;
use crate::record::account::Run;
use crate::record::judge::judge;
use crate::rig::fleet::{play, Fleet, FleetHooks};
use crate::rig::member::MemberOptions;
use crate::rig::scenario::{Class, Fault, FaultKind, FleetShape, Load, Scenario, Step};

const FIRST_MS: u64 = 2_500; // milliseconds of load before the first loss
const SLOT_MS: u64 = 7_000; // milliseconds from one loss to the next: the repair lies between
const REPAIR_AFTER_MS: u64 = 1_500; // milliseconds without a sign of a disk until its copies are made again
const SLOW_MS: u64 = 2_000; // milliseconds of a sync
const AFTER_MS: u64 = 3_000;
const MOST_SECONDS: u64 = 60;
const LEAST_RUN_PERCENT: i64 = 50; // of the statements that need a promise; with fewer most were refused
const STEPS: [Step; 4] = [Step::Taken, Step::Copying, Step::Began, Step::Kept];

struct Disks {
    /// What befalls a disk of a front that owns shards, and when.
    owners: Vec<Fault>,
    played: Vec<Fault>,
    /// What the fronts whose disks were slow or full have said of it.
    said: Vec<(FaultKind, usize)>,
}

impl FleetHooks for Disks {
    fn poll(&mut self, fleet: &Fleet, since: i64) -> Vec<Fault> {
        let due = self
            .owners
            .first()
            .is_some_and(|f| f.at_ms as i64 * 1000 <= since);
        if !due {
            return Vec::new();
        }
        // One whose disk was slow may keep no copies any more: others took its place.
        let before: Vec<usize> = self.played.iter().map(|fault| fault.front).collect();
        let Some(front) = fleet.busiest_sender(&before) else {
            return Vec::new();
        };
        let fault = Fault {
            front,
            ..self.owners.remove(0)
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
            self.said
                .push((fault.what, fleet.members[fault.front].log_lines(text).len()));
        }
    }
}

/// The run of a seed; and what befalls owners' disks.
fn draw(seed: u64, small: bool) -> (Scenario, Vec<Fault>) {
    let mut chance = Pcg64Mcg::seed_from_u64(seed ^ 0x6469_736b);
    let fronts = 5;
    let mut steps = STEPS.to_vec();
    steps.shuffle(&mut chance);
    if small {
        steps.truncate(1);
    }
    let mut others: Vec<usize> = (0..fronts).collect();
    others.shuffle(&mut chance);
    let mut at = FIRST_MS;
    let mut faults = Vec::new();
    for (step, front) in steps.iter().zip(others) {
        // Away for less than the repair waits, or for more.
        let gone = fault(
            FaultKind::LoseDisk,
            at + chance.random_range(0..300),
            chance.random_range(500..2_500),
        );
        faults.push(Fault {
            front,
            step: Some(*step),
            ..gone
        });
        at += SLOT_MS;
    }
    let slow = Fault {
        delay_ms: SLOW_MS,
        ..fault(FaultKind::DiskSlow, at, 4_500)
    };
    let full = fault(FaultKind::DiskFull, at + SLOT_MS, 2_500);
    let owners = vec![slow, full];
    let end_ms = at + 2 * SLOT_MS + AFTER_MS;
    let (keys, work_ms) = (chance.random_range(20..30), chance.random_range(60..140));
    let keyed = Class {
        share: 2.0,
        asks_again: 2,
        ..shape::keyed(keys, work_ms)
    };
    let once = Class {
        asks_again: 2,
        ..shape::once(chance.random_range(30..90))
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
    (scenario, owners)
}

/// A folder of the run's for what befalls disks.
struct Folder(PathBuf);

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Plays the run of a seed: whether it passed, and the tallies of its line.
pub fn run(seed: u64, small: bool) -> Result<(bool, String), String> {
    let began = Instant::now();
    let (mut scenario, owners) = draw(seed, small);
    let name = format!("hallmux-disks-{}-{seed}", std::process::id());
    let folder = Folder(std::env::temp_dir().join(name));
    std::fs::create_dir_all(&folder.0).map_err(|e| e.to_string())?;
    let beside = (0..scenario.fleet.fronts).map(|front| {
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
    let fleet = Fleet::start_with(&scenario, seed, beside.collect(), None)?;
    let planned = owners.len();
    let mut disks = Disks {
        owners,
        played: Vec::new(),
        said: Vec::new(),
    };
    let (account, pids) = play(fleet, &scenario, seed, &mut disks)?;
    let steps = scenario.faults.len() as i64;
    scenario.faults.extend(disks.played.clone());
    let mut run = judge(&scenario, &account, pids);
    was_played(&mut run, &disks, (planned, steps), &scenario);
    let seconds = began.elapsed().as_secs();
    if seconds >= MOST_SECONDS {
        run.violations
            .entry("run")
            .or_default()
            .push(format!("took {seconds} s"));
    }
    Ok(end(
        &run,
        &format!("fronts={} seconds={seconds}", scenario.fleet.fronts),
    ))
}

/// A run in which too little happened proves nothing.
fn was_played(run: &mut Run, disks: &Disks, (planned, steps): (usize, i64), scenario: &Scenario) {
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
            "{} of {planned} disks were slow or full",
            disks.played.len()
        ));
    }
    for (what, said) in disks.said.iter().filter(|(_, said)| *said == 0) {
        add(format!(
            "{what:?}: the front has not met it ({said} lines of its log)"
        ));
    }
    if promised < scenario.seconds as i64 * 5 || ran * 100 < promised * LEAST_RUN_PERCENT {
        add(format!("{ran} of {promised} that need a promise ran"));
    }
}

#[cfg(test)]
#[path = "disks_tests.rs"]
mod tests;
