//! Errors of the setup and of saved records.

use crate::FrontId;

/// Why a front can't take part in the ledger.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The member list is empty.
    #[error(
        "ledger: no members are named; name the fronts that keep copies, or leave the ledger out"
    )]
    NoMembers,
    /// The member list names a front twice.
    #[error("ledger: front {0:016x} is named twice among the members; name each front once")]
    DuplicateMember(FrontId),
    /// The number of replicas per shard is 0 or larger than the number of members.
    #[error(
        "ledger: {replication_factor} copies of {members} members; give 1 to {members} copies, or name more members"
    )]
    ReplicationFactor {
        /// The configured number of replicas per shard.
        replication_factor: usize,
        /// The number of members in the list.
        members: usize,
    },
    /// The number of shards is out of range.
    #[error("ledger: {0} shards; give 1 to 1024, the same on every front")]
    Shards(u16),
    /// A saved record does not match its checksum, or can't be decoded.
    #[error("ledger: record {record} is cut short or altered; move the directory away: the front comes back as one that lost its disk")]
    Damaged {
        /// The record's name, as text.
        record: String,
    },
    /// The records have a later format than this build reads.
    #[error("ledger: what was saved is of version {found}, this build reads {reads}; start the build that wrote it, or move the directory away")]
    Version {
        /// The format of the records.
        found: u8,
        /// The latest format that this build reads.
        reads: u8,
    },
    /// The records belong to another fleet, or were saved with another number of shards.
    #[error("ledger: what was saved is of another fleet, or was saved with other shards; give the front the directory of its own fleet")]
    Fleet,
    /// The records were saved under another disk identity than the directory's.
    #[error("ledger: what was saved is of disk {found:016x}, the directory is {given:016x}; give the directory back as it was, or an empty one")]
    Disk {
        /// The disk identity in the records.
        found: u64,
        /// The disk identity of the directory.
        given: u64,
    },
}
