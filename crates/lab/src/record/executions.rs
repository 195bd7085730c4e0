//! Executions as engines recorded them: what started where, for which front, and when it ended.

use std::collections::HashMap;

use crate::engine::{EngineEvent, EngineEventKind};

/// One run of a statement on an engine; times are microseconds since the rig began.
#[derive(Clone, Debug, PartialEq)]
pub struct Execution {
    pub id: String,
    pub key: String,
    pub engine: usize,
    /// The front that sent it, according to its connection.
    pub front: usize,
    pub from: i64,
    /// `i64::MAX` if it ran to the end of the record.
    pub to: i64,
    /// Whether its effect is lasting.
    pub kept: bool,
}

impl Execution {
    pub fn overlaps(&self, other: &Execution) -> bool {
        self.from < other.to && other.from < self.to
    }
}

/// Returns all executions in the order of their starts; `sent_by` maps an engine's link number to a
/// front.
pub fn executions(
    engine_events: &[EngineEvent],
    sent_by: &HashMap<(usize, u32), usize>,
) -> Vec<Execution> {
    let mut all: Vec<Execution> = Vec::new();
    let mut at: HashMap<(usize, u32, &str), usize> = HashMap::new();
    for event in engine_events {
        let (id, ended, kept) = match &event.kind {
            EngineEventKind::Began { id, key } => {
                at.insert((event.engine, event.link, id), all.len());
                let front = sent_by
                    .get(&(event.engine, event.link))
                    .copied()
                    .unwrap_or(usize::MAX);
                let (id, key, engine, from) = (id.clone(), key.clone(), event.engine, event.at);
                all.push(Execution {
                    id,
                    key,
                    engine,
                    front,
                    from,
                    to: i64::MAX,
                    kept: false,
                });
                continue;
            }
            EngineEventKind::Ended { id } => (id, true, false),
            EngineEventKind::Kept { id } => (id, false, true),
            _ => continue,
        };
        let own = at
            .get(&(event.engine, event.link, id.as_str()))
            .and_then(|at| all.get_mut(*at));
        if let Some(own) = own {
            own.kept |= kept;
            own.to = if ended { own.to.min(event.at) } else { own.to };
        }
    }
    all.sort_by_key(|x| x.from);
    all
}

/// Creates an execution for unit tests from its id, key, front and span.
#[cfg(test)]
pub fn ran(
    id: &str,
    key: &str,
    (engine, front): (usize, usize),
    (from, to): (i64, i64),
) -> Execution {
    Execution {
        id: id.into(),
        key: key.into(),
        engine,
        front,
        from,
        to,
        kept: true,
    }
}

#[cfg(test)]
#[path = "executions_tests.rs"]
mod tests;
