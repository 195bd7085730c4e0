//! What clients of a run over sites have seen, and what lies where in the end.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Mutex;

use crate::engine::EngineEventKind;
use crate::record::account::Account;
use crate::record::rows::{Row, Scatter};
use crate::rig::sites::Sites;

/// A load as its client saw it: its value, when it was sent and acknowledged, and at which front.
pub(super) struct Loaded {
    pub(super) id: String,
    pub(super) value: i64,
    pub(super) sent: i64,
    pub(super) acknowledged: i64,
    pub(super) front: usize,
}

#[derive(Default)]
pub(super) struct AnswerRecords {
    pub(super) scatters: Mutex<Vec<(usize, Scatter)>>,
    pub(super) loads: Mutex<Vec<Loaded>>,
}

/// Rows of an answer: site and value in each line.
pub(super) fn read(body: &str) -> Vec<(usize, i64)> {
    let row = |line: &str| {
        let mut columns = line.split('\t');
        Some((columns.next()?.parse().ok()?, columns.next()?.parse().ok()?))
    };
    body.lines().filter_map(row).collect()
}

pub(super) type Violations = BTreeMap<&'static str, Vec<String>>;

/// The rows at each site in the end, and loads acknowledged whose rows are nowhere.
pub(super) fn held(
    (sites, seen): (&Sites, &AnswerRecords),
    first: &[Vec<i64>],
) -> (Vec<Row>, Violations) {
    let there = |site: usize| {
        first[site].iter().map(move |value| Row {
            site,
            value: *value,
            asked: 0,
            acknowledged: 0,
        })
    };
    let mut held: Vec<Row> = (0..first.len()).flat_map(there).collect();
    let mut violations = Violations::new();
    let (Ok(loads), Ok(landed)) = (seen.loads.lock(), sites.landed.lock()) else {
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
                let said = format!("{}: acknowledged, and its row is nowhere", load.id);
                violations.entry("row_missing").or_default().push(said);
            }
            None => {}
        }
    }
    (held, violations)
}

/// Sites that were asked, by the engines' records, and those with a row that matches.
pub(super) fn asked(whole: &[&Scatter], held: &[Row], account: &Account) -> (i64, i64) {
    let mut asked: BTreeMap<&str, BTreeSet<usize>> = BTreeMap::new();
    for event in &account.engine_events {
        if let EngineEventKind::Began { id, .. } = &event.kind {
            asked.entry(id).or_default().insert(event.engine);
        }
    }
    let (mut of, mut least) = (0, 0);
    for scatter in whole {
        of += asked.get(scatter.id.as_str()).map_or(0, BTreeSet::len) as i64;
        let matches = |row: &&Row| {
            (scatter.between.0..=scatter.between.1).contains(&row.value)
                && row.acknowledged < scatter.sent
        };
        least += held
            .iter()
            .filter(matches)
            .map(|row| row.site)
            .collect::<BTreeSet<_>>()
            .len() as i64;
    }
    (of, least)
}

/// Sites that fronts asked for nothing, by why, from the last word of each on them.
pub(super) fn counted(said: &[String]) -> BTreeMap<String, u64> {
    let mut counts = BTreeMap::new();
    for line in said {
        let of = line.rsplit_once("without rows, ").map_or("", |(_, of)| of);
        for (why, count) in of.split(", ").filter_map(|one| one.rsplit_once(": ")) {
            *counts.entry(why.to_string()).or_default() += count.parse::<u64>().unwrap_or(0);
        }
    }
    counts
}
