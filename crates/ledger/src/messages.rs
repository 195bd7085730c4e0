//! The ledger's messages between fronts and their encoding: postcard, in which a variant's position
//! is its tag on the wire. New variants go to the end.

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
        /// Grows with the messages of the sender's replica that must be processed in order; 0 if
        /// the order does not matter.
        number: u64,
        message: Box<omnipaxos::messages::Message<Batch>>,
    },
    /// From the shard's leader: one of its proposals stays undecided, so messages may have been
    /// lost, and the receiver is to ask for those that it has missed.
    Resync { shard: u16, config: u32 },
    /// A request, to the shard's leader or to a front that may know the leader.
    Request { shard: u16, command: Command },
    /// The answer to a request, identified by the requester's incarnation and the request's number.
    Reply {
        incarnation: u64,
        number: u64,
        outcome: Outcome,
    },
    /// The answer to a request for a shard that the sender does not lead, with the leader, if
    /// known.
    NotLeader {
        shard: u16,
        incarnation: u64,
        number: u64,
        leader: Option<FrontId>,
    },
    /// The sender can hold a replica of the shard: the configuration of its replica (0 if it has
    /// none), and the replicas with which it has agreed to start the shard.
    Available {
        shard: u16,
        config: u32,
        agreed: Vec<ReplicaIncarnation>,
    },
    /// The shard's current configuration and its members.
    Membership {
        shard: u16,
        config: u32,
        members: Vec<ReplicaId>,
    },
    /// Asks whether the receiver can hold a replica of the shard; answered by `Available`.
    Probe { shard: u16 },
    /// The shard's state as of an index of the log, for a front that is about to become a member;
    /// answered by `CaughtUp`.
    Snapshot {
        shard: u16,
        config: u32,
        index: u64,
        state: Vec<u8>,
    },
    /// The sender has received the snapshot as of this index.
    CaughtUp { shard: u16, config: u32, index: u64 },
    /// The receiver is a member of this configuration, and starts from what the previous members
    /// have decided.
    Join {
        shard: u16,
        config: u32,
        members: Vec<ReplicaId>,
        base: Base,
    },
    /// The leader asks the receiver to take over the shard. Since format 2.
    TransferLeadership { shard: u16, config: u32 },
    /// The hashes of a replica as of an index: the leader sends its own, and members answer with
    /// theirs. Since format 2.
    Hashes {
        shard: u16,
        config: u32,
        index: u64,
        hashes: Vec<u64>,
    },
    /// The majority's state as of an index, for a replica whose hashes differ. Since format 2.
    RepairReplica {
        shard: u16,
        config: u32,
        index: u64,
        state: Vec<u8>,
    },
    /// The sender is shutting down. Since format 3.
    ShuttingDown,
    /// The key that the receiver requested under this number is free, and the receiver is the first
    /// in its queue. Since format 3.
    KeyFree { incarnation: u64, number: u64 },
}

/// What a new member of a shard starts from.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum Base {
    /// The state after `index` entries of the log.
    Snapshot { index: u64, state: Vec<u8> },
    /// The entries of the previous configuration's log that follow the snapshot sent earlier; the
    /// first of them has the number `index`.
    Suffix { index: u64, batches: Vec<Batch> },
}

/// The content of a datagram.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Packet {
    pub format: u8,
    pub fleet: u64,
    pub disk: DiskId,
    pub incarnation: u64,
    pub wall_ms: u64,
    pub payload: Payload,
}

/// The payload of a packet.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum Payload {
    /// Small messages, each encoded.
    Messages(Vec<Vec<u8>>),
    /// A fragment of a message that is longer than a datagram.
    Fragment {
        id: u64,
        index: u16,
        count: u16,
        bytes: Vec<u8>,
    },
    /// The fragments that the receiver is missing.
    Resend { id: u64, missing: Vec<u16> },
    /// All fragments have been received.
    Received { id: u64 },
}

/// The payload of a packet, and its receiver.
pub(crate) struct OutgoingPayload {
    pub to: FrontId,
    pub payload: Payload,
}

/// The fleet's fingerprint, from its name and its number of shards.
pub(crate) fn fingerprint(name: &str, shards: u16) -> u64 {
    hash(name.bytes().chain([0]).chain(shards.to_be_bytes()))
}
