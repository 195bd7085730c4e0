//! Errors of the setup and of saved records.

use crate::FrontId;

/// Why a front can't take part in the ledger.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The member list is empty.
    #[error(
        "ledger: the member list is empty; list the fronts that hold replicas, or remove the ledger settings"
    )]
    NoMembers,
    /// The member list names a front twice.
    #[error("ledger: front {0:016x} is listed twice among the members; list each front once")]
    DuplicateMember(FrontId),
    /// The number of replicas per shard is 0 or larger than the number of members.
    #[error(
        "ledger: {replication_factor} copies configured for {members} members; set copies to 1 to {members}, or list more members"
    )]
    ReplicationFactor {
        /// The configured number of replicas per shard.
        replication_factor: usize,
        /// The number of members in the list.
        members: usize,
    },
    /// The number of shards is out of range.
    #[error("ledger: {0} shards configured; set shards to 1 to 1024, the same on every front")]
    Shards(u16),
    /// A saved record does not match its checksum, or can't be decoded.
    #[error("ledger: saved record {record} is truncated or corrupted; move the ledger directory away, and the front starts like one that lost its disk")]
    Damaged {
        /// The record's name, as text.
        record: String,
    },
    /// The records have a later format than this build reads.
    #[error("ledger: the saved records have format version {found}, but this build reads up to {reads}; start the build that wrote them, or move the ledger directory away")]
    Version {
        /// The format of the records.
        found: u8,
        /// The latest format that this build reads.
        reads: u8,
    },
    /// The records belong to another fleet, or were saved with another number of shards.
    #[error("ledger: the saved records belong to another fleet, or to another number of shards; give this front the ledger directory of its own fleet")]
    Fleet,
    /// The records were saved under another disk identity than the directory's.
    #[error("ledger: the saved records belong to disk {found:016x}, but the directory is disk {given:016x}; restore the directory as it was, or use an empty one")]
    Disk {
        /// The disk identity in the records.
        found: u64,
        /// The disk identity of the directory.
        given: u64,
    },
}
