//! Faults and drains, drawn from the seed and played until the run ends.

use std::collections::BTreeMap;
use std::sync::atomic::Ordering::SeqCst;
use std::sync::Arc;
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::notes::Notes;
use super::setup::{kind, name};
use crate::check::Drain;
use crate::engine::Engine;
use crate::rig::Coordinator;

pub(super) const FAULTS: [&str; 8] = [
    "crashes",
    "resets",
    "stalls",
    "slowed",
    "lost_commits",
    "lost_statements",
    "lost_results",
    "refused_parses",
];

type FaultCounts = BTreeMap<&'static str, usize>;

/// Lets one engine after the other drain until the run ends; says which and when.
pub(super) fn play_drains(
    seed: u64,
    engines: &[Arc<Engine>],
    coordinator: &Coordinator,
    notes: &Notes,
) -> Vec<Drain> {
    let mut chance = Pcg64Mcg::seed_from_u64(seed ^ 0xd4a1);
    let mut drains = Vec::new();
    let tell = |e: &Engine, state| {
        coordinator.tell(false, &[(name(e.number), e.at, kind(e.number), state)])
    };
    std::thread::sleep(Duration::from_millis(chance.random_range(200..600)));
    while !notes.over() {
        let e = &engines[chance.random_range(0..engines.len())];
        tell(e, "draining");
        let from = notes.records.now();
        // Longer than the grace, so that what comes late shows.
        std::thread::sleep(Duration::from_millis(chance.random_range(2_100..2_600)));
        drains.push(Drain {
            engine: e.number,
            from,
            to: notes.records.now(),
        });
        notes.drains.store(drains.len(), SeqCst);
        tell(e, "up");
        std::thread::sleep(Duration::from_millis(chance.random_range(100..400)));
    }
    drains
}

/// Plays faults until the run ends, while engines drain; says how often each was played.
pub(super) fn play_faults(seed: u64, engines: &[Arc<Engine>], notes: &Notes) -> FaultCounts {
    let mut chance = Pcg64Mcg::seed_from_u64(seed ^ 0xfa17);
    let mut played = FaultCounts::new();
    let mut turn = chance.random_range(0..FAULTS.len());
    let sleep = |ms: u64| std::thread::sleep(Duration::from_millis(ms));
    sleep(300);
    while !notes.over() {
        // In turn, so that each is played however short the run; the rest is drawn.
        let fault = FAULTS[turn % FAULTS.len()];
        turn += 1;
        let e = &engines[chance.random_range(0..engines.len())];
        *played.entry(fault).or_default() += 1;
        match fault {
            "crashes" => {
                e.crash();
                sleep(chance.random_range(100..500));
                e.faults.down.store(false, SeqCst);
            }
            "resets" => e.reset(chance.random_range(1..6)),
            "stalls" => {
                let until = notes.records.now() + chance.random_range(100_000..900_000);
                e.faults.stalled_until.store(until as u64, SeqCst);
                sleep(200);
            }
            "slowed" => {
                e.faults
                    .extra_latency_us
                    .store(chance.random_range(20_000..120_000), SeqCst);
                sleep(chance.random_range(100..600));
                e.faults.extra_latency_us.store(0, SeqCst);
            }
            "lost_commits" => e
                .faults
                .lost_commits
                .store(chance.random_range(1..5), SeqCst),
            "lost_results" => e
                .faults
                .lost_results
                .store(chance.random_range(2..6), SeqCst),
            "lost_statements" => e
                .faults
                .lost_statements
                .store(chance.random_range(1..4), SeqCst),
            _ => e
                .faults
                .refused_parses
                .store(chance.random_range(1..3), SeqCst),
        }
        let least = FAULTS
            .iter()
            .map(|fault| played.get(fault).copied().unwrap_or(0))
            .min();
        notes.rounds.store(least.unwrap_or(0), SeqCst);
        sleep(chance.random_range(50..250));
    }
    played
}
