//! A cancelled attempt no longer counts as in flight, as the protocol has it, even if a stand-in
//! engine without a CPU recorded its end later.

use std::collections::HashMap;

use super::account::Account;
use crate::check::Repeat;
use crate::engine::{EngineEvent, EngineEventKind, WireEvent, WireEventKind};
use crate::rig::scenario::Scenario;

/// Microseconds that must lie between the cancellation of one attempt and the next attempt, as read
/// by the relays: half of what fronts wait.
const MIN_GAP_US: i64 = 5_000;
/// Microseconds before and after, within which a rig without a CPU may have read its connections
/// late and in another order.
const REORDERING_US: i64 = 1_000_000;

/// Returns the engine events of the record, with an end added for each attempt that was cancelled
/// before the next attempt of its statement was sent, and without the starts of attempts that were
/// cancelled before they started.
pub fn with_cancelled_ends(scenario: &Scenario, account: &Account) -> Vec<EngineEvent> {
    let mut engine_events = account.engine_events.clone();
    let repeated = |o: &&super::account::Offered| {
        o.asked.repeat == Repeat::Idempotent
            && !scenario.classes.get(o.class).is_some_and(|c| c.goes_on)
    };
    let mut runs: HashMap<&str, Vec<&EngineEvent>> = account
        .asked
        .iter()
        .filter(repeated)
        .map(|o| (o.asked.id.as_str(), Vec::new()))
        .collect();
    for event in &account.engine_events {
        if let EngineEventKind::Began { id, .. } = &event.kind {
            runs.entry(id).and_modify(|runs| runs.push(event));
        }
    }
    for (own, runs) in runs.into_iter().filter(|(_, runs)| runs.len() > 1) {
        for run in runs {
            match cancelled_at(account, run) {
                Some(at) if at < run.at => engine_events.retain(|event| event != run),
                at => {
                    let ended = |at| EngineEvent {
                        at,
                        kind: EngineEventKind::Ended {
                            id: own.to_string(),
                        },
                        ..run.clone()
                    };
                    engine_events.extend(at.map(ended));
                }
            }
        }
    }
    engine_events.sort_by_key(|event| event.at);
    engine_events
}

/// Returns when the relay had read that a run was cancelled, if it certainly read the next attempt
/// later. If the rig was late, the cancellation may also precede the start; such an attempt never
/// counted as in flight.
fn cancelled_at(account: &Account, run: &EngineEvent) -> Option<i64> {
    let (port, id) = account.arrivals.get(&(run.engine, run.link))?;
    let is_want = |w: &&WireEvent| match &w.kind {
        WireEventKind::Line {
            verb, id: other, ..
        } => verb == "want" && other == id,
        _ => false,
    };
    let is_here = |w: &&WireEvent| (w.engine, w.port) == (run.engine, *port);
    let since = account.wire_events.iter().filter(is_here).find(is_want)?.at;
    let here = || {
        account
            .wire_events
            .iter()
            .filter(is_here)
            .filter(|w| w.at >= since)
    };
    // A relay closes both sides: the front closed its side itself only if the engine's side was
    // still open.
    let lost = here()
        .find(|w| w.kind == WireEventKind::EngineClosed)
        .map_or(i64::MAX, |w| w.at);
    let ends = |w: &&WireEvent| match &w.kind {
        WireEventKind::Line {
            verb,
            id: other,
            passed,
        } => *passed && verb == "never_mind" && other == id,
        WireEventKind::FrontClosed => w.at < lost,
        WireEventKind::EngineClosed => false,
    };
    let at = here().filter(ends).map(|w| w.at).min()?;
    let late = |until: i64| {
        account
            .starved
            .rig((at - REORDERING_US, until + REORDERING_US))
            > 0
    };
    if at < run.at {
        return late(run.at).then_some(at);
    }
    let elsewhere = |w: &&WireEvent| w.at > run.at && !is_here(w);
    let next = account
        .wire_events
        .iter()
        .filter(is_want)
        .filter(elsewhere)
        .map(|w| w.at)
        .min()?;
    (next >= at + MIN_GAP_US || next >= at && late(next)).then_some(at)
}
