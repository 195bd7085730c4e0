//! Leases: one owner at a time for work on behalf of the fleet. Voters agree on a replicated log of
//! leases ([`voter`]). An owner acts only while its lease is valid on its own monotonic clock
//! ([`holder`]). Receivers of its acts reject fencing tokens lower than the highest seen
//! ([`fence`]). The crate uses no sockets, clocks or files: the caller passes in messages, the time
//! and the saved state, and sends and saves the output.
//!
//! Times are integer microseconds on the caller's monotonic clock. Clocks of different fronts need
//! not agree; only their rates must be within the drift configured in [`LeaseTerms`].

#![warn(missing_docs)]

pub mod fence;
pub mod holder;
pub mod leases;
pub mod state;
pub mod voter;

use hallmux_hash::fnv1a;
use serde::{Deserialize, Serialize};

/// A time or duration in microseconds.
pub type Micros = i64;
/// The id of a front: the first eight bytes of its public key.
pub type FrontId = u64;
/// A fencing token. It grows with every grant, so the later of two owners has the higher token.
pub type Token = u64;

/// A fencing token and the front that it was granted to, ordered by token.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TokenOwner {
    /// The fencing token.
    pub token: Token,
    /// The front that the token was granted to.
    pub owner: FrontId,
}

/// Work that exactly one front does for the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Task {
    /// Probing the engines of zones that receive no statements, and announcing zones that answer
    /// again.
    Zones,
}

/// The duration of a lease and the clock drift it tolerates.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LeaseTerms {
    /// Microseconds from a request to the end of the lease that it was granted.
    pub length: Micros,
    /// The maximum rate error of a clock against true time, in parts per million.
    pub drift_ppm: u32,
}

impl LeaseTerms {
    /// Microseconds for which an owner may act after its request: the length less the drift, so
    /// that the owner stops within the length even on a slow clock.
    pub fn owner_valid_for(&self) -> Micros {
        self.length - self.drift()
    }

    /// Microseconds after its last confirmation during which the lease is granted to no other
    /// front: the length plus the drift, so that the block covers the length even on a fast clock.
    pub fn blocked_for(&self) -> Micros {
        self.length + self.drift()
    }

    fn drift(self) -> Micros {
        (self.length * Micros::from(self.drift_ppm) + 999_999) / 1_000_000
    }
}

/// A request to a voter for a lease or for its renewal.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Request {
    /// The work that the lease is for.
    pub task: Task,
    /// Matches a reply to its request. Increases with each request of a front, across restarts too.
    pub number: u64,
    /// The token of the lease to renew; None requests a new lease.
    pub token: Option<Token>,
    /// The progress of the work, stored with the lease for the next owner; empty in a request for a
    /// new lease.
    pub progress: Vec<u8>,
}

/// A voter's reply to a request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Reply {
    /// The lease is granted or renewed; its length counts from the time of the request.
    Granted {
        /// The number of the request.
        number: u64,
        /// The lease's fencing token.
        token: Token,
        /// The progress stored last: by this owner, or by the previous owner of a newly granted
        /// lease.
        progress: Vec<u8>,
    },
    /// The last owner may still hold the lease, or the lease to be renewed is no longer the current
    /// one.
    Denied {
        /// The number of the request.
        number: u64,
    },
    /// Another voter is the leader; the request must be sent to that voter.
    NotLeader {
        /// The number of the request.
        number: u64,
        /// The leader.
        leader: FrontId,
    },
}

impl Reply {
    /// The number of the request that this reply answers.
    pub fn number(&self) -> u64 {
        match self {
            Reply::Granted { number, .. }
            | Reply::Denied { number }
            | Reply::NotLeader { number, .. } => *number,
        }
    }
}

/// A lease message between fronts. Variants are encoded by position: append only.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum LeaseMessage {
    /// A front's request to a voter.
    Request(Request),
    /// A voter's reply to the requesting front.
    Reply(Reply),
    /// A log message from a build that did not number log messages; ignored.
    Unnumbered(Box<omnipaxos::messages::Message<leases::Change>>),
    /// A message of the replicated log between voters.
    Log {
        /// The sender's incarnation, which increases with each start.
        incarnation: u64,
        /// The sequence number of a message that must arrive in order; 0 if the order does not
        /// matter.
        number: u64,
        /// The message of the log library.
        message: Box<omnipaxos::messages::Message<leases::Change>>,
    },
}

/// A lease message and the fleet that it belongs to.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Envelope {
    /// The fleet's [`fingerprint`]; voters ignore messages of other fleets.
    pub fleet: u64,
    /// The lease message.
    pub message: LeaseMessage,
}

/// An envelope and its destination.
#[derive(Clone, Debug)]
pub struct AddressedEnvelope {
    /// The front that the envelope is sent to.
    pub to: FrontId,
    /// The envelope to be sent.
    pub envelope: Envelope,
}

/// A request and the voter that it is sent to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AddressedRequest {
    /// The voter that the request is sent to.
    pub to: FrontId,
    /// The lease or renewal that is requested.
    pub request: Request,
}

/// Encodes an envelope with postcard. A failure yields no bytes.
pub fn encode(envelope: &Envelope) -> Vec<u8> {
    postcard::to_stdvec(envelope).unwrap_or_default()
}

/// Decodes an envelope. None unless the bytes are exactly one envelope.
pub fn decode(bytes: &[u8]) -> Option<Envelope> {
    match postcard::take_from_bytes(bytes) {
        Ok((envelope, [])) => Some(envelope),
        _ => None,
    }
}

/// The fleet's fingerprint: a 64-bit FNV-1a hash of its name and its voters, whose order does not
/// matter. All builds must compute the same value.
pub fn fingerprint(name: &str, voters: &[FrontId]) -> u64 {
    let mut voters = voters.to_vec();
    voters.sort_unstable();
    fnv1a(
        name.bytes()
            .chain([0])
            .chain(voters.into_iter().flat_map(u64::to_be_bytes)),
    )
}

#[cfg(test)]
#[path = "lib_tests.rs"]
mod tests;
