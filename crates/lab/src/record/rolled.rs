//! While fronts are shut down one after another, no statement is rejected, lost or aborted because
//! of it, and a statement that needs a ledger entry waits no longer than a stated time before an
//! engine starts it.

use std::collections::{BTreeMap, HashMap};

use super::account::{Account, Offered, Tallies};
use super::executions::{executions, Execution};
use super::unpromised::needs_ledger_entry;
use crate::check::{Outcome, Violations};

/// Microseconds without a CPU after which a client may connect to a port that was closed meanwhile.
const MIN_CLIENT_STALL_US: i64 = 300_000;

/// The limits that must hold.
#[derive(Clone, Copy, Debug)]
pub struct Terms {
    /// Microseconds from the send of a statement, or from when its key is free, until an engine
    /// starts it.
    pub max_wait: i64,
    /// Microseconds from the request to shut a front down until its process has ended.
    pub max_shutdown: i64,
}

/// Returns how long each statement that needs a ledger entry waited for its front and the ledger,
/// but not for its key, and when the wait ended.
fn waits<'a>(asked: &'a [Offered], ran: &[Execution]) -> Vec<(&'a Offered, i64, i64)> {
    let mut by_key: BTreeMap<&str, Vec<&Execution>> = BTreeMap::new();
    ran.iter()
        .filter(|x| !x.key.is_empty())
        .for_each(|x| by_key.entry(&x.key).or_default().push(x));
    let mut first: HashMap<(&str, usize), &Execution> = HashMap::new();
    ran.iter()
        .for_each(|x| _ = first.entry((x.id.as_str(), x.front)).or_insert(x));
    let wait = |o: &'a Offered| {
        let execution = first.get(&(o.asked.id.as_str(), o.front))?;
        let others = by_key.get(execution.key.as_str()).into_iter().flatten();
        let before = others
            .filter(|x| x.id != execution.id && x.from < execution.from && x.to <= execution.from);
        let free = before.map(|x| x.to).max().unwrap_or(0);
        Some((o, execution.from - free.max(o.asked.sent), execution.from))
    };
    asked
        .iter()
        .filter(|o| needs_ledger_entry(o))
        .filter_map(wait)
        .collect()
}

/// Checks the limits over a run with shutdowns and adds the tallies of waits and shutdowns.
pub fn check(wrong: &mut Violations, account: &Account, terms: Terms, tallies: &mut Tallies) {
    let Account {
        asked,
        shutdowns,
        starved,
        ..
    } = account;
    let busy = starved.spans();
    let is_busy = |from: i64, to: i64| busy.iter().any(|(f, t)| *f <= to && from <= *t);
    let mut add = |rule: &'static str, what: String| wrong.entry(rule).or_default().push(what);
    for o in asked
        .iter()
        .filter(|o| !matches!(o.asked.outcome, Outcome::Completed { .. }))
    {
        let (sent, answered) = (o.asked.sent, o.asked.answered);
        let late_client =
            o.starved >= MIN_CLIENT_STALL_US && matches!(o.asked.outcome, Outcome::Lost);
        if late_client || is_busy(sent, answered) {
            continue;
        }
        let rule = match &o.asked.outcome {
            Outcome::Error(code) if code == "53000" => "refused_by_a_roll",
            Outcome::Error(_) => "aborted_by_a_roll",
            _ => "unanswered_by_a_roll",
        };
        let ms = |at: i64| (at - account.began) / 1000;
        let finding = format!("{} {} at front {}", o.asked.id, o.asked.key, o.front);
        add(
            rule,
            format!(
                "{finding}, sent at {} ms, answered at {} ms",
                ms(sent),
                ms(answered)
            ),
        );
    }
    let ran = executions(&account.engine_events, &account.sent_by);
    let waited = waits(asked, &ran);
    let mut all: Vec<i64> = waited.iter().map(|(_, wait, _)| *wait / 1000).collect();
    all.sort_unstable();
    let near = |at: i64| {
        shutdowns
            .iter()
            .any(|end| end.asked <= at && at <= end.exited + terms.max_wait)
    };
    let ended: Vec<i64> = waited
        .iter()
        .filter(|(.., at)| near(*at))
        .map(|(_, wait, _)| *wait / 1000)
        .collect();
    for (o, wait, at) in &waited {
        if *wait > terms.max_wait && !is_busy(o.asked.sent, *at) {
            let (id, ms) = (&o.asked.id, wait / 1000);
            add(
                "long_wait",
                format!("{id} {} at front {}: {ms} ms", o.asked.key, o.front),
            );
        }
    }
    for end in shutdowns {
        let duration = end.exited.saturating_sub(end.asked);
        if !end.succeeded || duration > terms.max_shutdown && !is_busy(end.asked, end.exited) {
            let how = if end.succeeded {
                "well"
            } else {
                "with an error"
            };
            add(
                "end",
                format!(
                    "front {} ended {how} after {} ms",
                    end.front,
                    duration / 1000
                ),
            );
        }
    }
    // Statements that needed a ledger entry and were in flight at a front when its shutdown was
    // requested.
    let out = |end: &&crate::rig::member::Shutdown| {
        let out = |o: &Offered| {
            o.front == end.front
                && needs_ledger_entry(o)
                && o.asked.sent < end.asked
                && end.asked < o.asked.answered
        };
        asked.iter().any(out)
    };
    for (key, value) in [
        (
            "wait_median_ms",
            all.get(all.len() / 2).copied().unwrap_or(0),
        ),
        (
            "wait_p99_ms",
            all.get(all.len() * 99 / 100).copied().unwrap_or(0),
        ),
        ("wait_most_ms", all.last().copied().unwrap_or(0)),
        ("waited_during_ends", ended.len() as i64),
        (
            "wait_most_during_ends_ms",
            ended.into_iter().max().unwrap_or(0),
        ),
        (
            "ends",
            shutdowns.iter().filter(|end| end.succeeded).count() as i64,
        ),
        (
            "ends_with_promises_out",
            shutdowns.iter().filter(out).count() as i64,
        ),
        (
            "end_most_ms",
            shutdowns
                .iter()
                .map(|e| e.exited.saturating_sub(e.asked))
                .max()
                .unwrap_or(0)
                / 1000,
        ),
    ] {
        tallies.insert(key, value);
    }
}

#[cfg(test)]
#[path = "rolled_tests.rs"]
mod tests;
