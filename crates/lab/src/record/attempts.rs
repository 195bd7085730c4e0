//! The history of a statement that broke a rule about repeats: its client, each of its executions,
//! the messages about them on each connection, and the warnings of its front, in the order of time.

use std::collections::{BTreeSet, HashSet};

use super::account::Account;
use crate::check::Violations;
use crate::engine::{EngineEventKind, WireEvent, WireEventKind};

/// Rules whose violations get the history of their statement.
const RULES: [&str; 3] = ["repeats", "second_run", "promise_lost"];
const MAX_VIOLATIONS: usize = 5; // per rule; further ones are not printed either
/// Microseconds before and after the statement, within which warnings of its front are included.
const WARNING_MARGIN_US: i64 = 1_000_000;
const MAX_WARNINGS: usize = 12;

/// Appends the history of the statement to each violation of these rules.
pub fn add_histories(wrong: &mut Violations, account: &Account) {
    for rule in RULES {
        for found in wrong
            .get_mut(rule)
            .into_iter()
            .flatten()
            .take(MAX_VIOLATIONS)
        {
            let id = found.split([' ', ':']).next().unwrap_or_default();
            let history = history(account, id);
            found.push_str(&format!(" [{history}]"));
        }
    }
}

/// Returns everything that the rig saw of a statement, given its client's id.
fn history(account: &Account, id: &str) -> String {
    let mut seen: Vec<(i64, String)> = Vec::new();
    let mut fronts = BTreeSet::new();
    for offered in account.asked.iter().filter(|o| o.asked.id == id) {
        let (a, front) = (&offered.asked, offered.front);
        fronts.insert(front);
        seen.push((
            a.sent,
            format!(
                "asked of front {front}, {:?}, {} ms",
                a.repeat,
                a.timeout / 1000
            ),
        ));
        seen.push((
            a.answered,
            format!("front {front} answered {:?}", a.outcome),
        ));
    }
    // The connections over which the statement arrived, and the ids that it had there.
    let (mut ports, mut ids) = (HashSet::new(), HashSet::new());
    for event in &account.engine_events {
        let (what, own) = match &event.kind {
            EngineEventKind::Began { id, .. } => ("began", id),
            EngineEventKind::Ended { id } => ("ended", id),
            EngineEventKind::Kept { id } => ("lasting", id),
            _ => continue,
        };
        if own != id {
            continue;
        }
        let arrival = account.arrivals.get(&(event.engine, event.link));
        if let Some((port, id)) = arrival {
            ports.insert((event.engine, *port));
            ids.insert(id.as_str());
        }
        let over = arrival.map_or(String::new(), |(port, _)| format!(" over {port}"));
        seen.push((
            event.at,
            format!("engine {} run {}{over}: {what}", event.engine, event.link),
        ));
    }
    let mut events = Vec::new();
    for event in &account.wire_events {
        if let WireEventKind::Line { verb, id, passed } = &event.kind {
            if ids.contains(id.as_str()) {
                ports.insert((event.engine, event.port));
                events.push((
                    event,
                    if *passed {
                        verb.clone()
                    } else {
                        format!("{verb}, lost on the way")
                    },
                ));
            }
        }
    }
    let (first, last) = (
        seen.iter().map(|s| s.0).min(),
        seen.iter().map(|s| s.0).max(),
    );
    let (first, last) = (first.unwrap_or(0), last.unwrap_or(0));
    let around = |at: i64| at >= first - WARNING_MARGIN_US && at <= last + WARNING_MARGIN_US;
    let own = |w: &&WireEvent| ports.contains(&(w.engine, w.port)) && around(w.at);
    for event in account.wire_events.iter().filter(own) {
        match event.kind {
            WireEventKind::Line { .. } => {}
            WireEventKind::FrontClosed => events.push((event, "closed by the front".to_string())),
            WireEventKind::EngineClosed => events.push((event, "closed by the engine".to_string())),
        }
    }
    seen.extend(events.into_iter().map(|(w, what)| {
        let WireEvent {
            at,
            front,
            engine,
            port,
            ..
        } = w;
        (
            *at,
            format!("relay {port} between front {front} and engine {engine}: {what}"),
        )
    }));
    let warned = account
        .warned
        .iter()
        .filter(|(front, at, _)| fronts.contains(front) && around(*at));
    seen.extend(
        warned
            .take(MAX_WARNINGS)
            .map(|(front, at, line)| (*at, format!("front {front} logged: {line}"))),
    );
    seen.sort_by_key(|(at, _)| *at);
    let first = seen.first().map_or(0, |(at, _)| *at);
    let line = |(at, what): &(i64, String)| {
        let since = at - first;
        format!("{}.{:03} ms {what}", since / 1000, since % 1000)
    };
    seen.iter().map(line).collect::<Vec<_>>().join("; ")
}
