//! Errors of the setup and of saved records.

use crate::FrontId;

/// Why a front can't take part in the ledger.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The list of members is empty.
    #[error(
        "ledger: no members are named; name the fronts that keep copies, or leave the ledger out"
    )]
    NoMembers,
    /// The list of members names this front twice.
    #[error("ledger: front {0:016x} is named twice among the members; name each front once")]
    DuplicateMember(FrontId),
    /// There can't be so many replicas of a shard.
    #[error(
        "ledger: {replication_factor} copies of {members} members; give 1 to {members} copies, or name more members"
    )]
    ReplicationFactor {
        /// Replicas wanted of a shard.
        replication_factor: usize,
        /// Members in the list.
        members: usize,
    },
    /// There can't be so many shards.
    #[error("ledger: {0} shards; give 1 to 1024, the same on every front")]
    Shards(u16),
    /// A saved record does not match its checksum, or can't be decoded.
    #[error("ledger: record {record} is cut short or altered; move the directory away: the front comes back as one that lost its disk")]
    Damaged {
        /// The record's name, as text.
        record: String,
    },
    /// The records are in a later format than this build reads.
    #[error("ledger: what was saved is of version {found}, this build reads {reads}; start the build that wrote it, or move the directory away")]
    Version {
        /// The format of the records.
        found: u8,
        /// The latest that this build reads.
        reads: u8,
    },
    /// The records are of another fleet, or of another number of shards.
    #[error("ledger: what was saved is of another fleet, or was saved with other shards; give the front the directory of its own fleet")]
    Fleet,
    /// The records are of another disk than the directory.
    #[error("ledger: what was saved is of disk {found:016x}, the directory is {given:016x}; give the directory back as it was, or an empty one")]
    Disk {
        /// The disk that the records name.
        found: u64,
        /// The disk that was given.
        given: u64,
    },
}
