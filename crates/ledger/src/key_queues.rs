//! Queues of fronts that wait for a key held by another front, kept by the shard's leader in order
//! of arrival. The first front is notified when the key is free, and the key stays reserved for it
//! for a while. Queues are an optimisation and not replicated: they are lost with the leader, and
//! the waiting fronts repeat their requests anyway.

use std::collections::{BTreeMap, VecDeque};

use crate::batch::{Command, CommandId};
use crate::{Key, Kind, Micros, Operation, Outcome, Owner};

/// Microseconds without a request after which a front is removed from a queue.
const WAITER_TIMEOUT: Micros = 1_000_000;
/// Microseconds for which a free key stays reserved for the first front in its queue.
const RESERVED_FOR: Micros = 100_000;
/// Maximum time in microseconds that a request is deferred because of a reservation.
const MAX_DEFERRAL: Micros = 200_000;
/// Maximum number of keys with a queue, per shard.
const MAX_KEYS: usize = 1_024;
/// Maximum number of fronts in a queue; further fronts are not notified and retry on their own.
const MAX_WAITING: usize = 64;

struct Waiting {
    owner: Owner,
    /// The number of the front's latest request.
    number: u64,
    ends: Micros,
}

#[derive(Default)]
struct KeyQueue {
    waiting: VecDeque<Waiting>,
    /// Until when the key is reserved for the first waiter, which has been notified that it is
    /// free.
    reserved_until: Option<Micros>,
}

/// The queues of one shard.
#[derive(Default)]
pub(crate) struct KeyQueues(BTreeMap<Key, KeyQueue>);

/// Whether the command requests a key that only one front can hold at a time.
fn claims(command: &Command) -> bool {
    let kind = matches!(command.key.kind, Kind::Order | Kind::Dedup);
    kind && matches!(
        command.operation,
        Operation::Claim { .. }
            | Operation::Put {
                expects: Some(0),
                ..
            }
    )
}

impl KeyQueues {
    pub fn clear(&mut self) {
        self.0.clear();
    }

    /// Updates the queue of a key after a request from a front that can be notified of free keys.
    pub fn record(&mut self, now: Micros, command: &Command, outcome: &Outcome) {
        if !claims(command) {
            return;
        }
        match outcome {
            Outcome::Held(_) => self.enqueue(now, command),
            Outcome::Stands(_) => {
                if let Some(queue) = self.0.get_mut(&command.key) {
                    queue
                        .waiting
                        .retain(|waiting| waiting.owner != command.owner);
                    queue.reserved_until = None;
                }
            }
            Outcome::Absent | Outcome::Unreachable | Outcome::Full => {}
        }
    }

    fn enqueue(&mut self, now: Micros, command: &Command) {
        if !self.0.contains_key(&command.key) && self.0.len() >= MAX_KEYS {
            return;
        }
        let queue = self.0.entry(command.key.clone()).or_default();
        let (owner, number, ends) = (command.owner, command.number, now + WAITER_TIMEOUT);
        match queue
            .waiting
            .iter()
            .position(|waiting| waiting.owner == owner)
        {
            Some(position) => {
                queue.waiting[position] = Waiting {
                    owner,
                    number,
                    ends,
                };
                if position == 0 {
                    queue.reserved_until = None; // the key is held by another front after all
                }
            }
            None if queue.waiting.len() < MAX_WAITING => {
                queue.waiting.push_back(Waiting {
                    owner,
                    number,
                    ends,
                });
            }
            None => {}
        }
    }

    /// Whether to defer a request received at `received_at`, as the key is reserved for another
    /// front.
    pub fn is_reserved_for_another(&self, now: Micros, command: &Command, came: Micros) -> bool {
        let queue = self
            .0
            .get(&command.key)
            .filter(|queue| queue.reserved_until.is_some_and(|until| now < until));
        let first = queue.and_then(|queue| queue.waiting.front());
        first.is_some_and(|first| first.owner != command.owner)
            && claims(command)
            && now - came < MAX_DEFERRAL
    }

    /// The latest requests of the fronts to be notified that a key is free.
    pub fn freed_keys(&mut self, now: Micros, is_free: impl Fn(&Key) -> bool) -> Vec<CommandId> {
        let mut freed = Vec::new();
        self.0.retain(|key, queue| {
            let first = queue.waiting.front().map(|first| first.owner);
            if queue
                .reserved_until
                .take_if(|until| *until <= now)
                .is_some()
                && queue.waiting.len() > 1
            {
                queue.waiting.swap(0, 1); // the notified front has not claimed the key: the next one goes before it, once
            }
            queue.waiting.retain(|waiting| waiting.ends > now);
            let Some(next) = queue.waiting.front() else {
                return false;
            };
            if Some(next.owner) != first {
                queue.reserved_until = None;
            }
            if queue.reserved_until.is_none() && is_free(key) {
                queue.reserved_until = Some(now + RESERVED_FOR);
                freed.push(CommandId {
                    owner: next.owner,
                    number: next.number,
                });
            }
            true
        });
        freed
    }
}

#[cfg(test)]
#[path = "key_queues_tests.rs"]
mod tests;
