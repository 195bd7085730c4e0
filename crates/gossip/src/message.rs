//! The content of datagrams, encoded with postcard. Memory use is bounded by the datagram's length:
//! a decoded element count that exceeds the available bytes allocates nothing for the excess.
//! Fields and variants are encoded by position: append only.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::PeerId;

/// Maximum size in bytes of a sealed datagram, which networks carry without fragmentation.
pub const MAX_DATAGRAM: usize = 1_200;

/// A member's state in the failure detector. Within an incarnation a later variant supersedes an
/// earlier one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Health {
    /// Not suspected of having failed.
    Alive,
    /// Did not answer a probe; counts as up until the suspicion expires.
    Suspect,
    /// The suspicion expired without a refutation.
    Dead,
    /// Announced that it leaves the fleet.
    Left,
}

/// A membership update. A higher incarnation supersedes a lower one; within an incarnation the
/// later variant of [`Health`] does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberUpdate {
    /// The front that the update is about.
    pub member: PeerId,
    /// The address at which the member listens.
    pub address: SocketAddr,
    /// Unix milliseconds at the member's start, raised above that of each update that the member
    /// refutes.
    pub incarnation: u64,
    /// The member's state.
    pub health: Health,
}

/// A front's recent observation of one engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineStatus {
    /// A hash of the engine's id.
    pub engine: u64,
    /// Executions that failed or were lost in the last few seconds, capped at 255.
    pub failed: u8,
    /// Executions that were answered in the last few seconds, capped at 255.
    pub answered: u8,
    /// Milliseconds without an answer while executions are in flight, capped at 65,535; 0 if the
    /// engine answers.
    pub silent_ms: u16,
    /// Whether the engine announced that it drains or shuts down.
    pub drains: bool,
    /// Unix seconds of the engine's announced start; 0 if none was announced.
    pub started_s: u32,
}

/// A front's report on engines and ownership, signed by that front and forwarded unchanged.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The front that made the report.
    pub reporter: PeerId,
    /// When the reporter started, in Unix milliseconds on its clock.
    pub started_ms: u64,
    /// The number of reports made since that start.
    pub version: u32,
    /// When the report was made, in Unix milliseconds on the reporter's clock.
    pub created_ms: u64,
    /// Engines that are faulty or have announced a start, drain or shutdown.
    pub statuses: Vec<EngineStatus>,
    /// The reporter's view of the ownership of the fleet's work.
    pub ownership: OwnershipReport,
}

/// A front's report on work that one front does for the fleet; empty if no voters are configured.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnershipReport {
    /// The latest lease according to the reporter's log; None if the reporter is not a voter or
    /// knows no lease.
    pub lease: Option<ReportedLease>,
    /// The reporter's act as owner; None if it does not own the work.
    pub act: Option<OwnerAct>,
}

/// A lease as a voter reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportedLease {
    /// The fencing token of the lease.
    pub token: u64,
    /// The front that holds the lease.
    pub owner: PeerId,
}

/// The findings of the owner of the fleet's probes: engines that answer again in evacuated zones.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnerAct {
    /// The owner's fencing token.
    pub token: u64,
    /// The engines that answer again.
    pub recovered: Vec<RecoveredEngine>,
}

/// An engine that answers again after its zone was evacuated.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecoveredEngine {
    /// A hash of the engine's id.
    pub engine: u64,
    /// Milliseconds for which the engine had answered again when the report was made.
    pub since_ms: u32,
}

impl OwnershipReport {
    /// Whether the report contains neither a lease nor an act.
    pub fn is_empty(&self) -> bool {
        self.lease.is_none() && self.act.is_none()
    }

    /// Whether two reports are equal except for durations.
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

/// An encoded report and its signature.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Signed {
    /// The encoded [`Report`] or [`crate::load_reports::LoadReport`].
    pub report: Vec<u8>,
    /// The reporter's Ed25519 signature over a context string followed by the encoded report.
    pub signature: Vec<u8>,
}

impl Signed {
    /// Upper bound of the encoded size in a message: both fields and up to two bytes for each
    /// length.
    pub fn encoded_len(&self) -> usize {
        self.report.len() + self.signature.len() + 4
    }
}

/// The failure detector's part of a message. An answer repeats the number of its ping or ping
/// request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Probe {
    /// No probe: the message carries updates, reports or a payload.
    None,
    /// Requests an ack from the receiver.
    Ping {
        /// A number assigned by the sender.
        number: u32,
    },
    /// Requests that the receiver ping another member on the sender's behalf.
    PingRequest {
        /// A number assigned by the sender.
        number: u32,
        /// The member to be probed.
        member: PeerId,
        /// The address at which the member listens.
        address: SocketAddr,
    },
    /// The probed member answered.
    Ack {
        /// The number of the ping or ping request.
        number: u32,
    },
    /// The member of a ping request has not answered in time, but the front that received the
    /// request is alive.
    Nack {
        /// The number of the ping request.
        number: u32,
    },
}

/// The content of a datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// A probe, an answer to a probe, or none.
    pub probe: Probe,
    /// Membership updates, including the one on the sender.
    pub updates: Vec<MemberUpdate>,
    /// Reports of any fronts, signed by their reporters.
    pub reports: Vec<Signed>,
    /// A channel byte and a subsystem's message (see [`crate::channels`]); usually empty.
    pub payload: Vec<u8>,
}

/// Encodes a value with postcard. Encoding the types of this crate does not fail; a failure would
/// yield no bytes.
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    postcard::to_stdvec(value).unwrap_or_default()
}

/// Decodes a value. None unless the bytes are exactly one value.
pub fn decode<'a, T: Deserialize<'a>>(bytes: &'a [u8]) -> Option<T> {
    match postcard::take_from_bytes(bytes) {
        Ok((value, [])) => Some(value),
        _ => None,
    }
}

#[cfg(test)]
#[path = "message_tests.rs"]
mod tests;
