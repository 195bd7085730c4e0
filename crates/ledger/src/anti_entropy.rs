//! Anti-entropy: the background comparison of the replicas of a shard. The leader sends the hashes
//! of its entries, one per leaf, as of one index of the log; members that have applied exactly that
//! index answer with theirs. A replica that differs from the majority has lost a write or read a
//! corrupted bit; it is sent the majority's state, at the rate for rebuilding replicas.

use std::collections::BTreeMap;

use crate::comparison::{hashes, majority, PendingHashes, StateHashes};
use crate::encoding::{decode, encode};
use crate::formats::TRANSFER_FORMAT;
use crate::ledger::Ledger;
use crate::long_message::Pace;
use crate::members::{ConfigurationId, ReplicaId};
use crate::messages::LedgerMessage;
use crate::shard_view::ShardView;
use crate::state::State;
use crate::{ClockReading, FrontId, Micros};

/// Microseconds between comparisons of a shard.
const COMPARISON_INTERVAL: Micros = 60_000_000;
/// Microseconds until the next comparison of a shard whose replicas differed.
const RECHECK_INTERVAL: Micros = 2_000_000;
/// Microseconds that the leader waits for the members' hashes.
const ANSWER_TIMEOUT: Micros = 1_000_000;

impl Ledger {
    /// Concludes the previous comparison of a shard that this front leads, and starts the next one
    /// if it is due.
    pub(crate) fn compare_replicas(&mut self, at: ClockReading, shard: u16) {
        self.conclude_comparison(at, shard);
        let Some(view) = self.shards.get_mut(usize::from(shard)) else {
            return;
        };
        let Some(replica) = &view.replica else { return };
        if at.steady < view.comparison.next_due
            || replica.members.len() < 2
            || view.repair.is_some()
        {
            return;
        }
        if view.comparison.next_due == 0 {
            // Spreads the first comparisons of the shards over the interval.
            view.comparison.next_due =
                at.steady + COMPARISON_INTERVAL / 16 * Micros::from(shard % 16 + 1);
            return;
        }
        view.comparison.next_due = at.steady + ANSWER_TIMEOUT;
        view.comparison.index = replica.applied();
        let hashes = hashes(&replica.state);
        view.comparison.hashes = BTreeMap::from([(self.local.front, hashes.clone())]);
        let (config, index) = (replica.config, replica.applied());
        let other_fronts = replica.members.iter().map(|member| member.front);
        let reads_hashes = |front: &FrontId| {
            *front != self.local.front && self.transport.common_format(*front) >= TRANSFER_FORMAT
        };
        let other_fronts: Vec<FrontId> = other_fronts.filter(reads_hashes).collect();
        let message = LedgerMessage::Hashes {
            shard,
            config,
            index,
            hashes,
        };
        for to in other_fronts {
            self.transport.send(at, to, &message, Pace::Fast);
        }
    }

    /// Concludes a comparison once the time for answers is over, and repairs the replicas that
    /// differ from the majority.
    fn conclude_comparison(&mut self, at: ClockReading, shard: u16) {
        let local = self.local.front;
        let Some(view) = self.shards.get_mut(usize::from(shard)) else {
            return;
        };
        let Some(replica) = view
            .replica
            .as_ref()
            .filter(|_| at.steady >= view.comparison.next_due)
        else {
            return;
        };
        let hashes = std::mem::take(&mut view.comparison.hashes);
        if hashes.is_empty() {
            return;
        }
        view.comparison.next_due = at.steady + COMPARISON_INTERVAL;
        let Some(majority_hashes) = majority(&hashes, replica.members.len()) else {
            return;
        };
        let differing: Vec<FrontId> = hashes
            .iter()
            .filter(|(_, member_hashes)| **member_hashes != majority_hashes)
            .map(|(f, _)| *f)
            .collect();
        if differing.is_empty() {
            return;
        }
        view.comparison.next_due = at.steady + RECHECK_INTERVAL;
        self.counters.differing += differing.len() as u64;
        let config = replica.config;
        if differing.contains(&local) {
            // This front's replica is wrong: a member of the majority takes over the shard and
            // repairs it.
            let candidate = hashes
                .iter()
                .find(|(_, member_hashes)| **member_hashes == majority_hashes);
            if let Some((candidate, _)) = candidate {
                let message = LedgerMessage::TransferLeadership { shard, config };
                self.transport.send(at, *candidate, &message, Pace::Fast);
            }
            return;
        }
        let message = LedgerMessage::RepairReplica {
            shard,
            config,
            index: replica.applied(),
            state: encode(&replica.state),
        };
        for to in differing {
            if !self.transport.is_busy(to, Pace::Repair) {
                self.transport.send(at, to, &message, Pace::Repair);
            }
        }
    }

    /// Handles hashes from another member: the leader's, or a member's answer to this leader.
    pub(crate) fn receive_hashes(
        &mut self,
        at: ClockReading,
        from: ReplicaId,
        configuration: ConfigurationId,
        received: StateHashes,
    ) {
        let StateHashes { index, hashes } = received;
        let Some(view) = self.view_for(from, configuration) else {
            return;
        };
        let Some(replica) = &view.replica else { return };
        if replica.is_leader() {
            if view.comparison.index == index && !view.comparison.hashes.is_empty() {
                view.comparison.hashes.insert(from.front, hashes);
            }
        } else {
            view.comparison.pending_answer = Some(PendingHashes {
                leader: from.front,
                index,
            });
            self.answer_hashes(at, configuration.shard);
        }
    }

    /// Answers the leader's hashes once this replica has applied the same index. If it is already
    /// beyond that index, the request is dropped without an answer.
    pub(crate) fn answer_hashes(&mut self, at: ClockReading, shard: u16) {
        let Some(view) = self.shards.get_mut(usize::from(shard)) else {
            return;
        };
        let pending = view.comparison.pending_answer;
        let Some((replica, pending)) = view.replica.as_ref().zip(pending) else {
            return;
        };
        let PendingHashes { leader, index } = pending;
        if replica.applied() < index {
            return;
        }
        view.comparison.pending_answer = None;
        if replica.applied() == index {
            let message = LedgerMessage::Hashes {
                shard,
                config: replica.config,
                index,
                hashes: hashes(&replica.state),
            };
            self.transport.send(at, leader, &message, Pace::Fast);
        }
    }

    /// Replaces the state of this replica after the leader found it to differ from the majority.
    pub(crate) fn receive_repair(
        &mut self,
        from: ReplicaId,
        configuration: ConfigurationId,
        index: u64,
        state: &[u8],
    ) {
        let state = decode::<State>(state);
        let Some(view) = self.view_for(from, configuration) else {
            return;
        };
        let Some((replica, state)) = view.replica.as_mut().zip(state) else {
            return;
        };
        if replica.leader() == Some(from.front) && replica.replace_state(index, state) {
            self.counters.repaired_after_comparison += 1;
            self.changed_shards.insert(configuration.shard);
        }
    }

    /// The shard that a comparison message refers to, if the sender is a member and this front
    /// holds a replica in the same configuration.
    fn view_for(
        &mut self,
        from: ReplicaId,
        configuration: ConfigurationId,
    ) -> Option<&mut ShardView> {
        let ConfigurationId { shard, config } = configuration;
        let view = self.shards.get_mut(usize::from(shard))?;
        let replica = view.replica.as_ref()?;
        (replica.config == config && replica.members.contains(&from)).then_some(view)
    }
}
