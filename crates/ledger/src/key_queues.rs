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
const RESERVATION_TIME: Micros = 100_000;
/// Maximum time in microseconds that a request is deferred because of a reservation.
const MAX_DEFERRAL: Micros = 200_000;
/// Maximum number of keys with a queue, per shard.
const MAX_KEYS: usize = 1_024;
/// Maximum number of fronts in a queue; further fronts are not notified and retry on their own.
const MAX_WAITERS: usize = 64;

struct Waiter {
    owner: Owner,
    /// The number of the front's latest request.
    number: u64,
    expires_at: Micros,
}

#[derive(Default)]
struct KeyQueue {
    waiting: VecDeque<Waiter>,
    /// Until when the key is reserved for the first waiter, which has been notified that it is
    /// free.
    reserved_until: Option<Micros>,
}

/// The queues of one shard.
#[derive(Default)]
pub(crate) struct KeyQueues(BTreeMap<Key, KeyQueue>);

/// Whether the command requests a key that only one front can hold at a time.
fn is_exclusive_claim(command: &Command) -> bool {
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
        if !is_exclusive_claim(command) {
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
        let (owner, number, expires_at) = (command.owner, command.number, now + WAITER_TIMEOUT);
        match queue
            .waiting
            .iter()
            .position(|waiting| waiting.owner == owner)
        {
            Some(position) => {
                queue.waiting[position] = Waiter {
                    owner,
                    number,
                    expires_at,
                };
                if position == 0 {
                    queue.reserved_until = None; // the key is held by another front after all
                }
            }
            None if queue.waiting.len() < MAX_WAITERS => {
                queue.waiting.push_back(Waiter {
                    owner,
                    number,
                    expires_at,
                });
            }
            None => {}
        }
    }

    /// Whether to defer a request received at `received_at`, as the key is reserved for another
    /// front.
    pub fn is_reserved_for_another(
        &self,
        now: Micros,
        command: &Command,
        received_at: Micros,
    ) -> bool {
        let queue = self
            .0
            .get(&command.key)
            .filter(|queue| queue.reserved_until.is_some_and(|until| now < until));
        let first = queue.and_then(|queue| queue.waiting.front());
        first.is_some_and(|first| first.owner != command.owner)
            && is_exclusive_claim(command)
            && now - received_at < MAX_DEFERRAL
    }

    /// The latest requests of the fronts to be notified that a key is free.
    pub fn waiters_to_notify(
        &mut self,
        now: Micros,
        is_free: impl Fn(&Key) -> bool,
    ) -> Vec<CommandId> {
        let mut notified = Vec::new();
        self.0.retain(|key, queue| {
            let first = queue.waiting.front().map(|first| first.owner);
            if queue
                .reserved_until
                .take_if(|until| *until <= now)
                .is_some()
                && queue.waiting.len() > 1
            {
                // The notified front has not claimed the key: the next one goes before it, once.
                queue.waiting.swap(0, 1);
            }
            queue.waiting.retain(|waiting| waiting.expires_at > now);
            let Some(next) = queue.waiting.front() else {
                return false;
            };
            if Some(next.owner) != first {
                queue.reserved_until = None;
            }
            if queue.reserved_until.is_none() && is_free(key) {
                queue.reserved_until = Some(now + RESERVATION_TIME);
                notified.push(CommandId {
                    owner: next.owner,
                    number: next.number,
                });
            }
            true
        });
        notified
    }
}

#[cfg(test)]
#[path = "key_queues_tests.rs"]
mod tests;
