//! Channels: other subsystems of a front (leases, ledger, rules, summaries, key queues) send
//! their own messages to their counterparts on other fronts inside gossip datagrams. The first byte
//! of a payload identifies the channel. Each channel has a separate byte rate limit, so that none
//! can starve another.

use std::net::SocketAddr;

use crate::message::MAX_DATAGRAM;
use crate::seal::{TokenBucket, SEAL_BYTES};
use crate::{Micros, PeerId};

/// Maximum payload size in bytes: a datagram less the seal, the channel byte and the sender's own
/// update.
pub const MAX_PAYLOAD: usize = MAX_DATAGRAM - SEAL_BYTES - OVERHEAD_BYTES;
/// Bytes reserved in a datagram besides seal and payload: an update with an IPv6 address takes
/// about 45, counts and the channel byte the remainder.
const OVERHEAD_BYTES: usize = 64;
/// Maximum number of received messages held until `take`; further ones are dropped.
const MAX_INBOX_MESSAGES: usize = 256;

/// The subsystem that a payload is for. The discriminant is its byte on the wire: append only.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Channel {
    /// Leases on the fleet's work: requests, replies and messages of the voters' log.
    Lease,
    /// Ledger entries and their replicas.
    Ledger,
    /// Access rules: the version in force and the hits counted under it.
    Rules,
    /// Summaries of the data that sites hold.
    Summaries,
    /// Key queues: fronts that wait for a ledger key notify its holder.
    KeyQueue,
    /// Load reports; handled inside this crate.
    Load,
}

/// Channels in the order of their discriminants.
const CHANNELS: [Channel; 6] = [
    Channel::Lease,
    Channel::Ledger,
    Channel::Rules,
    Channel::Summaries,
    Channel::KeyQueue,
    Channel::Load,
];

impl Channel {
    /// The rate limit of a front's messages on the channel, in bytes per second.
    fn bytes_per_second(self) -> f64 {
        match self {
            Channel::Lease => 24_000.0,
            Channel::Ledger => 600_000.0,
            Channel::Rules => 64_000.0,
            Channel::Summaries => 48_000.0,
            Channel::KeyQueue => 16_000.0,
            Channel::Load => 8_000.0,
        }
    }
}

/// A message received on a channel.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChannelMessage {
    /// The front that signed the datagram.
    pub from: PeerId,
    /// The address at which the sender listens, as it announces itself.
    pub address: SocketAddr,
    /// The channel of the message.
    pub channel: Channel,
    /// The payload without its channel byte.
    pub bytes: Vec<u8>,
}

/// The channels' rate limits, and the received messages until the caller takes them.
pub(crate) struct Mailbox {
    tokens: [TokenBucket; CHANNELS.len()],
    inbox: Vec<ChannelMessage>,
}

impl Mailbox {
    pub fn new() -> Mailbox {
        Mailbox {
            tokens: CHANNELS.map(|channel| TokenBucket::new(channel.bytes_per_second())),
            inbox: Vec::new(),
        }
    }

    /// Charges `bytes` to the channel's rate limit. False, without a charge, if they exceed it.
    pub fn take_tokens(&mut self, now: Micros, channel: Channel, bytes: usize) -> bool {
        self.tokens
            .get_mut(channel as usize)
            .is_some_and(|tokens| tokens.take(now, bytes as f64))
    }

    /// Stores the payload of a received datagram. False if its channel is unknown; an empty payload
    /// is ignored without an error.
    pub fn deliver(&mut self, from: PeerId, address: SocketAddr, mut payload: Vec<u8>) -> bool {
        if payload.is_empty() {
            return true;
        }
        let Some(channel) = CHANNELS.get(usize::from(payload.remove(0))) else {
            return false;
        };
        if self.inbox.len() < MAX_INBOX_MESSAGES {
            self.inbox.push(ChannelMessage {
                from,
                address,
                channel: *channel,
                bytes: payload,
            });
        }
        true
    }

    pub fn take(&mut self) -> Vec<ChannelMessage> {
        std::mem::take(&mut self.inbox)
    }
}

#[cfg(test)]
#[path = "channels_tests.rs"]
mod tests;
