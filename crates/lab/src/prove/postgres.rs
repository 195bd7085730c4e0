//! `prove postgres`: a real front among engines that crash, drain, reset, stall, answer late and
//! lose commits, with clients of a library and scripted sessions. Faults and load are drawn from
//! the seed.

mod clients;
mod faults;
mod keys;
mod load;
pub mod notes;
mod sampling;
mod setup;

use std::collections::BTreeMap;
use std::sync::atomic::Ordering::SeqCst;
use std::time::{Duration, Instant};

use self::faults::FAULTS;
use self::load::{Load, LoadOutcome};
use self::notes::Notes;
use self::sampling::FrontMemory;
use self::setup::{is_big, Setup, ENGINES};
use crate::check::{check, Agreement, Outcome, StatementRecord, Transaction, Violations};
use crate::rig::Front;
use crate::scripted;

/// Time after which the run ends, however little was accepted.
const MAX_DURATION: Duration = Duration::from_secs(45);
/// Interval between samples of the front's memory.
const MEMORY_SAMPLE_INTERVAL: Duration = Duration::from_millis(20);
/// Microseconds by which a final answer may be late on a busy machine.
const ANSWER_SLACK_US: i64 = 400_000;
/// Microseconds after which no new statement is sent to a draining engine.
const DRAIN_GRACE_US: i64 = 2_000_000;
/// Spare attempts, share, and window in microseconds of the retry budget.
const RETRY_BUDGET: (f64, f64, i64) = (10.0, 0.2, 10_000_000);
/// Transactions that are open when the front is terminated.
const OPEN_TRANSACTIONS_AT_END: usize = 3;
/// Minimum of accepted units for each one that timed out; with fewer, something hangs.
const MIN_ACCEPTED_PER_TIMEOUT: usize = 50;
/// Minimum of accepted units for each rejected one; with fewer, the engines lack capacity.
const MIN_ACCEPTED_PER_REJECTION: usize = 20;
const MAX_PRINTED_VIOLATIONS: usize = 12; // violations printed of each rule

/// Seed and size of a run.
#[derive(Clone, Copy)]
pub struct RunSize {
    pub seed: u64,
    pub units: usize,
    /// Minimum number of times that each fault is injected.
    pub rounds: usize,
}

/// Runs a seed; returns whether it passed and the tallies of its result line.
pub fn run(size: RunSize) -> Result<(bool, String), String> {
    let began = Instant::now();
    let mut setup = Setup::start()?;
    let mut load = Load::start(size.seed, &setup)?;
    let memory = wait_until_enough(size, began, &mut setup);
    let mut violations = Violations::new();
    if !setup.front.is_up() {
        add(
            &mut violations,
            "front",
            format!("the front exited: {:?}", setup.front.last_log_line()),
        );
    }
    // The front is terminated while clients send statements and transactions are open.
    let open = scripted::open_transactions(
        setup.front.session_address,
        &setup.notes,
        OPEN_TRANSACTIONS_AT_END,
    );
    let ended_at = setup.notes.records.now();
    terminate_front(&mut setup.front, &setup.notes, &mut violations);
    load.join_clients();
    let notified_sessions = open
        .into_iter()
        .map(scripted::OpenTransaction::was_notified)
        .filter(|notified| *notified)
        .count();
    let played = load.join()?;
    let client_records = ClientRecords::of(&setup.notes, ended_at)?;
    check_rules(&client_records, &setup.notes, &played, &mut violations)?;
    violations
        .entry("memory")
        .or_default()
        .extend(memory.violation());
    let mut tallies = outcomes(&client_records.asked);
    for (key, value) in [
        ("accepted", client_records.accepted),
        ("asked", client_records.asked.len()),
        ("transactions", client_records.transactions.len()),
        ("drains", played.drains.len()),
        ("told_at_end", notified_sessions),
        ("memory_kb", memory.late_kb as usize),
        ("settled_kb", memory.early_kb as usize),
        (
            "stood_ms",
            (played
                .waited
                .samples
                .last()
                .map_or(0, |(_, waited)| *waited)
                / 1000) as usize,
        ),
        ("seconds", began.elapsed().as_secs() as usize),
    ] {
        *tallies.entry(key.into()).or_default() += value;
    }
    for (fault, count) in &played.faults {
        *tallies.entry((*fault).into()).or_default() += count;
    }
    check_coverage(size, &client_records, &tallies, &mut violations);
    Ok(result(&violations, tallies))
}

/// Waits until enough units were accepted and faults injected, the time limit is reached, or the
/// front has exited; samples its memory.
fn wait_until_enough(size: RunSize, began: Instant, setup: &mut Setup) -> FrontMemory {
    let mut memory = FrontMemory::default();
    let Setup { front, notes, .. } = setup;
    let is_enough = || {
        let played = notes.rounds.load(SeqCst).min(notes.drains.load(SeqCst));
        notes.count.load(SeqCst) >= size.units && played >= size.rounds
    };
    while began.elapsed() < MAX_DURATION && !is_enough() && front.is_up() {
        std::thread::sleep(MEMORY_SAMPLE_INTERVAL);
        memory.sample(notes.count.load(SeqCst), front.memory_kb());
    }
    memory
}

/// Sends SIGTERM to the front, stops the clients, and waits for the front's exit.
fn terminate_front(front: &mut Front, notes: &Notes, violations: &mut Violations) {
    front.terminate();
    notes.stop.store(true, SeqCst);
    let ended = front.wait_for_exit();
    if ended.is_none_or(|(well, _)| !well) {
        add(violations, "front", format!("after SIGTERM: {ended:?}"));
    }
}

/// Records of the clients.
struct ClientRecords {
    asked: Vec<StatementRecord>,
    transactions: Vec<Transaction>,
    accepted: usize,
}

impl ClientRecords {
    fn of(notes: &Notes, ended_at: i64) -> Result<ClientRecords, String> {
        let asked = notes.asked.lock().map_err(|e| e.to_string())?.clone();
        // Answers that arrive after the front has exited are not expected of it.
        let asked: Vec<StatementRecord> = asked
            .into_iter()
            .map(|a| StatementRecord {
                may_be_lost: a.may_be_lost || a.answered > ended_at - 1,
                ..a
            })
            .filter(|a| {
                !(a.sent > ended_at && matches!(a.outcome, Outcome::Lost | Outcome::Nothing))
            })
            .collect();
        let transactions = notes
            .transactions
            .lock()
            .map_err(|e| e.to_string())?
            .clone();
        Ok(ClientRecords {
            asked,
            transactions,
            accepted: notes.count.load(SeqCst),
        })
    }
}

/// Checks all rules on the records of clients and engines.
fn check_rules(
    client_records: &ClientRecords,
    notes: &Notes,
    played: &LoadOutcome,
    violations: &mut Violations,
) -> Result<(), String> {
    let engine_events = notes
        .records
        .engine_events
        .lock()
        .map_err(|e| e.to_string())?
        .clone();
    let agreed = Agreement {
        grace: DRAIN_GRACE_US,
        slack: ANSWER_SLACK_US,
        processor_waits: played.waited.clone(),
        bound_to: (0..ENGINES).filter(|engine| is_big(*engine)).collect(),
        retry_budget: Some(RETRY_BUDGET),
        drains: played.drains.clone(),
    };
    for (rule, found) in check(
        &client_records.asked,
        &client_records.transactions,
        &engine_events,
        &agreed,
    ) {
        violations.entry(rule).or_default().extend(found);
    }
    Ok(())
}

/// Counts statements by outcome.
fn outcomes(asked: &[StatementRecord]) -> BTreeMap<String, usize> {
    let mut tallies = BTreeMap::new();
    for a in asked {
        let outcome = match &a.outcome {
            Outcome::Completed { .. } => "completed".to_string(),
            Outcome::Error(_) if a.expected_error.is_some() => "own_errors".to_string(),
            Outcome::Error(code) => format!("e{code}"),
            other => format!("{other:?}").to_lowercase(),
        };
        *tallies.entry(outcome).or_default() += 1;
    }
    tallies
}

/// Adds violations if the run exercised too little to mean anything.
fn check_coverage(
    size: RunSize,
    client_records: &ClientRecords,
    tallies: &BTreeMap<String, usize>,
    violations: &mut Violations,
) {
    let accepted = client_records.accepted;
    if accepted < size.units {
        add(
            violations,
            "run",
            format!("{accepted} of {} units", size.units),
        );
    }
    let ended_by = |a: &StatementRecord, code: &str| matches!(&a.outcome, Outcome::Error(expected) if expected == code);
    // Faults are short: a statement that times out without having been meant to is stuck somewhere.
    let timed_out = client_records
        .asked
        .iter()
        .filter(|a| !a.cancel_requested && ended_by(a, "57014"))
        .count();
    if timed_out * MIN_ACCEPTED_PER_TIMEOUT > accepted {
        add(
            violations,
            "run",
            format!("{timed_out} statements timed out"),
        );
    }
    // The engines have enough capacity for few statements to be rejected.
    let rejected = client_records
        .asked
        .iter()
        .filter(|a| ended_by(a, "53000"))
        .count();
    if rejected * MIN_ACCEPTED_PER_REJECTION > accepted {
        add(
            violations,
            "run",
            format!("{rejected} statements were rejected"),
        );
    }
    for fault in FAULTS.into_iter().chain(["drains"]) {
        if tallies.get(fault).copied().unwrap_or(0) < size.rounds {
            add(
                violations,
                "run",
                format!("{fault} were injected fewer than {} times", size.rounds),
            );
        }
    }
}

/// Prints the violations; returns whether the run passed and the tallies of its result line.
fn result(violations: &Violations, mut tallies: BTreeMap<String, usize>) -> (bool, String) {
    for (rule, found) in violations {
        for what in found.iter().take(MAX_PRINTED_VIOLATIONS) {
            eprintln!("{rule}: {what}");
        }
    }
    let count: usize = violations.values().map(Vec::len).sum();
    tallies.insert("violations".into(), count);
    let line: Vec<String> = tallies
        .iter()
        .map(|(key, value)| format!("{key}={value}"))
        .collect();
    (count == 0, line.join(" "))
}

fn add(violations: &mut Violations, rule: &'static str, what: String) {
    violations.entry(rule).or_default().push(what);
}

#[cfg(test)]
#[path = "postgres_tests.rs"]
mod tests;
