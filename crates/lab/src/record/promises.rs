//! All checks of the ledger entries that fronts keep for each other, applied to a fleet's record.

use hallmux_ledger::Setup;

use crate::check::{Outcome, StatementRecord, Violations};
use crate::engine::{EngineEvent, EngineEventKind};
use crate::rig::agreed::settings;
use crate::rig::scenario::{FaultKind, Scenario};

use super::account::{Account, Offered, Tallies};
use super::cuts::{Connectivity, Partition};
use super::executions::executions;
use super::refused::Terms;
use super::repeats::Repeats;
use super::{order, refused, repeats, unpromised};

/// Microseconds of quiet until every shard has an owner: two leases and an election.
const SETTLE_US: i64 = 6_000_000;
const MAX_REFUSAL_DELAY_US: i64 = 1_000_000; // within which a missing ledger entry is reported
const TOLERATED_REFUSALS: usize = 0; // statements that engines may have rejected

/// Returns the record of the statement as one of the front that received it: each front receives it
/// once.
pub fn at_its_front(offered: &Offered) -> StatementRecord {
    StatementRecord {
        id: format!("{} at front {}", offered.asked.id, offered.front),
        ..offered.asked.clone()
    }
}

/// Returns the event as one of the front that sent the statement, without the order key.
pub fn by_its_front(event: &EngineEvent, account: &Account) -> EngineEvent {
    let mut event = event.clone();
    let front = account
        .sent_by
        .get(&(event.engine, event.link))
        .copied()
        .unwrap_or_default();
    match &mut event.kind {
        EngineEventKind::Began { id, key } => {
            key.clear();
            *id = format!("{id} at front {front}");
        }
        EngineEventKind::Ended { id } | EngineEventKind::Kept { id } => {
            *id = format!("{id} at front {front}")
        }
        _ => {}
    }
    event
}

/// Returns which fronts could reach each other, from the faults as injected.
pub fn connectivity(scenario: &Scenario, account: &Account) -> Connectivity {
    let fronts = scenario.fleet.fronts;
    // Shards had no owners until the load began.
    let mut connectivity = Connectivity {
        fronts,
        disturbed: vec![(0, account.began)],
        ..Connectivity::default()
    };
    for (fault, from, to) in &account.played {
        let (from, to) = (*from, *to);
        match fault.what {
            FaultKind::FrontsSplit => {
                let split = fault.split();
                connectivity.cuts.push(Partition {
                    from,
                    to,
                    groups: (0..fronts).map(|n| split.group(n)).collect(),
                });
                connectivity.disturbed.extend([(from, from), (to, to)]);
            }
            FaultKind::Stall | FaultKind::Kill | FaultKind::Term | FaultKind::LoseDisk => {
                connectivity.unavailable.push((fault.front, from, to));
                connectivity.disturbed.extend([(from, from), (to, to)]);
            }
            _ => connectivity.disturbed.push((from, to)),
        }
    }
    connectivity.starved = account.starved.spans();
    connectivity
}

/// Returns how long after the end of a partition the last statement was sent that needed a ledger
/// entry and was rejected for want of it, in milliseconds. Only quick rejections count, as others
/// waited for their key, and only those before the next fault.
fn after_cuts(account: &Account) -> i64 {
    let cuts = account
        .played
        .iter()
        .filter(|(fault, ..)| fault.what == FaultKind::FrontsSplit);
    let last = |end: i64| {
        let next = account
            .played
            .iter()
            .map(|(_, from, _)| *from)
            .filter(|from| *from > end)
            .min();
        let soon = |o: &&Offered| o.asked.answered - o.asked.sent < MAX_REFUSAL_DELAY_US;
        let refused = account
            .asked
            .iter()
            .filter(|o| unpromised::needs_ledger_entry(o) && soon(o) && !o.barred);
        let refused =
            refused.filter(|o| matches!(&o.asked.outcome, Outcome::Error(code) if code == "53000"));
        let next = next.unwrap_or(i64::MAX);
        let after = refused.filter(|o| o.asked.sent >= end && o.asked.answered < next);
        after
            .map(|o| o.asked.sent)
            .max()
            .map_or(0, |sent| (sent - end) / 1000)
    };
    cuts.map(|(.., end)| last(*end)).max().unwrap_or(0)
}

/// Returns for how many microseconds an order key is kept after a statement that may still be
/// running: the agreed time plus the allowed clock skew of the fronts.
fn key_retention(scenario: &Scenario) -> i64 {
    let agreed = settings(scenario)["rules"]["turnGapMs"]
        .as_i64()
        .unwrap_or(0);
    let skew = Setup::new("lab", 0, 0, 1, Vec::new()).clock_skew_ms as i64;
    (agreed + skew) * 1000
}

/// Runs all these checks and adds their tallies.
pub fn check(scenario: &Scenario, account: &Account, tallies: &mut Tallies) -> Violations {
    let mut wrong = Violations::new();
    let ran = executions(&account.engine_events, &account.sent_by);
    let lost: Vec<(usize, i64)> = (account.played.iter())
        .filter(|(fault, ..)| matches!(fault.what, FaultKind::Kill | FaultKind::LoseDisk))
        .map(|(fault, from, _)| (fault.front, *from))
        .chain(account.steps.iter().map(|(_, front, at)| (*front, *at)))
        .collect();
    let agreed: Vec<Repeats> = (scenario.classes.iter())
        .map(|class| Repeats {
            window: class.window_ms as i64 * 1000,
            all: true,
        })
        .collect();
    let zone = |engine: usize| engine / scenario.fleet.engines_per_zone;
    order::check(&mut wrong, &ran, &account.asked, &lost);
    repeats::check(&mut wrong, &ran, &account.asked, (&agreed, &zone), &lost);
    let keyed = || {
        account
            .asked
            .iter()
            .filter(|o| unpromised::needs_ledger_entry(o))
    };
    if keyed().next().is_none() {
        return wrong;
    }
    let runs = |o: &&Offered| !o.is_retry && ran.iter().any(|x| x.id == o.asked.id);
    tallies.insert("promised_runs", keyed().filter(runs).count() as i64);
    let ran_keyed = ran.iter().filter(|x| !x.key.is_empty()).count() as i64;
    // Statements that need no ledger entry must not be delayed by those that wait for one.
    let plain = account
        .asked
        .iter()
        .filter(|o| !unpromised::needs_ledger_entry(o) && !o.asked.may_be_lost);
    let mut took: Vec<i64> = plain
        .map(|o| (o.asked.answered - o.asked.sent) / 1000)
        .collect();
    took.sort_unstable();
    tallies.insert(
        "plain_median_ms",
        took.get(took.len() / 2).copied().unwrap_or(0),
    );
    tallies.insert(
        "plain_p99_ms",
        took.get(took.len() * 99 / 100).copied().unwrap_or(0),
    );
    tallies.insert("promised", keyed().count() as i64);
    tallies.insert("keyed_runs", ran_keyed);
    tallies.insert(
        "asked_again",
        account.asked.iter().filter(|o| o.is_retry).count() as i64,
    );
    tallies.insert("steps_played", account.steps.len() as i64);
    if let Some(copies) = scenario.fleet.copies {
        let connectivity = connectivity(scenario, account);
        tallies.insert("refused_after_cut_ms", after_cuts(account));
        let majority = copies / 2 + 1;
        // Enough fronts for every shard's copies to have a majority, whichever fronts hold them.
        let enough = scenario.fleet.fronts - (copies - majority);
        unpromised::check(
            &mut wrong,
            &ran,
            (&account.asked, &account.starved),
            (&connectivity, majority),
        );
        let key_retention = key_retention(scenario);
        let terms = Terms {
            majority: enough,
            settle_time: SETTLE_US,
            key_retention,
            tolerated: TOLERATED_REFUSALS,
        };
        refused::check(&mut wrong, &account.asked, (&connectivity, terms));
    }
    wrong
}
