//! Receives and sends lease messages between this front's lease holder, its voter and other fronts.

use std::net::SocketAddr;

use hallmux_gossip::channels::{Channel, ChannelMessage};
use hallmux_gossip::node::{Datagram, Node};
use hallmux_lease::{AddressedEnvelope, Envelope, LeaseMessage};

use super::refusal::OwnershipRefusal;
use super::{Ownership, VoterSave};
use crate::{ClockReading, Output};

impl Ownership {
    /// Processes a message received on the lease channel; counts the ones that are refused.
    pub fn receive(&mut self, at: ClockReading, message: &ChannelMessage) {
        let from = message.from;
        let Some(envelope) = hallmux_lease::decode(&message.bytes) else {
            return self.refuse(OwnershipRefusal::Malformed);
        };
        if envelope.fleet != self.fleet {
            return self.refuse(OwnershipRefusal::OtherFleet);
        }
        self.addresses.insert(from, message.address);
        match (envelope.message, &mut self.voter) {
            (LeaseMessage::Reply(reply), _) if self.voters.contains_key(&from) => {
                self.holder.receive(&reply)
            }
            (LeaseMessage::Reply(_), _) => self.refuse(OwnershipRefusal::ReplyFromNonVoter),
            (message, Some(voter)) => {
                let fleet = self.fleet;
                let output = voter.receive(at.steady, from, Envelope { fleet, message });
                self.voter_outbox.push(output);
            }
            (_, None) => self.refuse(OwnershipRefusal::LocalNonVoter),
        }
    }

    /// Adds the pending lease requests, and the pending outputs of this front's voter, to `out`; a
    /// voter's datagrams are sent only after its save.
    pub fn send(&mut self, at: ClockReading, node: &mut Node, out: &mut Output) {
        for request in std::mem::take(&mut self.requests) {
            if request.to == self.local_id {
                self.pass_to_local_voter(at, request.envelope);
                continue;
            }
            let to = self.voters.get(&request.to).copied();
            let datagram = to.and_then(|to| seal(at, node, to, &request.envelope));
            out.datagrams.extend(datagram);
        }
        for output in std::mem::take(&mut self.voter_outbox) {
            let datagrams = self.voter_datagrams(at, node, output.messages);
            if output.save.is_some() || !datagrams.is_empty() {
                out.voter_saves.push(VoterSave {
                    bytes: output.save,
                    datagrams,
                });
            }
        }
    }

    /// Passes a lease request of this front to its own voter without sending it.
    fn pass_to_local_voter(&mut self, at: ClockReading, envelope: Envelope) {
        if let Some(voter) = &mut self.voter {
            let output = voter.receive(at.steady, self.local_id, envelope);
            self.voter_outbox.push(output);
        }
    }

    /// Converts the voter's messages to datagrams; passes its replies to this front directly to the
    /// lease holder. Messages to fronts whose address is unknown are dropped.
    fn voter_datagrams(
        &mut self,
        at: ClockReading,
        node: &mut Node,
        messages: Vec<AddressedEnvelope>,
    ) -> Vec<Datagram> {
        let mut datagrams = Vec::new();
        for AddressedEnvelope { to, envelope } in messages {
            if let LeaseMessage::Reply(reply) = &envelope.message {
                if to == self.local_id {
                    self.holder.receive(reply);
                    continue;
                }
            }
            let address = self.voters.get(&to).or(self.addresses.get(&to)).copied();
            let datagram = address.and_then(|to| seal(at, node, to, &envelope));
            datagrams.extend(datagram);
        }
        datagrams
    }
}

/// Seals a lease message in a datagram. None if the message is too long for a datagram or exceeds
/// the channel's rate limit.
fn seal(
    at: ClockReading,
    node: &mut Node,
    to: SocketAddr,
    envelope: &Envelope,
) -> Option<Datagram> {
    let bytes = hallmux_lease::encode(envelope);
    node.channel_datagram(at.now, at.wall_ms, to, Channel::Lease, &bytes)
}
