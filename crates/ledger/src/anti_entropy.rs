//! Anti-entropy: replicas are compared in the background. The leader sends the hashes of its
//! entries, leaf by leaf, as of one entry of the log, and members that have applied just as much
//! answer with theirs. A replica that differs from the majority has lost a write or read a bit
//! wrong: it is sent the majority's state, at the rate for rebuilding replicas.

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

const INTERVAL: Micros = 60_000_000; // microseconds between comparisons of a shard
/// Microseconds until a shard is compared again whose replicas differed.
const RECHECK: Micros = 2_000_000;
const ANSWER_TIMEOUT: Micros = 1_000_000; // microseconds that answers are waited for

impl Ledger {
    /// Begins a comparison of a shard that this front leads where one is due, and ends the one
    /// before.
    pub(crate) fn compare_replicas(&mut self, at: ClockReading, shard: u16) {
        self.conclude_comparison(at, shard);
        let Some(view) = self.shards.get_mut(usize::from(shard)) else {
            return;
        };
        let Some(replica) = &view.replica else { return };
        if at.steady < view.comparison.next || replica.members.len() < 2 || view.repair.is_some() {
            return;
        }
        if view.comparison.next == 0 {
            // Shards are not compared all at once.
            view.comparison.next = at.steady + INTERVAL / 16 * Micros::from(shard % 16 + 1);
            return;
        }
        view.comparison.next = at.steady + ANSWER_TIMEOUT;
        view.comparison.index = replica.applied();
        let hashes = hashes(&replica.state);
        view.comparison.hashes = BTreeMap::from([(self.own.front, hashes.clone())]);
        let (config, index) = (replica.config, replica.applied());
        let others = replica.members.iter().map(|member| member.front);
        let reads_hashes = |front: &FrontId| {
            *front != self.own.front && self.transport.common_format(*front) >= TRANSFER_FORMAT
        };
        let others: Vec<FrontId> = others.filter(reads_hashes).collect();
        let message = LedgerMessage::Hashes {
            shard,
            config,
            index,
            hashes,
        };
        for to in others {
            self.transport.send(at, to, &message, Pace::Fast);
        }
    }

    /// Ends a comparison once its answers were waited for, and repairs what differs.
    fn conclude_comparison(&mut self, at: ClockReading, shard: u16) {
        let own = self.own.front;
        let Some(view) = self.shards.get_mut(usize::from(shard)) else {
            return;
        };
        let Some(replica) = view
            .replica
            .as_ref()
            .filter(|_| at.steady >= view.comparison.next)
        else {
            return;
        };
        let hashes = std::mem::take(&mut view.comparison.hashes);
        if hashes.is_empty() {
            return;
        }
        view.comparison.next = at.steady + INTERVAL;
        let Some(right) = majority(&hashes, replica.members.len()) else {
            return;
        };
        let wrong: Vec<FrontId> = hashes
            .iter()
            .filter(|(_, of)| **of != right)
            .map(|(f, _)| *f)
            .collect();
        if wrong.is_empty() {
            return;
        }
        view.comparison.next = at.steady + RECHECK;
        self.counters.differing += wrong.len() as u64;
        let config = replica.config;
        if wrong.contains(&own) {
            // One of the majority leads the shard from now on, and repairs this front's replica.
            let candidate = hashes.iter().find(|(_, of)| **of == right);
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
        for to in wrong {
            if !self.transport.is_busy(to, Pace::Repair) {
                self.transport.send(at, to, &message, Pace::Repair);
            }
        }
    }

    /// The hashes of another member: of the leader, or of one that answers it.
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

    /// Answers the leader's hashes once this replica has applied as much, and no more.
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

    /// The leader has found this replica to differ.
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
            self.touched.insert(configuration.shard);
        }
    }

    /// The shard of a message of its comparison, if the sender and this front are members in the
    /// same configuration.
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
