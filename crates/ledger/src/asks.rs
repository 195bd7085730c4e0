//! This front's own asks that wait for an answer.

use std::collections::BTreeMap;

use crate::batch::Command;
use crate::{FrontId, Micros, Moment, Outcome, REMEMBERED_MS};

const RETRY: Micros = 100_000; // microseconds until an ask is asked again elsewhere: a round trip and two syncs
const MAX_WAITING: usize = 16_384; // asks that wait at once

/// An ask that has no answer yet.
pub(crate) struct Waiting {
    pub command: Command,
    pub shard: u16,
    pub ends: Micros,
    retry: Micros,
    tries: usize,
}

/// This front's asks that have no answer yet.
#[derive(Default)]
pub(crate) struct PendingAsks {
    waiting: BTreeMap<u64, Waiting>,
    /// When each was first asked, on the Unix clock: a retry says the same.
    first: BTreeMap<u64, u64>,
}

impl PendingAsks {
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
                retry: 0,
                tries: 0,
            },
        );
        true
    }

    /// Counts another attempt of an ask: the ask, and the number of attempts before.
    pub fn next_attempt(&mut self, now: Micros, number: u64) -> Option<(&Waiting, usize)> {
        let waiting = self.waiting.get_mut(&number)?;
        let before = waiting.tries;
        (waiting.tries, waiting.retry) = (before + 1, now + RETRY);
        Some((waiting, before))
    }

    pub fn shard(&self, number: u64) -> Option<u16> {
        self.waiting.get(&number).map(|waiting| waiting.shard)
    }

    /// An answer has come; the shard, where it was waited for.
    pub fn answered(&mut self, number: u64) -> Option<u16> {
        self.waiting.remove(&number).map(|waiting| waiting.shard)
    }

    /// What has to be tried again, and what nobody has answered in time.
    pub fn due_now(&mut self, at: Moment) -> (Vec<u64>, Vec<(u64, Outcome)>) {
        let ended: Vec<u64> = self
            .waiting
            .iter()
            .filter(|(_, w)| w.ends <= at.steady)
            .map(|(number, _)| *number)
            .collect();
        ended
            .iter()
            .for_each(|number| _ = self.waiting.remove(number));
        let again = self
            .waiting
            .iter()
            .filter(|(_, w)| w.retry <= at.steady)
            .map(|(number, _)| *number);
        let again = again.collect();
        self.first
            .retain(|_, first| first.saturating_add(2 * REMEMBERED_MS) > at.wall_ms);
        (
            again,
            ended
                .into_iter()
                .map(|number| (number, Outcome::Unreachable))
                .collect(),
        )
    }

    /// When an ask is next to be repeated, or ends.
    pub fn due(&self) -> Micros {
        self.waiting
            .values()
            .map(|w| w.ends.min(w.retry))
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
    tries: usize,
) -> Option<FrontId> {
    // One that is silent is not asked every time.
    if let Some(leader) = leader.filter(|leader| *leader != own && tries.is_multiple_of(2)) {
        return Some(leader);
    }
    // Whoever should know better is another than the one that did not answer.
    let others: Vec<FrontId> = others
        .iter()
        .copied()
        .filter(|front| *front != own && Some(*front) != leader)
        .collect();
    let turn = if leader.is_some() { tries / 2 } else { tries };
    others.get(turn % others.len().max(1)).copied()
}
