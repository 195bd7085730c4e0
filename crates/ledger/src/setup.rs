//! The setup of a front's node of the ledger.

use std::collections::BTreeSet;

use crate::formats::{FORMAT, SAVED_FORMAT};
use crate::{DiskId, Error, FrontId, Micros};

/// A front that may hold replicas.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// The front.
    pub front: FrontId,
    /// The front's zone; the replicas of a shard are in different zones if there are several.
    pub zone: String,
}

/// The setup of a front's node of the ledger.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Setup {
    /// The fleet's name; messages and records of another fleet are rejected.
    pub fleet: String,
    /// The front that runs this node.
    pub local_front: FrontId,
    /// When this front started, in Unix milliseconds; must grow with each start.
    pub incarnation: u64,
    /// The identity of the disk: drawn at random whenever the directory is created, and at every
    /// start without one. Never 0.
    pub disk: DiskId,
    /// All fronts that may hold replicas, the same list on every front; this front need not be one.
    pub members: Vec<Member>,
    /// Number of replicas of a shard.
    pub replication_factor: usize,
    /// Number of shards, the same on every front; never changes.
    pub shards: u16,
    /// Maximum number of entries of a shard.
    pub max_shard_entries: usize,
    /// Maximum bytes of a shard's entries.
    pub max_shard_bytes: usize,
    /// Microseconds until a request that no quorum has answered is [`crate::Outcome::Unreachable`].
    pub request_timeout: Micros,
    /// Microseconds without any packet from a member until its replicas are rebuilt elsewhere.
    pub repair_after: Micros,
    /// Maximum rate of rebuilding replicas, in bytes per second.
    pub repair_bytes_per_s: u32,
    /// Maximum percentage of the shards that may move at once for balance, or as members change; 0:
    /// none moves.
    pub max_moving_percent: u8,
    /// Microseconds to wait for a zone that is entirely away; never less than `repair_after`.
    pub zone_repair_after: Micros,
    /// The latest message format that this front reads and writes, see [`FORMAT`]; an earlier one
    /// is for tests of mixed fleets.
    pub format: u8,
    /// The latest format in which this front saves entries and records, once all members read it,
    /// see [`SAVED_FORMAT`].
    pub saved_format: u8,
    /// Maximum difference between fronts' Unix clocks in milliseconds: an expired entry stays
    /// withheld from other fronts for that much longer.
    pub clock_skew_ms: u64,
}

impl Setup {
    /// The defaults of the operator's configuration file.
    pub fn new(
        fleet: &str,
        local: FrontId,
        incarnation: u64,
        disk: DiskId,
        members: Vec<Member>,
    ) -> Setup {
        Setup {
            fleet: fleet.to_string(),
            local_front: local,
            incarnation,
            disk,
            members,
            replication_factor: 3,
            shards: 16,
            max_shard_entries: 4_096,
            max_shard_bytes: 512 * 1_024,
            request_timeout: 500_000,
            repair_after: 30_000_000,
            repair_bytes_per_s: 16_384,
            max_moving_percent: 0,
            zone_repair_after: 600_000_000,
            format: FORMAT,
            saved_format: SAVED_FORMAT,
            clock_skew_ms: 500,
        }
    }

    /// Checks the setup.
    pub(crate) fn check(&self) -> Result<(), Error> {
        let mut seen = BTreeSet::new();
        if self.members.is_empty() {
            return Err(Error::NoMembers);
        }
        if let Some(twice) = self
            .members
            .iter()
            .find(|member| !seen.insert(member.front))
        {
            return Err(Error::DuplicateMember(twice.front));
        }
        if self.replication_factor == 0 || self.replication_factor > self.members.len() {
            return Err(Error::ReplicationFactor {
                replication_factor: self.replication_factor,
                members: self.members.len(),
            });
        }
        match self.shards {
            1..=1_024 => Ok(()),
            shards => Err(Error::Shards(shards)),
        }
    }
}
