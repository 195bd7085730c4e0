//! Random faults: in any combination, no acknowledged entry is lost, no key is held twice, no
//! version goes back and no request is applied twice, as long as a majority of each shard keeps its
//! disks.

mod sim;

use hallmux_ledger::{Key, Kind, LedgerRequest, Micros, Operation, Outcome};
use rand::Rng;
use sim::{Fleet, SECOND};

const WALL: u64 = 1_800_000_000_000;

/// A submitted request that is unanswered, or answered as unreachable only.
struct UnansweredRequest {
    front: usize,
    incarnation: u64,
    request: LedgerRequest,
    submitted_at: Micros,
}

/// The injected faults, and the outcomes of the run.
#[derive(Debug, Default)]
struct Totals {
    lost_disks: usize,
    killed: usize,
    stopped: usize,
    cut: usize,
    failed: usize,
    listed: usize,
    moved: u64,
    stood: usize,
    unreachable: usize,
}

/// A fleet under random requests and faults.
struct Run {
    fleet: Fleet,
    totals: Totals,
    /// The value written last; each write has another value.
    last_value: u64,
    unanswered: Vec<UnansweredRequest>,
    next_fault: Micros,
    /// The front that has lost its disk, until all replicas are rebuilt.
    front_without_disk: Option<usize>,
    replication_factor: usize,
}

impl Run {
    fn new(seed: u64, reuse_disk_identity: bool) -> Run {
        let (fronts, replication_factor, shards) =
            [(3, 3, 1), (4, 3, 2), (5, 3, 3), (5, 5, 1)][seed as usize % 4];
        let mut fleet = Fleet::new(fronts, replication_factor, shards, seed);
        fleet.reuse_disk_identity = reuse_disk_identity;
        fleet.setup.repair_after = 4 * SECOND;
        // Replicas also move for balance, all at once.
        (
            fleet.setup.max_moving_percent,
            fleet.setup.zone_repair_after,
        ) = (100, 8 * SECOND);
        (fleet.setup.max_shard_bytes, fleet.setup.repair_bytes_per_s) = (8_192, 65_536);
        fleet.restart_with_empty_disks(fronts);
        fleet.run_until(10 * SECOND, Fleet::is_fully_replicated);
        let next_fault = fleet.now;
        let (totals, unanswered) = (Totals::default(), Vec::new());
        Run {
            fleet,
            totals,
            last_value: 0,
            unanswered,
            next_fault,
            front_without_disk: None,
            replication_factor,
        }
    }

    /// A client at a random front claims, frees, reads or writes a key.
    fn submit_random_request(&mut self) {
        let fleet = &mut self.fleet;
        let n = fleet.rng.random_range(0..fleet.fronts.len());
        if !fleet.is_up(n) {
            return;
        }
        let (key, register) = (fleet.rng.random_range(0..4), fleet.rng.random_range(0..4));
        let wall_ms = (WALL as i64 + fleet.now / 1_000 + fleet.fronts[n].clock_ahead_ms) as u64;
        self.last_value += 1;
        let value = self.last_value.to_be_bytes().to_vec();
        let (name, operation) = match fleet.rng.random_range(0..6) {
            0 | 1 => {
                let ends_ms = wall_ms + fleet.rng.random_range(200..3_000);
                (format!("claim {key}"), Operation::Claim { ends_ms, value })
            }
            2 => (format!("claim {key}"), Operation::Free),
            3 | 4 => (
                format!("r{register}"),
                Operation::Put {
                    expects: None,
                    ends_ms: 0,
                    value,
                },
            ),
            _ => (format!("r{register}"), Operation::Read),
        };
        // A front has at most one request per key that changes it.
        let is_same_key =
            |other: &UnansweredRequest| other.front == n && other.request.key.name == name;
        if operation != Operation::Read && self.unanswered.iter().any(is_same_key) {
            return;
        }
        let number = fleet.submit(n, &name, operation.clone());
        let request = LedgerRequest {
            number,
            key: Key {
                kind: Kind::Order,
                name,
            },
            operation,
        };
        let incarnation = fleet.fronts[n].incarnation;
        self.unanswered.push(UnansweredRequest {
            front: n,
            incarnation,
            request,
            submitted_at: fleet.now,
        });
    }

    /// Repeats requests that were answered as unreachable, under the same number, which must apply
    /// them once.
    fn repeat_unreachable(&mut self) {
        let fleet = &mut self.fleet;
        for waiting in std::mem::take(&mut self.unanswered) {
            let UnansweredRequest {
                front,
                incarnation,
                ref request,
                submitted_at,
            } = waiting;
            let is_same_incarnation =
                fleet.is_up(front) && fleet.fronts[front].incarnation == incarnation;
            match fleet.history.outcome(front, incarnation, request.number) {
                Some(Outcome::Unreachable)
                    if is_same_incarnation && fleet.now - submitted_at < 8 * SECOND =>
                {
                    fleet.resubmit(front, request.clone());
                    self.unanswered.push(waiting);
                }
                None if is_same_incarnation => self.unanswered.push(waiting),
                _ => {}
            }
        }
    }

    /// Advances time with random requests, and with a fault if one is due.
    fn run_step(&mut self) {
        self.fleet.run(self.fleet.now + 20_000);
        for _ in 0..self.fleet.rng.random_range(0..3) {
            self.submit_random_request();
        }
        if self.fleet.rng.random_bool(0.1) {
            self.repeat_unreachable();
        }
        // A membership change in progress may still add the disk that was lost.
        let fleet = &self.fleet;
        let settled = fleet.cut_links.is_empty()
            && fleet.moving_replicas() == 0
            && fleet.is_fully_replicated();
        let all_up =
            || (0..fleet.fronts.len()).all(|n| fleet.is_up(n) && !fleet.fronts[n].saves_fail);
        if self.front_without_disk.is_some() && settled && all_up() {
            self.front_without_disk = None;
        }
        if self.fleet.now >= self.next_fault {
            self.next_fault = self.fleet.now + self.fleet.rng.random_range(200_000..2 * SECOND);
            self.inject_fault();
        }
    }

    fn inject_fault(&mut self) {
        let Run {
            fleet,
            totals,
            front_without_disk,
            replication_factor,
            ..
        } = self;
        let fronts = fleet.fronts.len();
        let n = fleet.rng.random_range(0..fronts);
        match fleet.rng.random_range(0..12) {
            0 if fleet.fronts[n].ledger.is_some() => {
                fleet.kill(n);
                totals.killed += 1;
            }
            // One disk at a time: the replicas are rebuilt before the next disk is lost.
            1 | 2 if front_without_disk.is_none() => {
                fleet.lose_disk(n);
                (*front_without_disk, totals.lost_disks) = (Some(n), totals.lost_disks + 1);
            }
            3 if fleet.is_up(n) => {
                fleet.fronts[n].is_stalled = true;
                totals.stopped += 1;
            }
            4 => {
                partition(fleet, n);
                totals.cut += 1;
            }
            5 => {
                let other = (n + 1) % fronts;
                fleet.cut_links.push((n, other)); // one way only
                totals.cut += 1;
            }
            6 => fleet.fronts[n].max_save_time = 2 * SECOND,
            7 if front_without_disk.is_none() && fleet.is_up(n) => {
                fleet.fronts[n].saves_fail = true;
                // The front saves nothing any more, which amounts to a lost disk until it is
                // restarted.
                (*front_without_disk, totals.failed) = (Some(n), totals.failed + 1);
            }
            // The operator removes a front from the member list, or adds it again; a removed front
            // keeps its replicas until they are replaced.
            8 if front_without_disk.is_none() && fronts > *replication_factor => {
                change_member_list(fleet, *replication_factor);
                totals.listed += 1;
            }
            // A health report from gossip that is wrong about one front.
            9 => {
                let (up, away): (Vec<usize>, Vec<usize>) =
                    (0..fronts).partition(|k| fleet.is_up(*k) != (*k == n));
                fleet.set_health(&up, &away);
            }
            _ => {
                fleet.cut_links.clear();
                fleet.loss_rate = fleet.rng.random_range(0.0..0.1);
                fleet.duplication_rate = fleet.rng.random_range(0.0..0.1);
                heal_fronts(fleet);
            }
        }
    }

    /// Heals all faults; returns the fleet and the totals of the run.
    fn finish(self) -> (Fleet, Totals) {
        let Run {
            mut fleet,
            mut totals,
            ..
        } = self;
        (fleet.cut_links, fleet.loss_rate, fleet.duplication_rate) = (Vec::new(), 0.0, 0.0);
        heal_fronts(&mut fleet);
        let ledgers = fleet
            .fronts
            .iter()
            .filter_map(|front| front.ledger.as_ref());
        totals.moved = ledgers.map(|ledger| ledger.counters().rebalanced).sum();
        for request in &fleet.history.requests {
            match request.answer {
                Some((_, Outcome::Unreachable)) => totals.unreachable += 1,
                Some((_, Outcome::Stands(_))) => totals.stood += 1,
                _ => {}
            }
        }
        (fleet, totals)
    }
}

/// Cuts some fronts off from the others, and sometimes one more from both sides.
fn partition(fleet: &mut Fleet, first: usize) {
    let fronts = fleet.fronts.len();
    let count = fleet.rng.random_range(1..fronts);
    let side: Vec<usize> = (0..count).map(|k| (first + k) % fronts).collect();
    fleet.cut_off(&side);
    if fleet.rng.random_bool(0.3) {
        fleet.cut_off(&[(first + count) % fronts]); // into three parts
    }
}

/// Lets all fronts run at the usual disk speed again; a front whose saves fail gets a new disk.
fn heal_fronts(fleet: &mut Fleet) {
    for n in 0..fleet.fronts.len() {
        (fleet.fronts[n].max_save_time, fleet.fronts[n].is_stalled) = (4_000, false);
        if fleet.fronts[n].saves_fail {
            fleet.lose_disk(n);
        }
        if fleet.fronts[n].ledger.is_none() {
            fleet.start(n);
        }
    }
}

fn run(seed: u64, seconds: i64, reuse_disk_identity: bool) -> (Fleet, Totals) {
    let mut run = Run::new(seed, reuse_disk_identity);
    let end = run.fleet.now + seconds * SECOND;
    while run.fleet.now < end {
        run.run_step();
    }
    run.finish()
}

/// Changes the member list of all running fronts; the others read it when they start.
fn change_member_list(fleet: &mut Fleet, replication_factor: usize) {
    let mut members = Fleet::members(fleet.fronts.len());
    if fleet.setup.members.len() == members.len() && members.len() > replication_factor {
        members.remove(fleet.rng.random_range(0..members.len()));
    }
    fleet.set_members(members);
}

#[test]
fn random_faults_lose_no_acknowledged_entry_and_grant_no_key_twice() {
    let first: u64 = std::env::var("SEED")
        .ok()
        .and_then(|seed| seed.parse().ok())
        .unwrap_or(1);
    let seeds: u64 = std::env::var("SEEDS")
        .ok()
        .and_then(|seeds| seeds.parse().ok())
        .unwrap_or(16);
    let mut all = Totals::default();
    for seed in first..first + seeds {
        let (mut fleet, totals) = run(seed, 40, false);
        let is_replicated = fleet.run_until(60 * SECOND, Fleet::is_fully_replicated);
        for r in 0..4 {
            if is_replicated {
                fleet.request_until_answered(
                    r % fleet.fronts.len(),
                    &format!("r{r}"),
                    Operation::Read,
                );
            }
        }
        let violations = fleet.history.violations();
        assert!(
            violations.is_empty(),
            "seed {seed}: {} violations: {:#?}",
            violations.len(),
            &violations[..violations.len().min(3)]
        );
        assert!(
            is_replicated,
            "seed {seed}: not all replicas were rebuilt: {totals:?}"
        );
        assert!(totals.stood > 100, "seed {seed}: {totals:?}");
        all.lost_disks += totals.lost_disks;
        all.killed += totals.killed;
        all.stopped += totals.stopped;
        all.cut += totals.cut;
        all.failed += totals.failed;
        all.listed += totals.listed;
        all.moved += totals.moved;
        all.stood += totals.stood;
        all.unreachable += totals.unreachable;
    }
    println!("{seeds} seeds: {all:?}");
    let min_count = seeds as usize;
    assert!(
        all.lost_disks >= min_count
            && all.killed >= min_count
            && all.stopped >= min_count / 2
            && all.cut >= min_count,
        "{all:?}"
    );
}

/// Checks that the faults are strong enough: without the rule that a new disk has a new identity,
/// at least one of the seeds shows a violation.
#[test]
fn an_empty_disk_that_keeps_its_identity_violates_consistency() {
    let is_violated = |seed| !run(seed, 40, true).0.history.violations().is_empty();
    assert!((1..=24).any(is_violated));
}
