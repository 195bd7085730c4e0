//! What datagrams hold. Everything is bounded by the datagram's length: nothing is allocated for a count that
//! the bytes do not bear out.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::PeerId;

/// Bytes of a datagram at most, sealed: what every network carries in one piece.
pub const MAX_DATAGRAM: usize = 1_200;

/// How a member is thought to be.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Health {
    Alive,
    Suspect,
    Dead,
    Left,
}

/// What is said of a member; a later incarnation goes before an earlier, and of one the graver health.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rumour {
    pub member: PeerId,
    pub address: SocketAddr,
    pub incarnation: u64,
    pub health: Health,
}

/// What a front has seen of an engine lately.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sighting {
    /// The engine, by a hash of its id.
    pub engine: u64,
    /// Executions that failed or were lost, and that were answered, in the last seconds; at most 255.
    pub failed: u8,
    pub answered: u8,
    /// Milliseconds for which it has said nothing though executions are out, 0 where it speaks.
    pub silent_ms: u16,
    /// It was told to drain, or to be gone.
    pub drains: bool,
    /// Unix seconds of a start that was told, 0 where none was.
    pub started_s: u32,
}

/// All that a front has seen, signed by itself and passed on as it is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    pub reporter: PeerId,
    /// When its reporter began, in Unix milliseconds on its own clock, and how many reports it had made
    /// since.
    pub started_ms: u64,
    pub version: u32,
    /// When it was created, in Unix milliseconds on its reporter's clock.
    pub created_ms: u64,
    pub sightings: Vec<Sighting>,
    pub work: Work,
}

/// What a front says of work on behalf of the fleet, where that has owners.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Work {
    /// Of a voter: the lease that its log tells, by token and owner.
    pub lease: Option<(u64, PeerId)>,
    /// Of an owner: what it does under its token.
    pub act: Option<Act>,
}

/// An owner's act: engines that answer again in zones that were away.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Act {
    pub token: u64,
    pub back: Vec<Back>,
}

/// An engine, by a hash of its id, and for how many milliseconds it has answered again when the report was
/// made.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Back {
    pub engine: u64,
    pub since_ms: u32,
}

impl Work {
    pub fn is_empty(&self) -> bool {
        self.lease.is_none() && self.act.is_none()
    }

    /// Whether it says the same as another, but for time going on.
    pub fn is_like(&self, other: &Work) -> bool {
        let engines = |work: &Work| {
            let act = work.act.as_ref();
            act.map(|act| (act.token, act.back.iter().map(|back| back.engine).collect::<Vec<_>>()))
        };
        self.lease == other.lease && engines(self) == engines(other)
    }
}

/// A report's bytes with the signature over them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Signed {
    pub report: Vec<u8>,
    pub signature: Vec<u8>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Probe {
    /// Only news.
    None,
    Ping {
        number: u32,
    },
    /// Asks the receiver to ping another in the sender's place.
    PingRequest {
        number: u32,
        member: PeerId,
        address: SocketAddr,
    },
    Ack {
        number: u32,
    },
    /// The one that was asked to ping has heard nothing.
    Nack {
        number: u32,
    },
}

/// A datagram's content.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    pub probe: Probe,
    pub rumours: Vec<Rumour>,
    pub reports: Vec<Signed>,
    /// A channel byte and a subsystem's message (see [`crate::channels`]); mostly empty.
    pub payload: Vec<u8>,
}

/// The bytes of a value that can be written; values here always can.
pub fn bytes<T: Serialize>(value: &T) -> Vec<u8> {
    postcard::to_stdvec(value).unwrap_or_default()
}

/// Reads a value that fills the bytes exactly.
pub fn read<'a, T: Deserialize<'a>>(bytes: &'a [u8]) -> Option<T> {
    match postcard::take_from_bytes(bytes) {
        Ok((value, [])) => Some(value),
        _ => None,
    }
}

#[cfg(test)]
#[path = "message_tests.rs"]
mod tests;
