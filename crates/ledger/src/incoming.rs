//! Receives packets from other fronts, and dispatches each message to the code that handles it.

use omnipaxos::messages::Message;

use crate::batch::{Batch, CommandId};
use crate::bootstrap::Bootstrap;
use crate::comparison::StateHashes;
use crate::encoding::decode;
use crate::ledger::Ledger;
use crate::log::Received;
use crate::long_message::Pace;
use crate::members::{ConfigurationId, ReplicaId, ReplicaIncarnation};
use crate::messages::LedgerMessage;
use crate::peer::Peer;
use crate::rejection::Rejection;
use crate::replica::Replica;
use crate::shard_view::ReceivedSnapshot;
use crate::state::{State, StateAt};
use crate::{ClockReading, FrontId, Owner};

/// A message of the consensus library, and its number in its sender's order; 0 if the order does
/// not matter.
struct NumberedMessage {
    number: u64,
    message: Message<Batch>,
}

impl Ledger {
    /// Handles a packet from another front. The caller has verified its signature.
    pub fn receive(&mut self, at: ClockReading, from: FrontId, bytes: &[u8]) {
        if from == self.local.front {
            return self.reject(Rejection::OwnPacket);
        }
        let packet = match self.transport.receive(at, from, bytes) {
            Ok(packet) => packet,
            Err(reason) => return self.reject(reason),
        };
        let silent = |peer: &Peer| at.steady - peer.last_seen >= self.setup.repair_after;
        let known_peer = self.peers.get(&from).filter(|peer| !silent(peer));
        if known_peer.is_some_and(|peer| peer.incarnation > packet.incarnation) {
            return self.reject(Rejection::EarlierIncarnation);
        }
        self.away
            .mark_returned(at.steady, &self.setup.members, from);
        let peer = Peer {
            last_seen: at.steady,
            incarnation: packet.incarnation,
            disk: packet.disk,
            wall_ms: packet.wall_ms,
        };
        self.peers.insert(from, peer);
        let sender = ReplicaIncarnation {
            id: ReplicaId {
                front: from,
                disk: packet.disk,
            },
            incarnation: packet.incarnation,
        };
        for message in packet.messages {
            self.handle(at, sender, message);
        }
        self.process_changes(at);
    }

    fn handle(&mut self, at: ClockReading, sender: ReplicaIncarnation, message: LedgerMessage) {
        let from = sender.id.front;
        match message {
            LedgerMessage::Log {
                shard,
                config,
                number,
                message,
            } => {
                let message = *message;
                let numbered = NumberedMessage { number, message };
                self.receive_log_message(at, sender, ConfigurationId { shard, config }, numbered);
            }
            LedgerMessage::Resync { shard, config } => {
                self.receive_resync(sender.id, ConfigurationId { shard, config });
            }
            LedgerMessage::TransferLeadership { shard, config } => {
                self.accept_leadership(from, shard, config);
            }
            LedgerMessage::ShuttingDown => _ = self.shutting_down.insert(from, sender.incarnation),
            LedgerMessage::Request { .. }
            | LedgerMessage::Reply { .. }
            | LedgerMessage::NotLeader { .. }
            | LedgerMessage::KeyFree { .. } => self.handle_request(at, from, message),
            LedgerMessage::Hashes { .. } | LedgerMessage::RepairReplica { .. } => {
                self.handle_comparison(at, sender.id, message);
            }
            LedgerMessage::Available { .. }
            | LedgerMessage::Membership { .. }
            | LedgerMessage::Probe { .. }
            | LedgerMessage::Snapshot { .. }
            | LedgerMessage::CaughtUp { .. }
            | LedgerMessage::Join { .. } => self.handle_membership(at, sender, message),
        }
    }

    /// Handles requests for entries and the answers to them.
    fn handle_request(&mut self, at: ClockReading, from: FrontId, message: LedgerMessage) {
        match message {
            LedgerMessage::Request { shard, command } => {
                self.changed_shards.insert(shard);
                self.receive_request(at, from, shard, command);
            }
            LedgerMessage::Reply {
                incarnation,
                number,
                outcome,
            } if incarnation == self.setup.incarnation => {
                self.record_answer(Some(from), number, outcome);
            }
            LedgerMessage::NotLeader {
                incarnation,
                number,
                leader,
                ..
            } if incarnation == self.setup.incarnation => {
                self.redirect(at, from, number, leader);
            }
            LedgerMessage::KeyFree {
                incarnation,
                number,
            } => {
                let owner = Owner {
                    front: self.local.front,
                    incarnation,
                };
                self.on_key_free(CommandId { owner, number });
            }
            _ => {} // an answer to an earlier incarnation of this front
        }
    }

    /// Handles messages of the comparison of replicas.
    fn handle_comparison(&mut self, at: ClockReading, sender: ReplicaId, message: LedgerMessage) {
        match message {
            LedgerMessage::Hashes {
                shard,
                config,
                index,
                hashes,
            } => {
                let received = StateHashes { index, hashes };
                self.receive_hashes(at, sender, ConfigurationId { shard, config }, received);
            }
            LedgerMessage::RepairReplica {
                shard,
                config,
                index,
                state,
            } => {
                self.receive_repair(sender, ConfigurationId { shard, config }, index, &state);
            }
            _ => {}
        }
    }

    /// Handles messages about a shard's members, candidates, and the state that a new member starts
    /// from.
    fn handle_membership(
        &mut self,
        at: ClockReading,
        sender: ReplicaIncarnation,
        message: LedgerMessage,
    ) {
        let from = sender.id.front;
        match message {
            LedgerMessage::Available {
                shard,
                config,
                agreed,
            } => self.receive_availability(at, sender, shard, config, &agreed),
            LedgerMessage::Membership {
                shard,
                config,
                members,
            } => self.receive_membership(at, from, shard, config, members),
            LedgerMessage::Probe { shard } => self.announce(at, from, shard),
            LedgerMessage::Snapshot {
                shard,
                config,
                index,
                state,
            } => self.receive_snapshot(at, from, ConfigurationId { shard, config }, index, &state),
            LedgerMessage::CaughtUp {
                shard,
                config,
                index,
            } => self.record_caught_up(sender.id, ConfigurationId { shard, config }, index),
            LedgerMessage::Join {
                shard,
                config,
                members,
                base,
            } => self.join(at, shard, config, members, &base),
            _ => {}
        }
    }

    /// Handles the leader's notice that messages of its log may have been lost.
    fn receive_resync(&mut self, sender: ReplicaId, configuration: ConfigurationId) {
        let ConfigurationId { shard, config } = configuration;
        let view = self.shards.get_mut(usize::from(shard));
        let Some(replica) = view.and_then(|view| view.replica.as_mut()) else {
            return;
        };
        if replica.config == config && replica.members.contains(&sender) {
            replica.resync(sender.front);
            self.changed_shards.insert(shard);
        }
    }

    /// Stores a snapshot for a front that is about to become a member, until it does.
    fn receive_snapshot(
        &mut self,
        at: ClockReading,
        from: FrontId,
        configuration: ConfigurationId,
        index: u64,
        state: &[u8],
    ) {
        let ConfigurationId { shard, config } = configuration;
        let Some(view) = self.shards.get_mut(usize::from(shard)) else {
            return;
        };
        let Some(state) = decode::<State>(state) else {
            return self.reject(Rejection::Malformed);
        };
        if view.replica.is_some() || self.local.disk == 0 {
            return;
        }
        view.received_snapshot = Some(ReceivedSnapshot {
            config,
            at: StateAt { index, state },
        });
        let message = LedgerMessage::CaughtUp {
            shard,
            config,
            index,
        };
        self.transport.send(at, from, &message, Pace::Fast);
    }

    /// Records that the new member, in a membership change led by this front, has received the
    /// snapshot.
    fn record_caught_up(&mut self, sender: ReplicaId, configuration: ConfigurationId, index: u64) {
        let view = self.shards.get_mut(usize::from(configuration.shard));
        let repair = view.and_then(|view| view.repair.as_mut());
        let expected = repair
            .filter(|repair| repair.joining == sender && repair.config == configuration.config);
        if let Some(repair) = expected {
            repair.caught_up_index = Some(index);
        }
    }

    /// Handles a message of the log, which may belong to this replica's configuration, an earlier
    /// or a later one.
    fn receive_log_message(
        &mut self,
        at: ClockReading,
        sender: ReplicaIncarnation,
        configuration: ConfigurationId,
        numbered: NumberedMessage,
    ) {
        let ConfigurationId { shard, config } = configuration;
        let NumberedMessage { number, message } = numbered;
        let behind = |replica: &Replica| replica.config < config;
        let replica = self
            .shards
            .get(usize::from(shard))
            .and_then(|view| view.replica.as_ref());
        if replica.is_some_and(behind) && self.changed_shards.contains(&shard) {
            // Earlier messages of the same packet may have decided the configuration that this one
            // belongs to.
            self.process_shard(at, shard);
        }
        let Some(view) = self.shards.get_mut(usize::from(shard)) else {
            return;
        };
        match &mut view.replica {
            Some(replica) if replica.config == config => {
                // A front that came back with another disk is not the member that it was before.
                if !replica.members.contains(&sender.id) {
                    return self.reject(Rejection::NotMember);
                }
                match replica.receive(sender, number, message) {
                    Received::Accepted => _ = self.changed_shards.insert(shard),
                    Received::OutOfOrder => self.reject(Rejection::Overtaken),
                    Received::NotMember => self.reject(Rejection::NotMember),
                    Received::Contradiction => {
                        self.reject(Rejection::Contradiction);
                        self.fail();
                    }
                }
            }
            Some(replica) if replica.config > config => self.send_membership(at, sender.id, shard),
            _ => {
                // A member sends messages of the shard's log, so the shard has started.
                view.bootstrap.iter_mut().for_each(Bootstrap::set_started);
                self.announce(at, sender.id.front, shard);
            }
        }
    }
}
