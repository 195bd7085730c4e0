//! What datagrams hold, encoded with postcard. Everything is bounded by the datagram's length: nothing is
//! allocated for a count that the bytes do not bear out. Fields and variants are positional on the wire:
//! append only.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::PeerId;

/// Most bytes of a sealed datagram: what every network carries in one piece.
pub const MAX_DATAGRAM: usize = 1_200;

/// A member's state in the failure detector. Of one incarnation the later variant supersedes the earlier.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Health {
    /// Answers probes, as far as is known.
    Alive,
    /// Left a probe unanswered; counts as up until its suspicion expires.
    Suspect,
    /// Suspected until the suspicion expired.
    Dead,
    /// Announced that it leaves.
    Left,
}

/// A membership update. A later incarnation supersedes an earlier one, and of one incarnation the graver
/// health.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberUpdate {
    /// The front that it is about.
    pub member: PeerId,
    /// Where that front listens.
    pub address: SocketAddr,
    /// Grows with each start of the member and each refutation by it; Unix milliseconds at its start.
    pub incarnation: u64,
    /// The member's state.
    pub health: Health,
}

/// What a front has observed of one engine lately.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineStatus {
    /// A hash of the engine's id.
    pub engine: u64,
    /// Executions that failed or were lost in the last seconds; at most 255.
    pub failed: u8,
    /// Executions that were answered in the last seconds; at most 255.
    pub answered: u8,
    /// Milliseconds without an answer while executions are out; 0 where it answers.
    pub silent_ms: u16,
    /// It announced that it drains or ends.
    pub drains: bool,
    /// Unix seconds of its announced start; 0 where none was announced.
    pub started_s: u32,
}

/// All that a front has observed, signed by itself and passed on unchanged.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The front that made it.
    pub reporter: PeerId,
    /// When that front started, in Unix milliseconds on its clock.
    pub started_ms: u64,
    /// Counts the reports since that start.
    pub version: u32,
    /// When it was made, in Unix milliseconds on its reporter's clock.
    pub created_ms: u64,
    /// Engines with a fault, or with something announced of them.
    pub statuses: Vec<EngineStatus>,
    /// The reporter's view of who owns the fleet's work.
    pub ownership: OwnershipReport,
}

/// What a front reports of work that one front does for the whole fleet; empty where no voters are
/// configured.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnershipReport {
    /// Of a voter: the lease in force according to its log.
    pub lease: Option<ReportedLease>,
    /// Of an owner: what it has done under its token.
    pub act: Option<OwnerAct>,
}

/// A lease as a voter reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportedLease {
    /// Its fencing token.
    pub token: u64,
    /// The front that holds it.
    pub owner: PeerId,
}

/// What the owner of the fleet's probes has found: engines that answer again in zones that were away.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnerAct {
    /// The fencing token that it acts under.
    pub token: u64,
    /// The engines that answer again.
    pub recovered: Vec<RecoveredEngine>,
}

/// An engine that answers again after its zone was away.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecoveredEngine {
    /// A hash of its id.
    pub engine: u64,
    /// Milliseconds for which it had answered again when the report was made.
    pub since_ms: u32,
}

impl OwnershipReport {
    /// Whether it reports neither a lease nor an act.
    pub fn is_empty(&self) -> bool {
        self.lease.is_none() && self.act.is_none()
    }

    /// Whether it says the same as another, durations aside.
    pub fn is_equivalent(&self, other: &OwnershipReport) -> bool {
        let engines = |ownership: &OwnershipReport| {
            let act = ownership.act.as_ref();
            act.map(|act| {
                (
                    act.token,
                    act.recovered.iter().map(|r| r.engine).collect::<Vec<_>>(),
                )
            })
        };
        self.lease == other.lease && engines(self) == engines(other)
    }
}

/// A report's bytes with the signature over them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Signed {
    /// The encoded [`Report`] or [`crate::load_reports::LoadReport`].
    pub report: Vec<u8>,
    /// Its reporter's Ed25519 signature, over a context string and the bytes.
    pub signature: Vec<u8>,
}

impl Signed {
    /// Bytes that it takes in a message: both parts, and at most two bytes each for their lengths.
    pub fn encoded_len(&self) -> usize {
        self.report.len() + self.signature.len() + 4
    }
}

/// The failure detector's part of a message. An answer repeats the number of the probe that it answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Probe {
    /// No probe: the message carries updates, reports or a payload.
    None,
    /// Asks the receiver for an ack.
    Ping {
        /// Chosen by the sender.
        number: u32,
    },
    /// Asks the receiver to ping another member on the sender's behalf.
    PingRequest {
        /// Chosen by the sender.
        number: u32,
        /// The member to be probed.
        member: PeerId,
        /// Where that member listens.
        address: SocketAddr,
    },
    /// The probed member answered.
    Ack {
        /// Of the ping or ping request that it answers.
        number: u32,
    },
    /// The member of a ping request has not answered in time, but the front that was asked is there.
    Nack {
        /// Of the ping request that it answers.
        number: u32,
    },
}

/// A datagram's content.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// A probe, or the answer to one.
    pub probe: Probe,
    /// Membership updates, the sender's own among them.
    pub updates: Vec<MemberUpdate>,
    /// Reports of any fronts, under their reporters' signatures.
    pub reports: Vec<Signed>,
    /// A channel byte and a subsystem's message (see [`crate::channels`]); mostly empty.
    pub payload: Vec<u8>,
}

/// Encodes a value. The types of this crate always can be encoded.
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    postcard::to_stdvec(value).unwrap_or_default()
}

/// Decodes a value that fills the bytes exactly; None for any other bytes.
pub fn decode<'a, T: Deserialize<'a>>(bytes: &'a [u8]) -> Option<T> {
    match postcard::take_from_bytes(bytes) {
        Ok((value, [])) => Some(value),
        _ => None,
    }
}

#[cfg(test)]
#[path = "message_tests.rs"]
mod tests;
