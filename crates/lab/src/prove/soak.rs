//! `prove soak`: independent fronts with drawn settings, among engines that are lost, reset and cut
//! off. Fronts are stalled, killed, terminated and made to reload their files, while the machine
//! under each misbehaves: its wall clock is stepped, system calls fail, connections break. Rules
//! are checked on the records of clients, engines and relays.

mod machine;

use std::path::Path;
use std::time::Instant;

use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use self::machine::Machines;
use super::common::{fault, print_run};
use crate::record::account::Account;
use crate::record::budget::{self, Budget};
use crate::record::executions::executions;
use crate::record::judge::judge;
use crate::rig::agreed::settings;
use crate::rig::fleet::{play, Fleet};
use crate::rig::member::SOCKETS;
use crate::rig::scenario::{
    Class, Effect, Fault, FaultKind, FleetShape, Load, RetryBudget, Scenario, Warm,
};

const LOAD_SECONDS: u64 = 20;
const FAULT_FREE_MS: u64 = 1_500; // milliseconds of load before the first fault, and after the last
const MIN_COMPLETED: i64 = 200; // statements; a run with fewer exercises too little
/// Limit of statements a second for each front. Clients hold at most a third of its descriptors,
/// and each statement has its own connection for at most three seconds.
const MAX_RATE_PER_FRONT: u64 = SOCKETS as u64 / 3 / 3;
const MIN_RATE: u64 = 20; // statements a second over the fleet
const RESET_INTERVAL_MS: std::ops::RangeInclusive<u64> = 200..=1_200;
/// Milliseconds from SIGTERM until a front has answered everything and exited.
const MAX_SHUTDOWN_MS: u64 = 4_000;
const FAULT_KINDS: [FaultKind; 8] = [
    FaultKind::Stall,
    FaultKind::Kill,
    FaultKind::Term,
    FaultKind::Term,
    FaultKind::Hup,
    FaultKind::ZoneReset,
    FaultKind::LinkCut,
    FaultKind::LinkCutBack,
];

/// Draws the scenario of a seed, without the machine faults.
fn draw(seed: u64) -> Scenario {
    let mut rng = Pcg64Mcg::seed_from_u64(seed ^ 0x736f_616b);
    let fronts = rng.random_range(1..=4);
    let zones = rng.random_range(1..=2);
    let slots = rng.random_range(2..=6);
    let work_ms = rng.random_range(20..=100);
    let classes = vec![
        Class {
            share: 6.0,
            ..Class::idempotent("lookup", 500)
        },
        Class {
            share: 2.0,
            importance: 8.0,
            effect: Effect::Deduplicated,
            keys: rng.random_range(2..=8),
            work_ms: Some(rng.random_range(20..=120)),
            timeout_ms: Some(rng.random_range(1_500..=3_000)),
            window_ms: rng.random_range(600..=3_000),
            ..Class::idempotent("log-load", 1_000)
        },
        Class {
            importance: 4.0,
            effect: Effect::NonIdempotent,
            work_ms: Some(rng.random_range(20..=120)),
            ..Class::idempotent("pay", 1_000)
        },
    ];
    let fleet = FleetShape {
        fronts,
        zones,
        engines_per_zone: rng.random_range(2..=3),
        gossip: false,
        clocks_apart_ms: 0,
        voters: None,
        lease_ms: 2_000,
        copies: None,
        keys_by_front: true,
        zone_quorum: None,
        sheds_as_one: false,
        budgets: Default::default(),
        further: RetryBudget {
            spare: rng.random_range(1..=4),
            share: rng.random_range(0.05..0.2),
        },
    };
    // The rate reaches from what the engines handle easily to what they reject, so that many
    // statements are retried.
    let capacity = (fleet.zones * fleet.engines_per_zone * slots) as u64 * 1000 / work_ms;
    let per_second = (capacity * rng.random_range(50..=110) / 100)
        .clamp(MIN_RATE, MAX_RATE_PER_FRONT * fronts as u64);
    Scenario {
        seed: Some(seed),
        seconds: LOAD_SECONDS,
        load: Load {
            per_second,
            work_ms,
            timeout_ms: rng.random_range(1_000..=2_500),
            memory_mb: 0,
        },
        engine: Warm {
            slots,
            cold_slots: slots.div_ceil(2),
            warm_ms: rng.random_range(0..=4_000),
            ..Warm::default()
        },
        faults: faults(&mut rng, &fleet),
        fleet,
        classes,
    }
}

/// Draws the faults. Those that make a front unavailable or cut it off follow each other;
/// connections are reset at any time.
fn faults(rng: &mut Pcg64Mcg, fleet: &FleetShape) -> Vec<Fault> {
    let mut faults = Vec::new();
    // A front that was sent SIGTERM gets no other fault until it can be running again.
    let mut busy_until = vec![0; fleet.fronts];
    let mut at = FAULT_FREE_MS;
    loop {
        let what = *FAULT_KINDS.choose(rng).unwrap_or(&FaultKind::Stall);
        let for_ms = rng.random_range(200..1_200);
        if at + for_ms + FAULT_FREE_MS > LOAD_SECONDS * 1000 {
            break;
        }
        let (front, zone) = (
            rng.random_range(0..fleet.fronts),
            rng.random_range(0..fleet.zones),
        );
        if at < busy_until[front] {
            at = busy_until[front];
            continue;
        }
        if what == FaultKind::Term {
            busy_until[front] = at + for_ms + MAX_SHUTDOWN_MS;
        }
        faults.push(Fault {
            front,
            zone,
            ..fault(what, at, for_ms)
        });
        at += for_ms + rng.random_range(500..2_500);
    }
    let mut at = FAULT_FREE_MS;
    while at < LOAD_SECONDS * 1000 {
        let zone = rng.random_range(0..fleet.zones);
        faults.push(Fault {
            zone,
            ..fault(FaultKind::ZoneReset, at, 0)
        });
        at += rng.random_range(RESET_INTERVAL_MS);
    }
    faults
}

/// Runs a seed, with the fronts of another build if given; returns whether it passed and the
/// tallies of its result line.
pub fn run(seed: u64, other: Option<&Path>) -> Result<(bool, String), String> {
    let began = Instant::now();
    let scenario = draw(seed);
    let mut machines = Machines::new(seed, scenario.fleet.fronts).map_err(|e| e.to_string())?;
    let fleet = Fleet::start_with(&scenario, seed, machines.options(other), None)?;
    let (account, pids) = play(fleet, &scenario, seed, &mut machines)?;
    let mut run = judge(&scenario, &account, pids);
    // Ledger entries that a killed front held alone are lost with it: these fronts have no
    // replicas.
    run.violations.remove("promise_lost");
    check_budget(&mut run.violations, &scenario, &account);
    for (what, count) in machines.tallies().map_err(|e| e.to_string())? {
        run.tallies.insert(what, count);
    }
    let tally = |key: &str| run.tallies.get(key).copied().unwrap_or(0);
    let (completed, steps) = (tally("completed"), tally("clock_steps"));
    if completed < MIN_COMPLETED || steps == 0 {
        let message =
            format!("{completed} statements were completed, {steps} clock steps were injected");
        run.violations.entry("run").or_default().push(message);
    }
    machines.print();
    let fronts = scenario.fleet.fronts;
    Ok(print_run(
        &run,
        &format!("fronts={fronts} seconds={}", began.elapsed().as_secs()),
    ))
}

/// Checks the retry budgets of all fronts, which start anew after a kill or a restart.
fn check_budget(violations: &mut crate::check::Violations, scenario: &Scenario, account: &Account) {
    let rules = &settings(scenario)["rules"];
    let agreed_value = |key: &str| rules[key].as_f64().unwrap_or(0.0);
    let budget = Budget {
        spare: agreed_value("spareAttempts"),
        share: agreed_value("furtherRatio"),
        window: agreed_value("budgetSpanMs") as i64 * 1000,
    };
    let starts: Vec<(usize, i64)> = (account.played.iter())
        .filter(|(fault, ..)| matches!(fault.what, FaultKind::Kill | FaultKind::Term))
        .map(|(fault, _, back)| (fault.front, *back))
        .collect();
    let ran = executions(&account.engine_events, &account.sent_by);
    budget::check(violations, &ran, &account.asked, budget, &starts);
}

#[cfg(test)]
#[path = "soak_tests.rs"]
mod tests;
