//! What a front knows about one shard, whether it holds a replica of it or not.

use std::collections::BTreeMap;

use crate::bootstrap::Bootstrap;
use crate::comparison::Comparison;
use crate::members::{Configuration, ReplicaId};
use crate::repair::Repair;
use crate::replica::Replica;
use crate::state::StateAt;
use crate::{FrontId, Micros};

/// A snapshot received before this front becomes a member: a state of the log of this
/// configuration.
pub(crate) struct ReceivedSnapshot {
    pub config: u32,
    pub at: StateAt,
}

/// What a front knows about one shard.
#[derive(Default)]
pub(crate) struct ShardView {
    /// All fronts that could hold the shard, the most preferred first.
    pub ranked: Vec<FrontId>,
    /// The fronts that are to hold the shard, the most preferred first; empty if shards do not
    /// move.
    pub target_fronts: Vec<FrontId>,
    /// The target front that is to lead the shard.
    pub preferred_leader: Option<FrontId>,
    /// This front's replica of the shard.
    pub replica: Option<Replica>,
    /// The latest known configuration of the shard.
    pub latest_configuration: Option<Configuration>,
    /// This disk never joins a configuration with this number or a lower one (again).
    pub barred_config: u32,
    /// The start of the shard on this front, if it has not started yet.
    pub bootstrap: Option<Bootstrap>,
    /// The snapshot that was sent to this front before it became a member.
    pub received_snapshot: Option<ReceivedSnapshot>,
    /// The replacement of a member in progress, if this front leads the shard.
    pub repair: Option<Repair>,
    /// The comparison of the shard's replicas.
    pub comparison: Comparison,
    /// Since when this front leads the shard.
    pub leader_since: Option<Micros>,
    /// The shard's leader according to the latest answer or redirection.
    pub leader_hint: Option<FrontId>,
    /// When this front last sent each other front an announcement or the members.
    pub last_announced: BTreeMap<FrontId, Micros>,
}

impl ShardView {
    /// The members of the shard, as far as known.
    pub fn members(&self) -> &[ReplicaId] {
        self.latest_configuration
            .as_ref()
            .map_or(&[], |configuration| &configuration.members)
    }

    /// The preferred leader among these members.
    pub fn preferred_among(&self, members: &[ReplicaId]) -> Option<FrontId> {
        let mut order = self
            .preferred_leader
            .iter()
            .chain(&self.target_fronts)
            .chain(&self.ranked);
        order
            .find(|front| members.iter().any(|member| member.front == **front))
            .copied()
    }

    /// The number of the latest known configuration; 0 if none is known.
    pub fn config(&self) -> u32 {
        self.latest_configuration
            .as_ref()
            .map_or(0, |configuration| configuration.config)
    }
}
