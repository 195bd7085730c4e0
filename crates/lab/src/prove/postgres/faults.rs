//! Faults and drains, drawn from the seed and injected until the run ends.

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

/// Drains one engine after the other until the run ends; returns which and when.
pub(super) fn play_drains(
    seed: u64,
    engines: &[Arc<Engine>],
    coordinator: &Coordinator,
    notes: &Notes,
) -> Vec<Drain> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed ^ 0xd4a1);
    let mut drains = Vec::new();
    let report_state = |e: &Engine, state| {
        coordinator.announce(false, &[(name(e.number), e.at, kind(e.number), state)])
    };
    std::thread::sleep(Duration::from_millis(rng.random_range(200..600)));
    while !notes.is_stopping() {
        let e = &engines[rng.random_range(0..engines.len())];
        report_state(e, "draining");
        let from = notes.records.now();
        // Longer than the grace period, so that statements sent too late are detected.
        std::thread::sleep(Duration::from_millis(rng.random_range(2_100..2_600)));
        drains.push(Drain {
            engine: e.number,
            from,
            to: notes.records.now(),
        });
        notes.drains.store(drains.len(), SeqCst);
        report_state(e, "up");
        std::thread::sleep(Duration::from_millis(rng.random_range(100..400)));
    }
    drains
}

/// Injects faults until the run ends, while engines drain; returns how often each was injected.
pub(super) fn play_faults(seed: u64, engines: &[Arc<Engine>], notes: &Notes) -> FaultCounts {
    let mut rng = Pcg64Mcg::seed_from_u64(seed ^ 0xfa17);
    let mut played = FaultCounts::new();
    let mut next_fault = rng.random_range(0..FAULTS.len());
    let sleep = |ms: u64| std::thread::sleep(Duration::from_millis(ms));
    sleep(300);
    while !notes.is_stopping() {
        // Faults rotate, so that each is injected however short the run; engines and parameters are
        // drawn.
        let fault = FAULTS[next_fault % FAULTS.len()];
        next_fault += 1;
        let e = &engines[rng.random_range(0..engines.len())];
        *played.entry(fault).or_default() += 1;
        match fault {
            "crashes" => {
                e.crash();
                sleep(rng.random_range(100..500));
                e.faults.down.store(false, SeqCst);
            }
            "resets" => e.reset(rng.random_range(1..6)),
            "stalls" => {
                let until = notes.records.now() + rng.random_range(100_000..900_000);
                e.faults.stalled_until.store(until as u64, SeqCst);
                sleep(200);
            }
            "slowed" => {
                e.faults
                    .extra_latency_us
                    .store(rng.random_range(20_000..120_000), SeqCst);
                sleep(rng.random_range(100..600));
                e.faults.extra_latency_us.store(0, SeqCst);
            }
            "lost_commits" => e.faults.lost_commits.store(rng.random_range(1..5), SeqCst),
            "lost_results" => e.faults.lost_results.store(rng.random_range(2..6), SeqCst),
            "lost_statements" => e
                .faults
                .lost_statements
                .store(rng.random_range(1..4), SeqCst),
            _ => e
                .faults
                .refused_parses
                .store(rng.random_range(1..3), SeqCst),
        }
        let least = FAULTS
            .iter()
            .map(|fault| played.get(fault).copied().unwrap_or(0))
            .min();
        notes.rounds.store(least.unwrap_or(0), SeqCst);
        sleep(rng.random_range(50..250));
    }
    played
}
