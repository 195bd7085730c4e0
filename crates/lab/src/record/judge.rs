//! The checks of a run's record, the run's tallies and its table.

mod owners;
mod shedding;
mod table;
mod zones;

use std::collections::BTreeMap;

use self::owners::count_owners;
use self::shedding::count_shed;
use self::table::table;
use self::zones::{link_cut, zone_lost};
use super::account::{Account, Run, SECOND};
use super::{attempts, given_up, herd, promises};
use crate::check::{self, Agreement, Outcome, StatementRecord};
use crate::engine::EngineEvent;
use crate::rig::scenario::{FaultKind, Scenario};

/// Checks the rules over the record and computes the tallies and the table.
pub fn judge(scenario: &Scenario, account: &Account, pids: Vec<u32>) -> Run {
    let Account {
        asked,
        relayed,
        played,
        ..
    } = account;
    let agreed = Agreement {
        slack: account.slack,
        ..Agreement::default()
    };
    let mut tallies = BTreeMap::new();
    let mut violations = promises::check(scenario, account, &mut tallies);
    // A retry by the client counts as a separate statement of the front that received it. Order
    // keys span the fleet here and have a separate check.
    let statements: Vec<StatementRecord> = asked.iter().map(promises::at_its_front).collect();
    let engine_events = given_up::with_cancelled_ends(scenario, account);
    let engine_events: Vec<EngineEvent> = engine_events
        .iter()
        .map(|event| promises::by_its_front(event, account))
        .collect();
    for (rule, found) in check::check(&statements, &[], &engine_events, &agreed) {
        violations.entry(rule).or_default().extend(found);
    }
    attempts::add_histories(&mut violations, account);
    let count =
        |f: &dyn Fn(&Outcome) -> bool| statements.iter().filter(|a| f(&a.outcome)).count() as i64;
    tallies.insert("statements", statements.len() as i64);
    tallies.insert(
        "completed",
        count(&|o| matches!(o, Outcome::Completed { .. })),
    );
    tallies.insert("refused", count(&|o| matches!(o, Outcome::Error(_))));
    tallies.insert(
        "unanswered",
        count(&|o| matches!(o, Outcome::Lost | Outcome::Nothing | Outcome::Spoilt)),
    );
    tallies.insert(
        "excused",
        statements.iter().filter(|a| a.may_be_lost).count() as i64,
    );
    tallies.insert("faults", scenario.faults.len() as i64);
    tallies.insert("faults_played", played.len() as i64);
    tallies.insert("turned_away_by_engines", account.rejected);
    tallies.insert("starved_seconds", account.starved.spans().len() as i64);
    tallies.insert("start_seconds", account.began / SECOND);
    tallies.insert("probes", relayed.iter().map(|r| r.probes as i64).sum());
    let hups = scenario
        .faults
        .iter()
        .filter(|f| f.what == FaultKind::Hup)
        .count();
    if hups > 0 {
        tallies.insert("read_again", account.config_reloads);
    }
    tallies.insert(
        "peak_load_over_bound_pct",
        (account.peak * 100.0).round() as i64,
    );
    if scenario.fleet.gossip {
        let seconds = scenario.seconds as i64 * scenario.fleet.fronts as i64;
        let over = account.began + scenario.seconds as i64 * SECOND;
        let during = account
            .datagrams
            .iter()
            .filter(|p| p.at >= account.began && p.at < over);
        let sent: i64 = during.map(|p| p.bytes as i64).sum();
        tallies.insert("gossip_bytes_per_front_s", sent / seconds.max(1));
        tallies.insert(
            "gossip_bytes_per_s",
            sent / (scenario.seconds as i64).max(1),
        );
        tallies.insert(
            "gossip_lost",
            account.datagrams.iter().filter(|p| !p.passed).count() as i64,
        );
    }
    for (fault, from, to) in played {
        match fault.what {
            FaultKind::ZoneLost => zone_lost(scenario, account, (fault, *from, *to), &mut tallies),
            FaultKind::Release => herd::released(scenario, account, (fault, *from), &mut tallies),
            FaultKind::LinkCut => link_cut(account, (fault, *from, *to), &mut tallies),
            _ => {}
        }
    }
    count_shed(scenario, account.began, asked, &mut tallies);
    if let Some(first) = account.dispatched_statements {
        let all: i64 = relayed.iter().map(|r| r.statements as i64).sum();
        tallies.insert("attempts_over_first_pct", all * 100 / first.max(1));
    }
    if scenario.fleet.voters.is_some() {
        count_owners(account, &mut tallies);
    }
    let table = table(scenario, account.began, asked, relayed);
    Run {
        tallies,
        violations,
        table,
        played: played.clone(),
        asked: asked.clone(),
        pids,
    }
}

#[cfg(test)]
#[path = "judge_tests.rs"]
mod tests;
