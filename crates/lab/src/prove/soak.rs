//! `prove soak`: fronts that share nothing, of drawn settings, among engines that are lost, reset and cut off; fronts are
//! stopped, killed, ended and told to read their files; and the machine under each misbehaves: its wall clock is stepped,
//! system calls fail, connections break. Rules are checked on what clients, engines and relays wrote down.

mod machine;

use std::path::Path;
use std::time::Instant;

use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use self::machine::Machines;
use super::played::{end, fault};
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

const SECONDS: u64 = 20; // of load
const FIRST_MS: u64 = 1_500; // milliseconds of load before the first fault, and after the last
const LEAST_COMPLETED: i64 = 200; // statements; with fewer a run proves nothing
/// Statements a second for each front. Clients hold a third of its descriptors at most, and each statement has a
/// connection of its own for three seconds at most.
const MOST_RATE: u64 = SOCKETS as u64 / 3 / 3;
const LEAST_RATE: u64 = 20; // statements a second over the fleet
const RESETS_MS: std::ops::RangeInclusive<u64> = 200..=1_200; // milliseconds between resets of connections
const LONGEST_END_MS: u64 = 4_000; // milliseconds from a SIGTERM until a front has answered all and is gone
const KINDS: [FaultKind; 8] = [
    FaultKind::Stall,
    FaultKind::Kill,
    FaultKind::Term,
    FaultKind::Term,
    FaultKind::Hup,
    FaultKind::ZoneReset,
    FaultKind::LinkCut,
    FaultKind::LinkCutBack,
];

/// The run of a seed, without what befalls the machines.
fn draw(seed: u64) -> Scenario {
    let mut chance = Pcg64Mcg::seed_from_u64(seed ^ 0x736f_616b);
    let fronts = chance.random_range(1..=4);
    let zones = chance.random_range(1..=2);
    let slots = chance.random_range(2..=6);
    let work_ms = chance.random_range(20..=100);
    let classes = vec![
        Class {
            share: 6.0,
            ..Class::idempotent("lookup", 500)
        },
        Class {
            share: 2.0,
            importance: 8.0,
            effect: Effect::Deduplicated,
            keys: chance.random_range(2..=8),
            work_ms: Some(chance.random_range(20..=120)),
            timeout_ms: Some(chance.random_range(1_500..=3_000)),
            window_ms: chance.random_range(600..=3_000),
            ..Class::idempotent("log-load", 1_000)
        },
        Class {
            importance: 4.0,
            effect: Effect::NonIdempotent,
            work_ms: Some(chance.random_range(20..=120)),
            ..Class::idempotent("pay", 1_000)
        },
    ];
    let fleet = FleetShape {
        fronts,
        zones,
        engines_per_zone: chance.random_range(2..=3),
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
            spare: chance.random_range(1..=4),
            share: chance.random_range(0.05..0.2),
        },
    };
    // From what the engines bear easily to what they turn away, so that there is much to try again.
    let bear = (fleet.zones * fleet.engines_per_zone * slots) as u64 * 1000 / work_ms;
    let per_second =
        (bear * chance.random_range(50..=110) / 100).clamp(LEAST_RATE, MOST_RATE * fronts as u64);
    Scenario {
        seed: Some(seed),
        seconds: SECONDS,
        load: Load {
            per_second,
            work_ms,
            timeout_ms: chance.random_range(1_000..=2_500),
            memory_mb: 0,
        },
        engine: Warm {
            slots,
            cold_slots: slots.div_ceil(2),
            warm_ms: chance.random_range(0..=4_000),
            ..Warm::default()
        },
        faults: faults(&mut chance, &fleet),
        fleet,
        classes,
    }
}

/// Faults that take a front away or cut it off come one after the other; connections are reset at any time.
fn faults(chance: &mut Pcg64Mcg, fleet: &FleetShape) -> Vec<Fault> {
    let mut faults = Vec::new();
    // A front that was asked to end has nothing else played on it until it can be there again.
    let mut busy_until = vec![0; fleet.fronts];
    let mut at = FIRST_MS;
    loop {
        let what = *KINDS.choose(chance).unwrap_or(&FaultKind::Stall);
        let for_ms = chance.random_range(200..1_200);
        if at + for_ms + FIRST_MS > SECONDS * 1000 {
            break;
        }
        let (front, zone) = (
            chance.random_range(0..fleet.fronts),
            chance.random_range(0..fleet.zones),
        );
        if at < busy_until[front] {
            at = busy_until[front];
            continue;
        }
        if what == FaultKind::Term {
            busy_until[front] = at + for_ms + LONGEST_END_MS;
        }
        faults.push(Fault {
            front,
            zone,
            ..fault(what, at, for_ms)
        });
        at += for_ms + chance.random_range(500..2_500);
    }
    let mut at = FIRST_MS;
    while at < SECONDS * 1000 {
        let zone = chance.random_range(0..fleet.zones);
        faults.push(Fault {
            zone,
            ..fault(FaultKind::ZoneReset, at, 0)
        });
        at += chance.random_range(RESETS_MS);
    }
    faults
}

/// Plays the run of a seed, with another build's fronts where one is given: whether it passed, and the tallies of its
/// line.
pub fn run(seed: u64, other: Option<&Path>) -> Result<(bool, String), String> {
    let began = Instant::now();
    let scenario = draw(seed);
    let mut machines = Machines::new(seed, scenario.fleet.fronts).map_err(|e| e.to_string())?;
    let fleet = Fleet::start_with(&scenario, seed, machines.options(other), None)?;
    let (account, pids) = play(fleet, &scenario, seed, &mut machines)?;
    let mut run = judge(&scenario, &account, pids);
    // What a front held when it was killed is no longer that front's to keep.
    run.violations.remove("promise_lost");
    check_budget(&mut run.violations, &scenario, &account);
    for (what, count) in machines.played().map_err(|e| e.to_string())? {
        run.tallies.insert(what, count);
    }
    let tally = |key: &str| run.tallies.get(key).copied().unwrap_or(0);
    let (completed, steps) = (tally("completed"), tally("clock_steps"));
    if completed < LEAST_COMPLETED || steps == 0 {
        let said =
            format!("{completed} statements were completed, {steps} steps of clocks were played");
        run.violations.entry("run").or_default().push(said);
    }
    machines.print();
    let fronts = scenario.fleet.fronts;
    Ok(end(
        &run,
        &format!("fronts={fronts} seconds={}", began.elapsed().as_secs()),
    ))
}

fn check_budget(wrong: &mut crate::check::Violations, scenario: &Scenario, account: &Account) {
    let rules = &settings(scenario)["rules"];
    let agreed = |key: &str| rules[key].as_f64().unwrap_or(0.0);
    let budget = Budget {
        spare: agreed("spareAttempts"),
        share: agreed("furtherRatio"),
        window: agreed("budgetSpanMs") as i64 * 1000,
    };
    let starts: Vec<(usize, i64)> = (account.played.iter())
        .filter(|(fault, ..)| matches!(fault.what, FaultKind::Kill | FaultKind::Term))
        .map(|(fault, _, back)| (fault.front, *back))
        .collect();
    let ran = executions(&account.engine_events, &account.sent_by);
    budget::check(wrong, &ran, &account.asked, budget, &starts);
}

#[cfg(test)]
#[path = "soak_tests.rs"]
mod tests;
