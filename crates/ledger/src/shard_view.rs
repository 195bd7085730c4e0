//! What a front knows of one shard, whether it holds a replica of it or not.

use std::collections::BTreeMap;

use crate::bootstrap::Bootstrap;
use crate::comparison::Comparison;
use crate::members::{Configuration, ReplicaId};
use crate::repair::Repair;
use crate::replica::Replica;
use crate::state::StateAt;
use crate::{FrontId, Micros};

/// What a front has learned of a shard before it becomes a member: a state of the log of this configuration.
pub(crate) struct Learned {
    pub config: u32,
    pub at: StateAt,
}

/// What a front knows of one shard.
#[derive(Default)]
pub(crate) struct ShardView {
    /// All fronts that could hold it, in the order in which they are preferred.
    pub ranked: Vec<FrontId>,
    /// The fronts that are to hold it, in the order in which they are preferred; empty where shards do not move.
    pub wanted: Vec<FrontId>,
    /// Which of them is to lead it.
    pub preferred_leader: Option<FrontId>,
    /// This front's replica of it.
    pub replica: Option<Replica>,
    /// Its latest configuration that was heard of.
    pub known: Option<Configuration>,
    /// This disk never joins a configuration with this number or a lower one (again).
    pub barred: u32,
    /// What this front does to start it, where it has yet to start.
    pub bootstrap: Option<Bootstrap>,
    /// A state that was sent to this front before it became a member.
    pub learned: Option<Learned>,
    /// The change of members that is under way, where this front leads it.
    pub repair: Option<Repair>,
    /// The comparison of its replicas.
    pub comparison: Comparison,
    /// Since when this front leads it.
    pub leader_since: Option<Micros>,
    /// The front that leads it, as was heard last.
    pub leader_hint: Option<FrontId>,
    /// When this front was last announced to each other one, or sent it the members.
    pub announced: BTreeMap<FrontId, Micros>,
}

impl ShardView {
    /// Its members, as far as is known.
    pub fn members(&self) -> &[ReplicaId] {
        self.known.as_ref().map_or(&[], |known| &known.members)
    }

    /// Which of these members is to lead it.
    pub fn preferred_among(&self, members: &[ReplicaId]) -> Option<FrontId> {
        let mut order = self
            .preferred_leader
            .iter()
            .chain(&self.wanted)
            .chain(&self.ranked);
        order
            .find(|front| members.iter().any(|member| member.front == **front))
            .copied()
    }

    /// The number of its latest configuration; 0: none is known.
    pub fn config(&self) -> u32 {
        self.known.as_ref().map_or(0, |known| known.config)
    }
}
