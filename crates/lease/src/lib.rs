//! Leases: one owner at a time for work on behalf of the fleet. Voters agree on a replicated log of leases
//! ([`voter`]); an owner acts only while its own monotonic clock says that its lease lasts ([`holder`]);
//! receivers of its acts admit nothing under a token lower than the highest they have seen ([`fence`]). Free
//! of sockets, clocks and files: the caller passes in messages, the time and the saved state, and sends and
//! saves what comes out.
//!
//! Times are whole microseconds on the caller's monotonic clock; clocks need not agree, only run about alike.

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
/// A front: the first eight bytes of its public key.
pub type FrontId = u64;
/// A fencing token: grows with every grant, so that of two owners the later has the higher.
pub type Token = u64;

/// A fencing token with the front that it was granted to; ordered by the token.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TokenOwner {
    /// The token.
    pub token: Token,
    /// The front that holds it.
    pub owner: FrontId,
}

/// Work that exactly one front does for the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Task {
    /// Probing engines that the fleet sends nothing to, and announcing that a zone answers again.
    Zones,
}

/// How long a lease lasts, and how far clocks may run apart meanwhile.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LeaseTerms {
    /// Microseconds from a request until the lease it was granted ends.
    pub length: Micros,
    /// The most that a clock gains or loses against true time, in parts per million.
    pub drift_ppm: u32,
}

impl LeaseTerms {
    /// Microseconds for which an owner may act after its request: less than the length on any clock.
    pub fn owner_valid_for(&self) -> Micros {
        self.length - self.drift()
    }

    /// Microseconds for which the lease is granted to nobody else after its last confirmation: more than the
    /// length on any clock.
    pub fn blocked_for(&self) -> Micros {
        self.length + self.drift()
    }

    fn drift(self) -> Micros {
        (self.length * Micros::from(self.drift_ppm) + 999_999) / 1_000_000
    }
}

/// Asks a voter for a lease, or for its renewal.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Request {
    /// The work that the lease is for.
    pub task: Task,
    /// Tells the reply to this request from others; grows with each request of a front, over its restarts
    /// too.
    pub number: u64,
    /// The token that the front holds and wants to renew; without one it wants the lease.
    pub token: Option<Token>,
    /// How far the work has gone: stored with the lease for the next owner.
    pub progress: Vec<u8>,
}

/// A voter's reply to a request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Reply {
    /// The lease is granted or renewed, counted from when it was requested.
    Granted {
        /// Of the request.
        number: u64,
        /// The lease's fencing token.
        token: Token,
        /// What the owner stored last; of a new lease, the owner before.
        progress: Vec<u8>,
    },
    /// Another front holds it, or may hold it.
    Denied {
        /// Of the request.
        number: u64,
    },
    /// Another voter leads: the request is to be sent there.
    NotLeader {
        /// Of the request.
        number: u64,
        /// The voter that leads.
        leader: FrontId,
    },
}

impl Reply {
    /// The number of the request that it answers.
    pub fn number(&self) -> u64 {
        match self {
            Reply::Granted { number, .. }
            | Reply::Denied { number }
            | Reply::NotLeader { number, .. } => *number,
        }
    }
}

/// Everything that fronts send to each other about leases. Variants are positional on the wire: append only.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum LeaseMessage {
    /// From a front to a voter.
    Request(Request),
    /// From a voter to the front that requested.
    Reply(Reply),
    /// A log message of builds that did not number them: it is ignored.
    Unnumbered(Box<omnipaxos::messages::Message<leases::Change>>),
    /// Between voters: a message of the replicated log.
    Log {
        /// The sender's incarnation: grows with each of its starts.
        incarnation: u64,
        /// Counts the messages that must come in order; 0: it need not.
        number: u64,
        /// The log library's message.
        message: Box<omnipaxos::messages::Message<leases::Change>>,
    },
}

/// A message with the fleet that it is meant for.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Envelope {
    /// The fleet's [`fingerprint`]: a message of another fleet is refused.
    pub fleet: u64,
    /// The message.
    pub message: LeaseMessage,
}

/// An envelope with the front that it is to be sent to.
#[derive(Clone, Debug)]
pub struct AddressedEnvelope {
    /// The receiver.
    pub to: FrontId,
    /// What it is to receive.
    pub envelope: Envelope,
}

/// A request with the voter that it is to be sent to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AddressedRequest {
    /// The voter.
    pub to: FrontId,
    /// What is requested of it.
    pub request: Request,
}

/// Encodes an envelope.
pub fn encode(envelope: &Envelope) -> Vec<u8> {
    postcard::to_stdvec(envelope).unwrap_or_default()
}

/// Decodes an envelope that fills the bytes exactly; None for any other bytes.
pub fn decode(bytes: &[u8]) -> Option<Envelope> {
    match postcard::take_from_bytes(bytes) {
        Ok((envelope, [])) => Some(envelope),
        _ => None,
    }
}

/// The fleet's fingerprint: a 64-bit FNV-1a hash of its name and voters, in any order; the same in every
/// build.
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
