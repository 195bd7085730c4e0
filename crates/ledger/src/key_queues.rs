//! Queues of fronts that wait for a key that another front has, held by the shard's leader: in the
//! order in which they came. The first one is told once the key is free, and for a while the key is
//! reserved for it. Nothing depends on a queue: it is lost with its leader, and the fronts in it
//! ask again by themselves.

use std::collections::{BTreeMap, VecDeque};

use crate::batch::{Command, CommandId};
use crate::{Key, Kind, Micros, Operation, Outcome, Owner};

/// Microseconds without a request until a front leaves a queue.
const WAITER_TIMEOUT: Micros = 1_000_000;
const RESERVED_FOR: Micros = 100_000; // microseconds for which a free key is reserved for the first
const MAX_DEFERRAL: Micros = 200_000; // microseconds that a request is deferred at most
const MAX_KEYS: usize = 1_024; // keys with a queue, of a shard
const MAX_WAITING: usize = 64; // fronts in a queue; others ask again by themselves

struct Waiting {
    owner: Owner,
    /// Of its latest request.
    number: u64,
    ends: Micros,
}

#[derive(Default)]
struct KeyQueue {
    waiting: VecDeque<Waiting>,
    /// Until when the key is reserved for the first of them, which has been told that it is free.
    reserved_until: Option<Micros>,
}

/// The queues of one shard.
#[derive(Default)]
pub(crate) struct KeyQueues(BTreeMap<Key, KeyQueue>);

/// Whether it asks for a key that only one front can have at a time.
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

    /// Takes in the outcome of a request, of a front that can be told when the key is free.
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
                    queue.reserved_until = None; // another was before it after all
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

    /// Whether a request that came then is put off, as the key is reserved for another front.
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

    /// The latest requests of the fronts that are to be told that a key is free.
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
                queue.waiting.swap(0, 1); // it has not come: the next goes before it, once
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
