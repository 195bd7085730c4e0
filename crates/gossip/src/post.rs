//! Letters: what another part of the fronts says to its like, as it words it. The first byte tells which part, so
//! that several share the datagrams, each within bytes a second of its own.

use std::net::SocketAddr;

use crate::message::LONGEST;
use crate::seal::{Tokens, SEAL};
use crate::{Micros, PeerId};

/// Bytes of a letter at most, beside the channel, its sender's own rumour and the seal.
pub const LETTER_ROOM: usize = LONGEST - SEAL - BESIDE;
const BESIDE: usize = 64; // bytes: a rumour of an IPv6 address takes some 45, counts and channel the rest
const MOST_LETTERS: usize = 256; // that wait to be read

/// Which part of the fronts a letter is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Channel {
    /// Who owns the fleet's work.
    Lease,
    /// Promises and their copies.
    Ledger,
    /// Access rules: what is in force, and their hits.
    Rules,
    /// Summaries of what sites hold.
    Summaries,
    /// Fronts that wait for a key tell its holder.
    Gate,
    /// What fronts are asked; read by gossip itself.
    Load,
}

const CHANNELS: [(Channel, f64); 6] = [
    (Channel::Lease, 24_000.0), // bytes a second: a leader of five voters sends some 8,000, more while one is away
    (Channel::Ledger, 600_000.0), // a shard's owner sends each promise to two others: some 1,500 a second
    (Channel::Rules, 64_000.0), // a set of rules goes out once a change, in the ledger's letters; leases are small
    (Channel::Summaries, 48_000.0), // whatever the fleet's size
    (Channel::Gate, 16_000.0),  // some 300 waits a second
    (Channel::Load, 8_000.0),   // a dozen shares a second, each passed on four times
];

/// A letter that has come.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Letter {
    pub from: PeerId,
    /// Where its sender is heard.
    pub at: SocketAddr,
    pub channel: Channel,
    pub bytes: Vec<u8>,
}

pub(crate) struct Post {
    tokens: [Tokens; CHANNELS.len()],
    inbox: Vec<Letter>,
}

impl Post {
    pub fn new() -> Post {
        Post { tokens: CHANNELS.map(|(_, rate)| Tokens::new(rate)), inbox: Vec::new() }
    }

    /// Whether so many bytes may leave now for a part.
    pub fn may_send(&mut self, now: Micros, channel: Channel, bytes: usize) -> bool {
        self.tokens.get_mut(channel as usize).is_some_and(|tokens| tokens.take(now, bytes as f64))
    }

    /// A letter has come with a datagram. False if it is for no part that is known here.
    pub fn came(&mut self, from: PeerId, at: SocketAddr, mut letter: Vec<u8>) -> bool {
        if letter.is_empty() {
            return true;
        }
        let Some((channel, _)) = CHANNELS.get(usize::from(letter.remove(0))) else { return false };
        if self.inbox.len() < MOST_LETTERS {
            self.inbox.push(Letter { from, at, channel: *channel, bytes: letter });
        }
        true
    }

    pub fn take(&mut self) -> Vec<Letter> {
        std::mem::take(&mut self.inbox)
    }
}

#[cfg(test)]
#[path = "post_tests.rs"]
mod tests;
