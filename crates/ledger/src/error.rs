//! Why a front can't take part.

use crate::FrontId;

#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    #[error("ledger: no members are named; name the fronts that keep copies, or leave the ledger out")]
    NoMembers,
    #[error("ledger: front {0:016x} is named twice among the members; name each front once")]
    Twice(FrontId),
    #[error(
        "ledger: {copies} copies of {members} members; give 1 to {members} copies, or name more members"
    )]
    Copies { copies: usize, members: usize },
    #[error("ledger: {0} shards; give 1 to 1024, the same on every front")]
    Shards(u16),
    #[error("ledger: record {record} is cut short or altered; move the directory away: the front comes back as one that lost its disk")]
    Damaged { record: String },
    #[error("ledger: what was saved is of version {found}, this build reads {reads}; start the build that wrote it, or move the directory away")]
    Version { found: u8, reads: u8 },
    #[error("ledger: what was saved is of another fleet, or was saved with other shards; give the front the directory of its own fleet")]
    Fleet,
    #[error("ledger: what was saved is of disk {found:016x}, the directory is {given:016x}; give the directory back as it was, or an empty one")]
    Disk { found: u64, given: u64 },
}
