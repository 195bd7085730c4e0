//! The rules, checked on what clients and engines recorded, never on what a front reports of
//! itself.

mod answers;
mod statements;
mod turns;
mod waits;

use std::collections::HashMap;

use self::answers::{answers, effects};
use self::statements::Execution;
pub use self::statements::{
    Agreement, Drain, Outcome, Repeat, StatementRecord, Transaction, Violations,
};
use self::turns::{drains, order, placement, repeats};
pub use self::waits::ProcessorWaits;
use crate::engine::{EngineEvent, EngineEventKind};

/// Checks all rules and returns the violations.
pub fn check(
    asked: &[StatementRecord],
    transactions: &[Transaction],
    engine_events: &[EngineEvent],
    agreed: &Agreement,
) -> Violations {
    let mut wrong = Violations::new();
    let executions = executions(engine_events);
    let kept = kept(engine_events);
    answers(&mut wrong, asked, agreed);
    effects(&mut wrong, asked, transactions, &executions, &kept);
    repeats(&mut wrong, asked, &executions, agreed);
    drains(&mut wrong, engine_events, agreed);
    order(&mut wrong, asked, &executions);
    placement(&mut wrong, asked, &executions, agreed);
    wrong
}

fn executions(engine_events: &[EngineEvent]) -> HashMap<String, Vec<Execution>> {
    let mut all: HashMap<String, Vec<Execution>> = HashMap::new();
    for event in engine_events {
        match &event.kind {
            EngineEventKind::Began { id, key } => {
                let (engine, link, from, key) = (event.engine, event.link, event.at, key.clone());
                let execution = Execution {
                    engine,
                    link,
                    from,
                    to: i64::MAX,
                    key,
                };
                all.entry(id.clone()).or_default().push(execution);
            }
            EngineEventKind::Ended { id } => {
                let out = all.get_mut(id).into_iter().flatten();
                let own = |x: &&mut Execution| {
                    x.engine == event.engine && x.link == event.link && x.to == i64::MAX
                };
                out.filter(own).for_each(|x| x.to = event.at);
            }
            _ => {}
        }
    }
    all
}

fn kept(engine_events: &[EngineEvent]) -> HashMap<String, usize> {
    let mut all = HashMap::new();
    for event in engine_events {
        if let EngineEventKind::Kept { id } = &event.kind {
            *all.entry(id.clone()).or_default() += 1;
        }
    }
    all
}

#[cfg(test)]
#[path = "check_tests.rs"]
mod tests;
