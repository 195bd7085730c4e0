//! This front's own requests that wait for an answer.

use std::collections::BTreeMap;

use crate::batch::Command;
use crate::{ClockReading, FrontId, Micros, ANSWER_RETENTION_MS};

const RETRY_INTERVAL: Micros = 100_000; // microseconds until a request is sent again, elsewhere
const MAX_WAITING: usize = 16_384; // requests that wait at once

/// A request that has no answer yet.
pub(crate) struct Waiting {
    pub command: Command,
    pub shard: u16,
    pub ends: Micros,
    retry_at: Micros,
    attempts: usize,
}

/// An attempt of a request.
pub(crate) struct Attempt<'a> {
    pub ask: &'a Waiting,
    /// The number of attempts before.
    pub earlier: usize,
}

/// The numbers of requests for which something is due.
pub(crate) struct DueRequests {
    /// To be sent again.
    pub retry: Vec<u64>,
    /// That nobody has answered in time.
    pub expired: Vec<u64>,
}

/// This front's requests that have no answer yet.
#[derive(Default)]
pub(crate) struct PendingRequests {
    waiting: BTreeMap<u64, Waiting>,
    /// When each was first asked, on the Unix clock: a retry says the same.
    first: BTreeMap<u64, u64>,
}

impl PendingRequests {
    /// When this number was first asked.
    pub fn first(&mut self, number: u64, wall_ms: u64) -> u64 {
        *self.first.entry(number).or_insert(wall_ms)
    }

    pub fn is_waiting(&self, number: u64) -> bool {
        self.waiting.contains_key(&number)
    }

    /// False where too many wait.
    pub fn wait(&mut self, command: Command, shard: u16, ends: Micros) -> bool {
        if self.waiting.len() >= MAX_WAITING {
            return false;
        }
        self.waiting.insert(
            command.number,
            Waiting {
                command,
                shard,
                ends,
                retry_at: 0,
                attempts: 0,
            },
        );
        true
    }

    /// Counts another attempt of a request.
    pub fn next_attempt(&mut self, now: Micros, number: u64) -> Option<Attempt<'_>> {
        let ask = self.waiting.get_mut(&number)?;
        let earlier = ask.attempts;
        ask.attempts += 1;
        ask.retry_at = now + RETRY_INTERVAL;
        Some(Attempt { ask, earlier })
    }

    pub fn shard(&self, number: u64) -> Option<u16> {
        self.waiting.get(&number).map(|waiting| waiting.shard)
    }

    /// An answer has come; the shard, where it was waited for.
    pub fn answered(&mut self, number: u64) -> Option<u16> {
        self.waiting.remove(&number).map(|waiting| waiting.shard)
    }

    /// Ends the requests that nobody has answered in time, and finds those that are to be sent again.
    pub fn due_now(&mut self, at: ClockReading) -> DueRequests {
        let is_expired = |waiting: &Waiting| waiting.ends <= at.steady;
        let expired = self.numbers(is_expired);
        self.waiting.retain(|_, waiting| !is_expired(waiting));
        let retry = self.numbers(|waiting| waiting.retry_at <= at.steady);
        self.first
            .retain(|_, first| first.saturating_add(2 * ANSWER_RETENTION_MS) > at.wall_ms);
        DueRequests { retry, expired }
    }

    /// The numbers of the requests that wait and meet a condition.
    fn numbers(&self, condition: impl Fn(&Waiting) -> bool) -> Vec<u64> {
        let meeting = self
            .waiting
            .iter()
            .filter(|(_, waiting)| condition(waiting));
        meeting.map(|(number, _)| *number).collect()
    }

    /// When a request is next to be repeated, or ends.
    pub fn due(&self) -> Micros {
        self.waiting
            .values()
            .map(|waiting| waiting.ends.min(waiting.retry_at))
            .min()
            .unwrap_or(Micros::MAX)
    }
}

/// The front to ask next: the one that is said to lead the shard, else its members and then all fronts that could be,
/// one after the other.
pub(crate) fn next_receiver(
    leader: Option<FrontId>,
    others: &[FrontId],
    own: FrontId,
    earlier: usize,
) -> Option<FrontId> {
    // One that is silent is not asked every time.
    if let Some(leader) = leader.filter(|leader| *leader != own && earlier.is_multiple_of(2)) {
        return Some(leader);
    }
    // Whoever should know better is another than the one that did not answer.
    let others: Vec<FrontId> = others
        .iter()
        .copied()
        .filter(|front| *front != own && Some(*front) != leader)
        .collect();
    let turn = if leader.is_some() {
        earlier / 2
    } else {
        earlier
    };
    others.get(turn % others.len().max(1)).copied()
}
