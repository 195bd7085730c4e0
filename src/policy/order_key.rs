//! Order of a key: is it this statement's turn?
//!
//! Inputs: the statement's order key, whether it has had an attempt, the time now.
//! Reason: statements of one key run one at a time, in the order of their arrival. One whose outcome is not known
//! keeps the key for as long as it may be running; so does an open transaction.
//! Source: the contract's settings (`docs/design.md`, "what may be sent where").

use std::collections::{BTreeMap, VecDeque};

use crate::interface::{KeyId, Micros, StatementId};

/// The statements of one order key.
#[derive(Default)]
struct OrderQueue {
    /// Those that are not over, in the order in which they arrived.
    statements: VecDeque<StatementId>,
    /// Executions still out of statements that are over, and transactions that keep the key.
    unresolved: usize,
    /// No statement leaves for the first time before.
    paused_until: Micros,
}

/// The queues of all order keys in use.
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

    /// A statement arrives: it is the last of its key.
    pub fn enqueue(&mut self, key: Option<KeyId>, id: StatementId) {
        key.into_iter()
            .for_each(|key| self.0.entry(key).or_default().statements.push_back(id));
    }

    /// A statement is over, with so many of its executions still out.
    pub fn remove(&mut self, key: Option<KeyId>, id: StatementId, unresolved: usize) {
        self.update(key, |queue| {
            queue.statements.retain(|other| *other != id);
            queue.unresolved += unresolved;
        });
    }

    /// An execution has ended, unresolved where its statement was over; the key may pause until then.
    pub fn resolve(&mut self, key: Option<KeyId>, unresolved: bool, paused_until: Option<Micros>) {
        self.update(key, |queue| {
            queue.unresolved -= usize::from(unresolved && queue.unresolved > 0);
            queue.paused_until = paused_until.unwrap_or(queue.paused_until);
        });
    }

    /// The transaction of a statement that is over goes on and keeps the key.
    pub fn hold(&mut self, key: Option<KeyId>) {
        self.update(key, |queue| queue.unresolved += 1);
    }

    /// Whether it is a statement's turn: it is the first of its key, nothing of an earlier one may still run, and
    /// the key doesn't pause; a statement that has had an attempt goes on in a pause.
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

    /// Until when the key pauses; 0 where it doesn't.
    pub fn paused_until(&self, key: Option<KeyId>) -> Micros {
        self.queue(key).map_or(0, |queue| queue.paused_until)
    }

    /// Whether several statements of a key are not over.
    pub fn is_shared(&self, key: Option<KeyId>) -> bool {
        self.queue(key)
            .is_some_and(|queue| queue.statements.len() > 1)
    }

    /// The first statement of a key; a queue with nothing in it, unresolved or paused is dropped.
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
