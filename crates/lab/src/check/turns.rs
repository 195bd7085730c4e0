//! What may run again, where, when, and in which order.

use std::collections::{BTreeMap, HashMap};

use super::statements::{
    add_violation, Agreement, Drain, Execution, Outcome, Repeat, StatementRecord, Violations,
};
use crate::engine::{EngineEvent, EngineEventKind};

/// Checks that nothing runs twice that must not, nothing runs twice at once, and retries stay
/// within the budget.
pub(super) fn repeats(
    wrong: &mut Violations,
    asked: &[StatementRecord],
    executions: &HashMap<String, Vec<Execution>>,
    agreed: &Agreement,
) {
    let mut further = Vec::new();
    for a in asked {
        let Some(ran) = executions.get(&a.id) else {
            continue;
        };
        if ran.len() > 1 && (a.repeat == Repeat::NonIdempotent || a.transaction.is_some()) {
            add_violation(
                wrong,
                "repeats",
                format!("{}: ran {} times", a.id, ran.len()),
            );
        }
        for (n, x) in ran.iter().enumerate() {
            if ran[..n].iter().any(|y| y.from < x.to && x.from < y.to) {
                add_violation(wrong, "repeats", format!("{}: ran twice at once", a.id));
            }
        }
        further.extend(ran.iter().skip(1).map(|x| x.from));
    }
    let Some((spare, share, window)) = agreed.retry_budget else {
        return;
    };
    further.sort_unstable();
    let mut sent: Vec<i64> = asked.iter().map(|a| a.sent).collect();
    sent.sort_unstable();
    for (n, at) in further.iter().enumerate() {
        let since = at - window;
        let within = further[..=n].iter().filter(|t| **t > since).count() as f64;
        let taken = sent.partition_point(|t| t <= at) - sent.partition_point(|t| *t <= since);
        // The time of acceptance is known only from outside; the limit is relaxed by 15 % and one
        // execution.
        if within > (spare + share * taken as f64) * 1.15 + 1.0 {
            add_violation(
                wrong,
                "budget",
                format!("{within} further executions of {taken} statements at {at}"),
            );
        }
    }
}

/// Checks that nothing new starts on an engine that drains.
pub(super) fn drains(wrong: &mut Violations, engine_events: &[EngineEvent], agreed: &Agreement) {
    for event in engine_events {
        let new = matches!(
            event.kind,
            EngineEventKind::Began { .. } | EngineEventKind::Control { .. }
        );
        let drain = |d: &&Drain| {
            d.engine == event.engine && event.at > d.from + agreed.grace && event.at < d.to
        };
        if let Some(drain) = agreed.drains.iter().find(drain).filter(|_| new) {
            let ms = (event.at - drain.from) / 1000;
            add_violation(
                wrong,
                "drains",
                format!("engine {}: {:?} after {ms} ms", event.engine, event.kind),
            );
        }
    }
}

/// Checks that statements of one order key run one at a time, in the order in which they were
/// accepted.
pub(super) fn order(
    wrong: &mut Violations,
    asked: &[StatementRecord],
    executions: &HashMap<String, Vec<Execution>>,
) {
    let mut by_key: BTreeMap<&str, Vec<(i64, i64, &str)>> = BTreeMap::new();
    for (id, ran) in executions {
        for x in ran.iter().filter(|x| !x.key.is_empty()) {
            by_key.entry(&x.key).or_default().push((x.from, x.to, id));
        }
    }
    // The front accepted the statement within this span, however late each process got a CPU.
    let within = |a: &StatementRecord| {
        let answered = matches!(a.outcome, Outcome::Completed { .. } | Outcome::Error(_));
        (
            a.sent,
            a.accepted_at
                .or(answered.then_some(a.answered))
                .unwrap_or(i64::MAX),
        )
    };
    let took: HashMap<&str, (i64, i64)> =
        asked.iter().map(|a| (a.id.as_str(), within(a))).collect();
    for (key, mut ran) in by_key {
        ran.sort_unstable();
        for pair in ran.windows(2) {
            let ((_, to, first), (from, _, second)) = (pair[0], pair[1]);
            if first != second && from < to {
                add_violation(
                    wrong,
                    "order",
                    format!("{key}: {second} began while {first} ran"),
                );
            }
        }
        // The statement that was sent last among those that have run.
        let mut last: Option<(i64, &str)> = None;
        for (_, _, id) in ran {
            let Some((sent, taken)) = took.get(id).copied() else {
                continue;
            };
            if let Some((_, other)) = last.filter(|(at, _)| taken < *at) {
                add_violation(
                    wrong,
                    "order",
                    format!("{key}: {id} was taken before {other} was sent, but ran after it"),
                );
            }
            last = last.max(Some((sent, id)));
        }
    }
}

/// Checks that statements with `bound` run only on the engines in `Agreement::bound_to`.
pub(super) fn placement(
    wrong: &mut Violations,
    asked: &[StatementRecord],
    executions: &HashMap<String, Vec<Execution>>,
    agreed: &Agreement,
) {
    for a in asked.iter().filter(|a| a.bound) {
        for x in executions.get(&a.id).into_iter().flatten() {
            if !agreed.bound_to.contains(&x.engine) {
                add_violation(
                    wrong,
                    "placement",
                    format!("{}: ran on engine {}", a.id, x.engine),
                );
            }
        }
    }
}
