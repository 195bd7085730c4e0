//! Takes in packets of other fronts, and passes each message on to the part that it is for.

use crate::batch::CommandId;
use crate::bootstrap::Bootstrap;
use crate::encoding::decode;
use crate::ledger::Ledger;
use crate::log::Received;
use crate::long_message::Pace;
use crate::members::{ReplicaId, ReplicaIncarnation};
use crate::messages::LedgerMessage;
use crate::peer::Peer;
use crate::replica::Replica;
use crate::shard_view::Learned;
use crate::state::{State, StateAt};
use crate::{FrontId, Moment, Owner};

impl Ledger {
    /// A packet of a front has come, whose signature holds.
    pub fn receive(&mut self, at: Moment, from: FrontId, bytes: &[u8]) {
        if from == self.own.front {
            return self.refuse("own");
        }
        let (packet, messages) = match self.transport.receive(at, from, bytes) {
            Ok(heard) => heard,
            Err(why) => return self.refuse(why),
        };
        let silent = |peer: &Peer| at.steady - peer.heard_at >= self.setup.repair_after;
        let before = self.peers.get(&from).filter(|peer| !silent(peer));
        if before.is_some_and(|peer| peer.incarnation > packet.incarnation) {
            return self.refuse("earlier life");
        }
        let (incarnation, disk, wall_ms) = (packet.incarnation, packet.disk, packet.wall_ms);
        self.away.returned(at.steady, &self.setup.members, from);
        self.peers.insert(
            from,
            Peer {
                heard_at: at.steady,
                incarnation,
                disk,
                wall_ms,
            },
        );
        for message in messages {
            self.handle(
                at,
                ReplicaIncarnation {
                    id: ReplicaId { front: from, disk },
                    incarnation,
                },
                message,
            );
        }
        self.settle(at);
    }

    fn handle(&mut self, at: Moment, sender: ReplicaIncarnation, message: LedgerMessage) {
        let from = sender.id.front;
        match message {
            LedgerMessage::Log {
                shard,
                config,
                number,
                message,
            } => {
                self.receive_log_message(at, sender, shard, config, (number, *message));
            }
            LedgerMessage::Resync { shard, config } => {
                let view = self.shards.get_mut(usize::from(shard));
                let replica = view.and_then(|view| view.replica.as_mut());
                if let Some(replica) =
                    replica.filter(|r| r.config == config && r.members.contains(&sender.id))
                {
                    replica.resync(from);
                    self.touched.insert(shard);
                }
            }
            LedgerMessage::Request { shard, command } => {
                self.touched.insert(shard);
                self.receive_ask(at, from, shard, command);
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
            LedgerMessage::Reply { .. } | LedgerMessage::NotLeader { .. } => {}
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
            } => {
                let Some(view) = self.shards.get_mut(usize::from(shard)) else {
                    return;
                };
                let Some(state) = decode::<State>(&state) else {
                    return self.refuse("form");
                };
                if view.replica.is_none() && self.own.disk != 0 {
                    view.learned = Some(Learned {
                        config,
                        at: StateAt { index, state },
                    });
                    self.transport.send(
                        at,
                        from,
                        &LedgerMessage::CaughtUp {
                            shard,
                            config,
                            index,
                        },
                        Pace::Fast,
                    );
                }
            }
            LedgerMessage::CaughtUp {
                shard,
                config,
                index,
            } => {
                let view = self.shards.get_mut(usize::from(shard));
                let repair = view.and_then(|view| view.repair.as_mut());
                if let Some(repair) = repair.filter(|r| r.into == sender.id && r.config == config) {
                    repair.caught_up = Some(index);
                }
            }
            LedgerMessage::Hashes {
                shard,
                config,
                index,
                hashes,
            } => {
                self.receive_hashes(at, sender.id, (shard, config), (index, hashes));
            }
            LedgerMessage::RepairReplica {
                shard,
                config,
                index,
                state,
            } => {
                self.receive_repair(sender.id, (shard, config), index, &state);
            }
            LedgerMessage::ShuttingDown => _ = self.shutting_down.insert(from, sender.incarnation),
            LedgerMessage::KeyFree {
                incarnation,
                number,
            } => {
                let owner = Owner {
                    front: self.own.front,
                    incarnation,
                };
                self.key_is_free(CommandId { owner, number });
            }
            LedgerMessage::TransferLeadership { shard, config } => {
                self.accept_leadership(from, shard, config)
            }
            LedgerMessage::Join {
                shard,
                config,
                members,
                base,
            } => self.join(at, shard, config, members, &base),
        }
    }

    fn receive_log_message(
        &mut self,
        at: Moment,
        sender: ReplicaIncarnation,
        shard: u16,
        config: u32,
        (number, message): (u64, omnipaxos::messages::Message<crate::batch::Batch>),
    ) {
        let behind = |replica: &Replica| replica.config < config;
        let replica = self
            .shards
            .get(usize::from(shard))
            .and_then(|view| view.replica.as_ref());
        if replica.is_some_and(behind) && self.touched.contains(&shard) {
            // What came with it may have decided on the members that it is from.
            self.settle_shard(at, shard);
        }
        let Some(view) = self.shards.get_mut(usize::from(shard)) else {
            return;
        };
        match &mut view.replica {
            Some(replica) if replica.config == config => {
                // One that came back with another disk does not speak for the member that it was.
                if !replica.members.contains(&sender.id) {
                    return self.refuse("no member");
                }
                match replica.receive(sender, number, message) {
                    Received::Accepted => _ = self.touched.insert(shard),
                    Received::OutOfOrder => self.refuse("overtaken"),
                    Received::NotMember => self.refuse("no member"),
                    Received::Contradiction => {
                        self.refuse("contradicts what is decided");
                        self.fail();
                    }
                }
            }
            Some(replica) if replica.config > config => self.send_membership(at, sender.id, shard),
            _ => {
                // Members speak of it: it has begun.
                view.bootstrap.iter_mut().for_each(Bootstrap::set_started);
                self.announce(at, sender.id.front, shard);
            }
        }
    }
}
