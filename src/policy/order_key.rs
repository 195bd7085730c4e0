//! Order keys: decides whether a statement is next in the order of its key.
//!
//! Inputs: the statement's order key, whether it has had an attempt, and the current time.
//!
//! Statements of one key run one at a time, in the order of their arrival. A statement with an
//! unknown outcome holds the key while it may still be running, and so does an open transaction.
//!
//! Source: the contract's settings (`docs/design.md`, "what may be sent where").

use std::collections::{BTreeMap, VecDeque};

use crate::interface::{KeyId, Micros, StatementId};

/// The queue of one order key.
#[derive(Default)]
struct OrderQueue {
    /// The statements without a final answer, in the order of arrival.
    statements: VecDeque<StatementId>,
    /// Executions still in flight for closed statements, plus transactions that hold the key.
    unresolved: usize,
    /// Until this time no statement is sent for the first time.
    paused_until: Micros,
}

/// The queues of all order keys in use. All methods ignore statements without a key.
#[derive(Default)]
pub struct OrderQueues(BTreeMap<KeyId, OrderQueue>);

impl OrderQueues {
    fn queue(&self, key: Option<KeyId>) -> Option<&OrderQueue> {
        key.and_then(|key| self.0.get(&key))
    }

    fn update(&mut self, key: Option<KeyId>, update: impl FnMut(&mut OrderQueue)) {
        key.and_then(|key| self.0.get_mut(&key))
            .into_iter()
            .for_each(update);
    }

    /// Appends an arrived statement to the queue of its key.
    pub fn enqueue(&mut self, key: Option<KeyId>, id: StatementId) {
        key.into_iter()
            .for_each(|key| self.0.entry(key).or_default().statements.push_back(id));
    }

    /// Removes a closed statement of which `unresolved` executions are still in flight.
    pub fn remove(&mut self, key: Option<KeyId>, id: StatementId, unresolved: usize) {
        self.update(key, |queue| {
            queue.statements.retain(|other| *other != id);
            queue.unresolved += unresolved;
        });
    }

    /// Records the end of an execution or transaction. `unresolved` says that it was counted as
    /// unresolved. With `paused_until` the key pauses until that time.
    pub fn resolve(&mut self, key: Option<KeyId>, unresolved: bool, paused_until: Option<Micros>) {
        self.update(key, |queue| {
            queue.unresolved -= usize::from(unresolved && queue.unresolved > 0);
            queue.paused_until = paused_until.unwrap_or(queue.paused_until);
        });
    }

    /// Holds the key for the open transaction of a completed statement.
    pub fn hold(&mut self, key: Option<KeyId>) {
        self.update(key, |queue| queue.unresolved += 1);
    }

    /// Whether a statement may be sent: it is the first of its key, nothing of an earlier
    /// statement may still be running, and the key does not pause. A pause does not delay a
    /// statement that has had an attempt.
    pub fn is_first(
        &self,
        key: Option<KeyId>,
        id: StatementId,
        attempted: bool,
        now: Micros,
    ) -> bool {
        self.queue(key).is_none_or(|queue| {
            let resumed = queue.paused_until <= now || attempted;
            queue.statements.front() == Some(&id) && queue.unresolved == 0 && resumed
        })
    }

    /// Until when the key pauses; 0 if it has never paused.
    pub fn paused_until(&self, key: Option<KeyId>) -> Micros {
        self.queue(key).map_or(0, |queue| queue.paused_until)
    }

    /// Whether several statements of a key have no final answer yet.
    pub fn is_shared(&self, key: Option<KeyId>) -> bool {
        self.queue(key)
            .is_some_and(|queue| queue.statements.len() > 1)
    }

    /// The first statement of a key. A queue that is empty, resolved and not paused is dropped.
    pub fn first(&mut self, key: Option<KeyId>, now: Micros) -> Option<StatementId> {
        let queue = self.queue(key)?;
        let first = queue.statements.front().copied();
        if first.is_none() && queue.unresolved == 0 && queue.paused_until <= now {
            key.into_iter().for_each(|key| _ = self.0.remove(&key));
        }
        first
    }
}

#[cfg(test)]
#[path = "order_key_tests.rs"]
mod tests;
