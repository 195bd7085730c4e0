//! Copies are compared in the background: the leader tells the hashes of its entries, leaf by leaf, as of one entry of the
//! log, and members that have applied just as much tell theirs. One that differs from the majority has lost a write or
//! read a bit wrong: it is given the majority's state, paced as copies are that are made again.

use std::collections::BTreeMap;

use crate::formats::TRANSFER_FORMAT;
use crate::ledger::Ledger;
use crate::messages::{self, LedgerMessage};
use crate::placement::hash;
use crate::shard_view::ShardView;
use crate::state::{ReplicaId, State};
use crate::transport::Pace;
use crate::{FrontId, Micros, Moment};

const EVERY: Micros = 60_000_000; // microseconds between comparisons of a shard: hashing 512 KB takes about one in 1,000
const AGAIN: Micros = 2_000_000; // microseconds until a shard is compared again of which one copy differed
const HEARD: Micros = 1_000_000; // microseconds that answers are waited for
pub(crate) const LEAVES: usize = 16; // of the tree; one more for what is no entry

/// A comparison under way, and when the next is due.
#[derive(Default)]
pub(crate) struct Scrub {
    next: Micros,
    index: u64,
    sums: BTreeMap<FrontId, Vec<u64>>,
    /// A member is behind or busy: what the leader has told it waits for the entry that it is of.
    pub told: Option<(FrontId, u64)>,
}

/// The hash that most copies have, where more than half of all have it.
fn majority(sums: &BTreeMap<FrontId, Vec<u64>>, copies: usize) -> Option<Vec<u64>> {
    let count = |of: &Vec<u64>| sums.values().filter(|sums| *sums == of).count();
    sums.values().find(|of| 2 * count(of) > copies).cloned()
}

/// The hashes of a state by leaves.
pub(crate) fn sums(state: &State) -> Vec<u64> {
    let mut sums = vec![0_u64; LEAVES];
    let (entries, rest) = state.parts();
    for (key, bytes) in entries {
        let leaf = hash(key.name.bytes()) % LEAVES as u64;
        sums[leaf as usize] ^= hash(bytes.into_iter());
    }
    sums.push(hash(rest.into_iter()));
    sums
}

impl Ledger {
    /// Begins a comparison of a shard that this front leads where one is due, and ends the one before.
    pub(crate) fn scrub(&mut self, at: Moment, shard: u16) {
        self.compared(at, shard);
        let Some(view) = self.shards.get_mut(usize::from(shard)) else { return };
        let Some(replica) = &view.replica else { return };
        if at.steady < view.scrub.next || replica.members.len() < 2 || view.repair.is_some() {
            return;
        }
        if view.scrub.next == 0 {
            // Shards are not compared all at once.
            view.scrub.next = at.steady + EVERY / 16 * Micros::from(shard % 16 + 1);
            return;
        }
        view.scrub.next = at.steady + HEARD;
        view.scrub.index = replica.applied();
        let sums = sums(&replica.state);
        view.scrub.sums = BTreeMap::from([(self.own.front, sums.clone())]);
        let (config, index) = (replica.config, replica.applied());
        let others = replica.members.iter().map(|member| member.front);
        let read = |front: &FrontId| {
            *front != self.own.front && self.transport.common_format(*front) >= TRANSFER_FORMAT
        };
        let others: Vec<FrontId> = others.filter(read).collect();
        for to in others {
            self.transport.send(
                at,
                to,
                &LedgerMessage::Hashes { shard, config, index, sums: sums.clone() },
                Pace::Fast,
            );
        }
    }

    /// Looks at what was answered, once that was waited for.
    fn compared(&mut self, at: Moment, shard: u16) {
        let own = self.own.front;
        let Some(view) = self.shards.get_mut(usize::from(shard)) else { return };
        let Some(replica) = view.replica.as_ref().filter(|_| at.steady >= view.scrub.next) else { return };
        let sums = std::mem::take(&mut view.scrub.sums);
        if sums.is_empty() {
            return;
        }
        view.scrub.next = at.steady + EVERY;
        let Some(right) = majority(&sums, replica.members.len()) else { return };
        let wrong: Vec<FrontId> = sums.iter().filter(|(_, of)| **of != right).map(|(f, _)| *f).collect();
        if wrong.is_empty() {
            return;
        }
        view.scrub.next = at.steady + AGAIN;
        self.tallies.differed += wrong.len() as u64;
        let config = replica.config;
        if wrong.contains(&own) {
            // One of the majority leads it from now on, and mends this front's copy.
            let candidate = sums.iter().find(|(_, of)| **of == right).map(|(front, _)| *front);
            let message = LedgerMessage::TransferLeadership { shard, config };
            candidate
                .into_iter()
                .for_each(|candidate| self.transport.send(at, candidate, &message, Pace::Fast));
            return;
        }
        let (index, state) = (replica.applied(), messages::encode(&replica.state));
        for to in wrong {
            if self.transport.is_busy(to, Pace::Repair) {
                continue;
            }
            self.transport.send(
                at,
                to,
                &LedgerMessage::RepairReplica { shard, config, index, state: state.clone() },
                Pace::Repair,
            );
        }
    }

    /// Another member tells its hashes: the leader, or one that answers it.
    pub(crate) fn summed(
        &mut self,
        at: Moment,
        from: ReplicaId,
        (shard, config): (u16, u32),
        (index, sums): (u64, Vec<u64>),
    ) {
        let Some(view) = self.of_member(from, shard, config) else { return };
        let Some(replica) = &view.replica else { return };
        if replica.is_leader() {
            if view.scrub.index == index && !view.scrub.sums.is_empty() {
                view.scrub.sums.insert(from.front, sums);
            }
        } else {
            view.scrub.told = Some((from.front, index));
            self.answers_sums(at, shard);
        }
    }

    /// Answers the leader's hashes once this copy has applied as much, and no more.
    pub(crate) fn answers_sums(&mut self, at: Moment, shard: u16) {
        let Some(view) = self.shards.get_mut(usize::from(shard)) else { return };
        let Some((replica, (to, index))) = view.replica.as_ref().zip(view.scrub.told) else { return };
        if replica.applied() < index {
            return;
        }
        view.scrub.told = None;
        if replica.applied() == index {
            let (config, sums) = (replica.config, sums(&replica.state));
            self.transport.send(at, to, &LedgerMessage::Hashes { shard, config, index, sums }, Pace::Fast);
        }
    }

    /// The leader has found this copy to differ.
    pub(crate) fn mended(&mut self, from: ReplicaId, (shard, config): (u16, u32), index: u64, state: &[u8]) {
        let state = messages::decode::<State>(state);
        let Some(view) = self.of_member(from, shard, config) else { return };
        let Some((replica, state)) = view.replica.as_mut().zip(state) else { return };
        if replica.leader() == Some(from.front) && replica.replace_state(index, state) {
            self.tallies.mended += 1;
            self.touched.insert(shard);
        }
    }

    fn of_member(&mut self, from: ReplicaId, shard: u16, config: u32) -> Option<&mut ShardView> {
        let view = self.shards.get_mut(usize::from(shard))?;
        let replica = view.replica.as_ref()?;
        (replica.config == config && replica.members.contains(&from)).then_some(view)
    }
}
