//! The holders of a shard: replicas, identified by front and disk, and configurations of them.

use serde::{Deserialize, Serialize};

use crate::{DiskId, FrontId};

/// The identity of a replica: its front and the disk that holds it. A front that comes back with
/// another disk has lost its Paxos promises, so it is a different member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub(crate) struct ReplicaId {
    pub front: FrontId,
    pub disk: DiskId,
}

/// A replica's identity, and the incarnation of its front that sends on its behalf.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ReplicaIncarnation {
    pub id: ReplicaId,
    pub incarnation: u64,
}

/// A configuration of a shard, identified by its number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ConfigurationId {
    pub shard: u16,
    pub config: u32,
}

/// A configuration of a shard: its number, which grows with each change of members, and its
/// members.
#[derive(Clone, Debug)]
pub(crate) struct Configuration {
    pub config: u32,
    pub members: Vec<ReplicaId>,
}
