//! Requests of this front that wait for an answer.

use std::collections::BTreeMap;

use crate::batch::Command;
use crate::{ClockReading, FrontId, Micros, ANSWER_RETENTION_MS};

/// Microseconds until a request is sent again, to another front.
const RETRY_INTERVAL: Micros = 100_000;
/// Maximum number of requests that wait at the same time.
const MAX_WAITING: usize = 16_384;

/// A request without an answer so far.
pub(crate) struct PendingRequest {
    pub command: Command,
    pub shard: u16,
    pub deadline: Micros,
    retry_at: Micros,
    attempts: usize,
}

/// An attempt to send a request.
pub(crate) struct Attempt<'a> {
    pub request: &'a PendingRequest,
    /// The number of attempts before this one.
    pub previous_attempts: usize,
}

/// The numbers of requests that are due for a retry or have timed out.
pub(crate) struct DueRequests {
    /// Requests to be sent again.
    pub retry: Vec<u64>,
    /// Requests that were not answered in time.
    pub expired: Vec<u64>,
}

/// This front's requests without an answer so far.
#[derive(Default)]
pub(crate) struct PendingRequests {
    waiting: BTreeMap<u64, PendingRequest>,
    /// When each request was first made, on the Unix clock; retries carry the same time.
    first_requested: BTreeMap<u64, u64>,
}

impl PendingRequests {
    /// When the request with this number was first made, in Unix milliseconds.
    pub fn first_requested_ms(&mut self, number: u64, wall_ms: u64) -> u64 {
        *self.first_requested.entry(number).or_insert(wall_ms)
    }

    pub fn is_pending(&self, number: u64) -> bool {
        self.waiting.contains_key(&number)
    }

    /// Adds a request; false if too many are waiting.
    pub fn add(&mut self, command: Command, shard: u16, deadline: Micros) -> bool {
        if self.waiting.len() >= MAX_WAITING {
            return false;
        }
        self.waiting.insert(
            command.number,
            PendingRequest {
                command,
                shard,
                deadline,
                retry_at: 0,
                attempts: 0,
            },
        );
        true
    }

    /// Counts another attempt of a request; None if it is not waiting.
    pub fn next_attempt(&mut self, now: Micros, number: u64) -> Option<Attempt<'_>> {
        let request = self.waiting.get_mut(&number)?;
        let previous_attempts = request.attempts;
        request.attempts += 1;
        request.retry_at = now + RETRY_INTERVAL;
        Some(Attempt {
            request,
            previous_attempts,
        })
    }

    pub fn shard(&self, number: u64) -> Option<u16> {
        self.waiting.get(&number).map(|waiting| waiting.shard)
    }

    /// Removes an answered request; its shard, if the request was waiting.
    pub fn remove(&mut self, number: u64) -> Option<u16> {
        self.waiting.remove(&number).map(|waiting| waiting.shard)
    }

    /// Removes the requests that were not answered in time, and finds those to be sent again.
    pub fn take_due(&mut self, at: ClockReading) -> DueRequests {
        let is_expired = |waiting: &PendingRequest| waiting.deadline <= at.steady;
        let expired = self.numbers(is_expired);
        self.waiting.retain(|_, waiting| !is_expired(waiting));
        let retry = self.numbers(|waiting| waiting.retry_at <= at.steady);
        self.first_requested
            .retain(|_, first| first.saturating_add(2 * ANSWER_RETENTION_MS) > at.wall_ms);
        DueRequests { retry, expired }
    }

    /// The numbers of the waiting requests that satisfy a condition.
    fn numbers(&self, condition: impl Fn(&PendingRequest) -> bool) -> Vec<u64> {
        let meeting = self
            .waiting
            .iter()
            .filter(|(_, waiting)| condition(waiting));
        meeting.map(|(number, _)| *number).collect()
    }

    /// When a request is next to be sent again or times out; [`Micros::MAX`] if none is waiting.
    pub fn due(&self) -> Micros {
        self.waiting
            .values()
            .map(|waiting| waiting.deadline.min(waiting.retry_at))
            .min()
            .unwrap_or(Micros::MAX)
    }
}

/// The front to send a request to: the presumed leader, otherwise the members and then all other
/// fronts that may hold the shard, in rotation.
pub(crate) fn next_receiver(
    leader: Option<FrontId>,
    other_fronts: &[FrontId],
    local: FrontId,
    previous_attempts: usize,
) -> Option<FrontId> {
    // A leader that does not answer is tried only at every other attempt.
    if let Some(leader) =
        leader.filter(|leader| *leader != local && previous_attempts.is_multiple_of(2))
    {
        return Some(leader);
    }
    // The other attempts go to fronts that may know a newer leader.
    let other_fronts: Vec<FrontId> = other_fronts
        .iter()
        .copied()
        .filter(|front| *front != local && Some(*front) != leader)
        .collect();
    let rotation = if leader.is_some() {
        previous_attempts / 2
    } else {
        previous_attempts
    };
    other_fronts
        .get(rotation % other_fronts.len().max(1))
        .copied()
}
