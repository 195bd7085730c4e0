//! The messages of the ledger between fronts, and how they are encoded: postcard, so a variant's position is its tag
//! on the wire. New variants go to the end.

use serde::{Deserialize, Serialize};

use crate::batch::{Batch, Command};
use crate::members::{ReplicaId, ReplicaIncarnation};
use crate::placement::hash;
use crate::{DiskId, FrontId, Outcome};

#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum LedgerMessage {
    /// A message of the consensus library (OmniPaxos) between two members of a shard.
    Log {
        shard: u16,
        config: u32,
        /// Grows with the messages of the sender's replica that must be taken in order; 0: the order does not matter.
        number: u64,
        message: Box<omnipaxos::messages::Message<Batch>>,
    },
    /// From the shard's leader: a proposal of it stays undecided, so messages may have been lost; the receiver asks for
    /// what it has missed.
    Resync { shard: u16, config: u32 },
    /// A request, to the shard's leader or to a front that may know it.
    Request { shard: u16, command: Command },
    /// The answer to a request, known by its requester's incarnation and number.
    Reply {
        incarnation: u64,
        number: u64,
        outcome: Outcome,
    },
    /// The answer to a request for a shard that the sender does not lead; the front that leads it, if it is known.
    NotLeader {
        shard: u16,
        incarnation: u64,
        number: u64,
        leader: Option<FrontId>,
    },
    /// The sender can hold a replica of the shard: the configuration it last knew (0: none), and the members with which
    /// it has agreed to start the shard.
    Available {
        shard: u16,
        config: u32,
        agreed: Vec<ReplicaIncarnation>,
    },
    /// The shard's present configuration and its members.
    Membership {
        shard: u16,
        config: u32,
        members: Vec<ReplicaId>,
    },
    /// Asks whether the receiver can hold a replica of the shard; it answers with `Available`.
    Probe { shard: u16 },
    /// The shard's state as of an entry of the log, for a front that is to become a member; it answers with `CaughtUp`.
    Snapshot {
        shard: u16,
        config: u32,
        index: u64,
        state: Vec<u8>,
    },
    /// The sender has taken in the snapshot up to this entry.
    CaughtUp { shard: u16, config: u32, index: u64 },
    /// The receiver is a member of this configuration, and starts from what the members before it have decided.
    Join {
        shard: u16,
        config: u32,
        members: Vec<ReplicaId>,
        base: Base,
    },
    /// The leader asks the receiver to take over the shard. Of format 2.
    TransferLeadership { shard: u16, config: u32 },
    /// The hashes of a replica as of an entry: the leader sends its own, and members answer with theirs. Of format 2.
    Hashes {
        shard: u16,
        config: u32,
        index: u64,
        hashes: Vec<u64>,
    },
    /// The majority's state as of an entry, for a replica whose hashes differ. Of format 2.
    RepairReplica {
        shard: u16,
        config: u32,
        index: u64,
        state: Vec<u8>,
    },
    /// The sender is shutting down. Of format 3.
    ShuttingDown,
    /// The key that the receiver asked for by this number is free, and the receiver is the first in its queue. Of format 3.
    KeyFree { incarnation: u64, number: u64 },
}

/// What a new member of a shard starts from.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum Base {
    /// The state after so many entries of this log.
    Snapshot { index: u64, state: Vec<u8> },
    /// The entries of the log before that the snapshot sent earlier lacks: the first is entry `index`.
    Suffix { index: u64, batches: Vec<Batch> },
}

/// A datagram's content.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Packet {
    pub format: u8,
    pub fleet: u64,
    pub disk: DiskId,
    pub incarnation: u64,
    pub wall_ms: u64,
    pub payload: Payload,
}

/// What a packet carries.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum Payload {
    /// Small messages, each encoded.
    Messages(Vec<Vec<u8>>),
    /// A part of a message that is longer than a datagram.
    Fragment {
        id: u64,
        index: u16,
        count: u16,
        bytes: Vec<u8>,
    },
    /// Fragments that the receiver lacks.
    Resend { id: u64, missing: Vec<u16> },
    /// All fragments have come.
    Received { id: u64 },
}

/// The payload of a packet, and who it is for.
pub(crate) struct OutgoingPayload {
    pub to: FrontId,
    pub payload: Payload,
}

/// The fleet's fingerprint: its name, and into how many shards keys are parted.
pub(crate) fn fingerprint(name: &str, shards: u16) -> u64 {
    hash(name.bytes().chain([0]).chain(shards.to_be_bytes()))
}
