//! Records of the clients of a run over sites, and where rows are in the end.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Mutex;

use crate::engine::EngineEventKind;
use crate::record::account::Account;
use crate::record::rows::{Row, Scatter};
use crate::rig::sites::Sites;

/// A load as its client recorded it: its value, when it was sent and acknowledged (`i64::MAX` if
/// never), and its front.
pub(super) struct LoadRecord {
    pub(super) id: String,
    pub(super) value: i64,
    pub(super) sent: i64,
    pub(super) acknowledged: i64,
    pub(super) front: usize,
}

/// Scatters, each with its front, and loads as their clients recorded them.
#[derive(Default)]
pub(super) struct AnswerRecords {
    pub(super) scatters: Mutex<Vec<(usize, Scatter)>>,
    pub(super) loads: Mutex<Vec<LoadRecord>>,
}

/// Parses the rows of an answer: site and value, separated by a tab, in each line.
pub(super) fn parse_rows(body: &str) -> Vec<(usize, i64)> {
    let row = |line: &str| {
        let mut columns = line.split('\t');
        Some((columns.next()?.parse().ok()?, columns.next()?.parse().ok()?))
    };
    body.lines().filter_map(row).collect()
}

pub(super) type Violations = BTreeMap<&'static str, Vec<String>>;

/// Returns the rows at each site at the end of a run, and a violation for each acknowledged load
/// whose row is at no site.
pub(super) fn final_rows(
    (sites, seen): (&Sites, &AnswerRecords),
    first: &[Vec<i64>],
) -> (Vec<Row>, Violations) {
    let initial_rows = |site: usize| {
        first[site].iter().map(move |value| Row {
            site,
            value: *value,
            asked: 0,
            acknowledged: 0,
        })
    };
    let mut held: Vec<Row> = (0..first.len()).flat_map(initial_rows).collect();
    let mut violations = Violations::new();
    let (Ok(loads), Ok(landed)) = (seen.loads.lock(), sites.row_sites.lock()) else {
        return (held, violations);
    };
    for load in loads.iter() {
        let (value, asked, acknowledged) = (load.value, load.sent, load.acknowledged);
        match landed.get(&load.id) {
            Some(site) => held.push(Row {
                site: *site,
                value,
                asked,
                acknowledged,
            }),
            None if acknowledged < i64::MAX => {
                let message = format!("{}: acknowledged, and its row is nowhere", load.id);
                violations.entry("row_missing").or_default().push(message);
            }
            None => {}
        }
    }
    (held, violations)
}

/// Counts the sites that were asked, by the engines' records, and those with a matching row.
pub(super) fn count_asked_sites(
    complete: &[&Scatter],
    held: &[Row],
    account: &Account,
) -> (i64, i64) {
    let mut asked: BTreeMap<&str, BTreeSet<usize>> = BTreeMap::new();
    for event in &account.engine_events {
        if let EngineEventKind::Began { id, .. } = &event.kind {
            asked.entry(id).or_default().insert(event.engine);
        }
    }
    let (mut asked_count, mut matching_count) = (0, 0);
    for scatter in complete {
        asked_count += asked.get(scatter.id.as_str()).map_or(0, BTreeSet::len) as i64;
        let matches = |row: &&Row| {
            (scatter.between.0..=scatter.between.1).contains(&row.value)
                && row.acknowledged < scatter.sent
        };
        matching_count += held
            .iter()
            .filter(matches)
            .map(|row| row.site)
            .collect::<BTreeSet<_>>()
            .len() as i64;
    }
    (asked_count, matching_count)
}

/// Counts the sites that fronts asked unnecessarily by reason, from the last log line of each
/// front.
pub(super) fn count_reasons(lines: &[String]) -> BTreeMap<String, u64> {
    let mut counts = BTreeMap::new();
    for line in lines {
        let asked_count = line
            .rsplit_once("without rows, ")
            .map_or("", |(_, asked_count)| asked_count);
        for (why, count) in asked_count
            .split(", ")
            .filter_map(|one| one.rsplit_once(": "))
        {
            *counts.entry(why.to_string()).or_default() += count.parse::<u64>().unwrap_or(0);
        }
    }
    counts
}
