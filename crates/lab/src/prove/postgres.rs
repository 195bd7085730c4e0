//! `prove postgres`: a real front among engines that crash, drain, reset, stall, answer late and lose commits,
//! with clients of a library and scripted sessions. All is drawn from the seed.

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
use self::sampling::Memory;
use self::setup::{is_big, Setup, ENGINES};
use crate::check::{check, Agreement, Outcome, StatementRecord, Transaction, Violations};
use crate::rig::Front;
use crate::scripted;

const LONGEST: Duration = Duration::from_secs(45); // until no more is asked, however little was accepted
const SAMPLE: Duration = Duration::from_millis(20); // from one look at the front's memory to the next
const SLACK: i64 = 400_000; // microseconds for a final answer on a busy machine
const GRACE: i64 = 2_000_000; // microseconds after which nothing new goes to an engine that drains
const FURTHER: (f64, f64, i64) = (10.0, 0.2, 10_000_000); // spare, share and window of further executions
const OPEN_AT_END: usize = 3; // transactions that are open when the front is asked to end
const LEAST_PER_TIMEOUT: usize = 50; // accepted units to one that ran into its time limit; fewer: something hangs
const LEAST_PER_REJECTION: usize = 20; // accepted units to one turned away; fewer: engines are too short
const MOST_PRINTED: usize = 12; // violations printed of each rule

/// What a run is to be.
#[derive(Clone, Copy)]
pub struct Size {
    pub seed: u64,
    pub units: usize,
    /// How often each fault is played at least.
    pub rounds: usize,
}

/// Plays the run of a seed: whether it passed, and the tallies of its line.
pub fn run(size: Size) -> Result<(bool, String), String> {
    let began = Instant::now();
    let mut setup = Setup::start()?;
    let mut load = Load::start(size.seed, &setup)?;
    let memory = wait_until_enough(size, began, &mut setup);
    let mut wrong = Violations::new();
    if !setup.front.is_up() {
        add(
            &mut wrong,
            "front",
            format!("it ended: {:?}", setup.front.last()),
        );
    }
    // The planned end comes while clients ask and transactions are open.
    let open = scripted::open_transactions(setup.front.sessions, &setup.notes, OPEN_AT_END);
    let ended_at = setup.notes.records.now();
    end_front(&mut setup.front, &setup.notes, &mut wrong);
    load.clients_ended();
    let told_of_end = open
        .into_iter()
        .map(scripted::OpenTransaction::was_notified)
        .filter(|told| *told)
        .count();
    let played = load.ended()?;
    let seen = ClientRecords::of(&setup.notes, ended_at)?;
    check_seen(&seen, &setup.notes, &played, &mut wrong)?;
    wrong.entry("memory").or_default().extend(memory.wrong());
    let mut tallies = outcomes(&seen.asked);
    for (key, value) in [
        ("accepted", seen.accepted),
        ("asked", seen.asked.len()),
        ("transactions", seen.transactions.len()),
        ("drains", played.drains.len()),
        ("told_at_end", told_of_end),
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
    check_enough(size, &seen, &tallies, &mut wrong);
    Ok(result(&wrong, tallies))
}

/// Lets the load go on until enough was accepted and played, or the front is gone; samples its memory.
fn wait_until_enough(size: Size, began: Instant, setup: &mut Setup) -> Memory {
    let mut memory = Memory::default();
    let Setup { front, notes, .. } = setup;
    let enough = || {
        let played = notes.rounds.load(SeqCst).min(notes.drains.load(SeqCst));
        notes.count.load(SeqCst) >= size.units && played >= size.rounds
    };
    while began.elapsed() < LONGEST && !enough() && front.is_up() {
        std::thread::sleep(SAMPLE);
        memory.sample(notes.count.load(SeqCst), front.memory_kb());
    }
    memory
}

/// Asks the front to end, and clients with it.
fn end_front(front: &mut Front, notes: &Notes, wrong: &mut Violations) {
    front.terminate();
    notes.stop.store(true, SeqCst);
    let ended = front.ended();
    if ended.is_none_or(|(well, _)| !well) {
        add(wrong, "front", format!("after SIGTERM: {ended:?}"));
    }
}

/// What clients saw.
struct ClientRecords {
    asked: Vec<StatementRecord>,
    transactions: Vec<Transaction>,
    accepted: usize,
}

impl ClientRecords {
    fn of(notes: &Notes, ended_at: i64) -> Result<ClientRecords, String> {
        let asked = notes.asked.lock().map_err(|e| e.to_string())?.clone();
        // Where the front has ended, what came late was no longer its to answer.
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

/// Checks all rules on what clients and engines wrote down.
fn check_seen(
    seen: &ClientRecords,
    notes: &Notes,
    played: &LoadOutcome,
    wrong: &mut Violations,
) -> Result<(), String> {
    let engine_events = notes
        .records
        .engine_events
        .lock()
        .map_err(|e| e.to_string())?
        .clone();
    let agreed = Agreement {
        grace: GRACE,
        slack: SLACK,
        processor_waits: played.waited.clone(),
        bound_to: (0..ENGINES).filter(|engine| is_big(*engine)).collect(),
        retry_budget: Some(FURTHER),
        drains: played.drains.clone(),
    };
    for (rule, found) in check(&seen.asked, &seen.transactions, &engine_events, &agreed) {
        wrong.entry(rule).or_default().extend(found);
    }
    Ok(())
}

/// How many statements ended in each way.
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

/// A run in which too little happened proves nothing.
fn check_enough(
    size: Size,
    seen: &ClientRecords,
    tallies: &BTreeMap<String, usize>,
    wrong: &mut Violations,
) {
    let accepted = seen.accepted;
    if accepted < size.units {
        add(wrong, "run", format!("{accepted} of {} units", size.units));
    }
    let ended_by =
        |a: &StatementRecord, code: &str| matches!(&a.outcome, Outcome::Error(own) if own == code);
    // Faults are short: what runs into its time limit without having been asked to stands still somewhere.
    let timed_out = seen
        .asked
        .iter()
        .filter(|a| !a.cancel_requested && ended_by(a, "57014"))
        .count();
    if timed_out * LEAST_PER_TIMEOUT > accepted {
        add(
            wrong,
            "run",
            format!("{timed_out} ran into their time limit"),
        );
    }
    // Nor are engines so short that much is turned away.
    let turned_away = seen.asked.iter().filter(|a| ended_by(a, "53000")).count();
    if turned_away * LEAST_PER_REJECTION > accepted {
        add(wrong, "run", format!("{turned_away} turned away"));
    }
    for fault in FAULTS.into_iter().chain(["drains"]) {
        if tallies.get(fault).copied().unwrap_or(0) < size.rounds {
            add(
                wrong,
                "run",
                format!("{fault} were not played {} times", size.rounds),
            );
        }
    }
}

/// Prints what was found; whether the run passed, and the tallies of its line.
fn result(wrong: &Violations, mut tallies: BTreeMap<String, usize>) -> (bool, String) {
    for (rule, found) in wrong {
        for what in found.iter().take(MOST_PRINTED) {
            eprintln!("{rule}: {what}");
        }
    }
    let count: usize = wrong.values().map(Vec::len).sum();
    tallies.insert("violations".into(), count);
    let line: Vec<String> = tallies
        .iter()
        .map(|(key, value)| format!("{key}={value}"))
        .collect();
    (count == 0, line.join(" "))
}

fn add(wrong: &mut Violations, rule: &'static str, what: String) {
    wrong.entry(rule).or_default().push(what);
}

#[cfg(test)]
#[path = "postgres_tests.rs"]
mod tests;
